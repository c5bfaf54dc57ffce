//! How many requests of a customer arrive at a host.

use std::time;

use crate::model;

/// Interval in which requests are counted.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Requests in the current interval and in the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    start: model::Time,
    current: u32,
    previous: u32,
}

impl Usage {
    /// Creates a count of nothing.
    pub(super) fn new(now: model::Time) -> Usage {
        Usage {
            start: now,
            current: 0,
            previous: 0,
        }
    }

    /// Counts a request.
    pub(super) fn record(&mut self, now: model::Time) {
        self.advance(now);
        self.current += 1;
    }

    /// Requests to expect within a time.
    pub(super) fn expected(&mut self, within: time::Duration, now: model::Time) -> f64 {
        self.advance(now);
        let count = f64::from(self.current.max(self.previous));
        count * within.as_secs_f64() / INTERVAL.as_secs_f64()
    }

    fn advance(&mut self, now: model::Time) {
        let age = now.saturating_sub(self.start);
        if age < INTERVAL {
            return;
        }
        self.previous = if age < 2 * INTERVAL { self.current } else { 0 };
        self.current = 0;
        self.start = now;
    }
}
