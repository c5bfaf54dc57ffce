//! How fast a transfer goes on.

use std::time;

use crate::model;

/// Time for which a transfer may stand still.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Rate below which a transfer is slow.
const MIN_BYTES_PER_SECOND: u64 = 1 << 10;

/// When a transfer becomes slow.  Each byte defers it by its time at the lowest rate, up to the
/// longest pause from now: a byte now and then is no progress, and a fast start doesn't last.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    slow_at: model::Time,
}

impl Progress {
    /// A transfer that begins now.
    pub fn new(now: model::Time) -> Progress {
        Progress {
            slow_at: now + MAX_PAUSE,
        }
    }

    /// Adds bytes that were transferred.
    pub fn record(&mut self, bytes: u64, now: model::Time) {
        let time = time::Duration::from_micros(bytes * 1_000_000 / MIN_BYTES_PER_SECOND);
        self.slow_at = (self.slow_at + time).min(now + MAX_PAUSE);
    }

    /// Whether the rate is too low.
    pub fn is_slow(&self, now: model::Time) -> bool {
        now >= self.slow_at
    }

    /// Time at which it becomes slow without further bytes.
    pub fn slow_at(&self) -> model::Time {
        self.slow_at
    }
}
