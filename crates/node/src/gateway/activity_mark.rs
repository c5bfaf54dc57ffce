//! When the last part of an answer arrived.

use std::{sync, time};

/// Marks the arrival of parts of an answer.  An answer that still arrives is not silent, however
/// long it takes.
#[derive(Debug)]
pub struct ActivityMark {
    last: sync::Mutex<tokio::time::Instant>,
}

impl Default for ActivityMark {
    fn default() -> ActivityMark {
        ActivityMark {
            last: sync::Mutex::new(tokio::time::Instant::now()),
        }
    }
}

impl ActivityMark {
    /// Records that a part arrived.
    pub fn touch(&self) {
        *self.lock() = tokio::time::Instant::now();
    }

    /// Waits until no part has arrived for `timeout`, counted from now or from the last one.
    pub async fn wait_until_silent(&self, timeout: time::Duration) {
        let begin = tokio::time::Instant::now();
        loop {
            let end = begin.max(*self.lock()) + timeout;
            if tokio::time::Instant::now() >= end {
                return;
            }
            tokio::time::sleep_until(end).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, tokio::time::Instant> {
        self.last
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
