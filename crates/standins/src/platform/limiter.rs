//! Rate limit of the platform.

use std::time;

/// A token bucket that holds one second's worth of calls.
pub struct Limiter {
    per_second: f64,
    tokens: f64,
    refilled: time::Instant,
}

impl Limiter {
    /// A full bucket.
    pub fn new(per_second: u32, now: time::Instant) -> Limiter {
        Limiter {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled: now,
        }
    }

    /// Takes a token if there is one.
    pub fn admit(&mut self, now: time::Instant) -> bool {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
