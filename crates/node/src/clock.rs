//! The present time as the decisions take it.

use std::time;

use yuccatide_steering::model;

/// Source of the present time: the system clock, read once, advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: model::Time,
    start: time::Instant,
}

impl Clock {
    /// Reads the system clock.
    pub fn new() -> Clock {
        let origin = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin,
            start: time::Instant::now(),
        }
    }

    /// Time since the Unix epoch; never runs backwards.
    pub fn now(&self) -> model::Time {
        self.origin + self.start.elapsed()
    }

    /// Start of the process in milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> model::Incarnation {
        self.origin.as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
