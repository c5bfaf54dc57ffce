//! Bounds the interim responses (1xx) that may come before a response.

use std::{sync, sync::atomic};

/// Largest number of interim responses before a response; a server has a use for one or two.
const MAX_INTERIM_RESPONSES: u32 = 100;

/// Counts the interim responses to a request.
pub struct InterimLimit {
    exceeded: sync::Arc<tokio::sync::Notify>,
}

impl InterimLimit {
    /// Counts those to this request.
    pub fn new<B>(req: &mut http::Request<B>) -> InterimLimit {
        let exceeded = sync::Arc::new(tokio::sync::Notify::new());
        let notify = exceeded.clone();
        let count = atomic::AtomicU32::new(0);
        hyper::ext::on_informational(req, move |_| {
            if count.fetch_add(1, atomic::Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                notify.notify_one();
            }
        });
        InterimLimit { exceeded }
    }

    /// Waits until there are too many.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
