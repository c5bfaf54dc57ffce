//! When the last part of an answer arrived.

use std::{sync, time};

/// Longest time between looks at the mark.  A process that was not run for longer could not read
/// what arrived, so that only this time counts as silence.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

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

    /// Waits until no part has arrived for `timeout`, counted from now or from the last one.  Time in
    /// which the process did not run does not count.
    pub async fn wait_until_silent(&self, timeout: time::Duration) {
        let mut silence = time::Duration::ZERO;
        let mut last = *self.lock();
        while silence < timeout {
            let interval = LOOK_INTERVAL.min(timeout - silence);
            tokio::time::sleep(interval).await;
            let latest = *self.lock();
            silence = match latest == last {
                true => silence + interval,
                false => tokio::time::Instant::now().saturating_duration_since(latest),
            };
            last = latest;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, tokio::time::Instant> {
        self.last
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
