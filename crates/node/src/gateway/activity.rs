//! Whether a client's connection is in use.

use std::{sync, time};

/// Use of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    state: sync::Mutex<(u32, time::Instant)>,
}

/// A request in progress on a connection.
pub(super) struct RequestInProgress(sync::Arc<Activity>);

impl Activity {
    /// A connection that was just accepted.
    pub(super) fn new() -> Activity {
        Activity {
            state: sync::Mutex::new((0, time::Instant::now())),
        }
    }

    /// Marks the connection as in use for as long as the value lives.
    pub(super) fn begin_request(self: &sync::Arc<Activity>) -> RequestInProgress {
        self.lock().0 += 1;
        RequestInProgress(sync::Arc::clone(self))
    }

    /// Since when the connection is idle; nothing where it is in use.
    pub(super) fn idle_since(&self) -> Option<time::Instant> {
        let state = self.lock();
        (state.0 == 0).then_some(state.1)
    }

    fn lock(&self) -> sync::MutexGuard<'_, (u32, time::Instant)> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.0 -= 1;
        state.1 = time::Instant::now();
    }
}
