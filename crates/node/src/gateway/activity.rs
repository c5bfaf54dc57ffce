//! Tracks whether a client connection is idle.

use std::{sync, time};

/// Requests in progress on one connection, and when the last one ended.
#[derive(Debug)]
pub(super) struct Activity {
    state: sync::Mutex<(u32, time::Instant)>,
}

/// Guard that marks a request as in progress.
pub(super) struct RequestInProgress(sync::Arc<Activity>);

impl Activity {
    /// State of a connection that was just accepted.
    pub(super) fn new() -> Activity {
        Activity {
            state: sync::Mutex::new((0, time::Instant::now())),
        }
    }

    /// Marks the connection as in use until the returned guard is dropped.
    pub(super) fn begin_request(self: &sync::Arc<Activity>) -> RequestInProgress {
        self.lock().0 += 1;
        RequestInProgress(sync::Arc::clone(self))
    }

    /// Time since which the connection is idle; `None` while it is in use.
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
