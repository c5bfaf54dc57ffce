//! A request that was started ahead of its turn, with its answer.

use std::sync::{self, atomic};

use http::request;
use hyper::body::Body;
use tokio_util::task;

use crate::gateway::{body, forward, gateway, memory, response};

/// Largest answer that is held for its turn; of a larger one only the start is.
const MAX_ANSWER_BYTES: usize = body::MAX_BUFFERED_BYTES;

/// A request in progress, or its answer that waits for its turn.  Dropping it cancels the request.
pub(in crate::gateway) struct StartedRequest {
    /// Length of its head in the client's bytes.
    pub(super) length: usize,
    head: request::Parts,
    held_bytes: sync::Arc<atomic::AtomicUsize>,
    task: task::AbortOnDropHandle<response::Response>,
}

/// Counts a request as in progress ahead of its turn.
struct CountGuard(sync::Arc<gateway::Gateway>);

impl StartedRequest {
    /// Memory that is reserved for an answer before it is known.
    pub(super) const RESERVED_BYTES: usize = MAX_ANSWER_BYTES;

    /// Starts a request.
    pub(super) fn new(
        gateway: &sync::Arc<gateway::Gateway>,
        head: request::Parts,
        length: usize,
        client: &sync::Arc<memory::ClientConnection>,
        mut reservation: memory::Reservation,
    ) -> StartedRequest {
        gateway.metrics.started_ahead.inc();
        gateway.metrics.ahead_in_progress.inc();
        let guard = CountGuard(sync::Arc::clone(gateway));
        let held_bytes = sync::Arc::new(atomic::AtomicUsize::new(Self::RESERVED_BYTES));
        let task_client = sync::Arc::clone(client);
        let (task_bytes, task_head) = (sync::Arc::clone(&held_bytes), head.clone());
        let task_gateway = sync::Arc::clone(gateway);
        let task = tokio::spawn(async move {
            let response =
                forward::forward_request(task_gateway, task_head, None, task_client).await;
            drop(guard);
            let size = response.body().size_hint().exact();
            let size = size.map_or(MAX_ANSWER_BYTES, |size| size as usize);
            reservation.shrink_to(size);
            task_bytes.store(size, atomic::Ordering::Relaxed);
            response.map(|answer| super::guarded_body::guarded(answer, reservation))
        });
        StartedRequest {
            length,
            head,
            held_bytes,
            task: task::AbortOnDropHandle::new(task),
        }
    }

    /// Bytes that are reserved for its answer.
    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Whether it is the request with this head.
    pub(super) fn is_for(&self, head: &request::Parts) -> bool {
        (&self.head.method, &self.head.uri, &self.head.headers)
            == (&head.method, &head.uri, &head.headers)
    }

    /// Waits for the answer.
    pub(in crate::gateway) async fn answer(self) -> response::Response {
        self.task.await.unwrap_or_else(|e| {
            log::error!(error:% = e; "a request that was started ahead ended without an answer");
            response::text(http::StatusCode::BAD_GATEWAY, "the outcome is not known")
        })
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.metrics.ahead_in_progress.dec();
    }
}
