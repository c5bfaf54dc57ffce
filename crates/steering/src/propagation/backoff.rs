//! Backoff between failed attempts.

use rand::Rng;

use super::timing;
use crate::model;

/// Exponential backoff with jitter.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the pause after it: random, from half of the exponential value
    /// up to the whole.
    pub(super) fn fail(&mut self, rng: &mut impl Rng) -> model::Time {
        let factor = 2_u32.saturating_pow(self.failures.min(16));
        let limit = timing::INITIAL_BACKOFF_INTERVAL
            .saturating_mul(factor)
            .min(timing::MAX_BACKOFF_INTERVAL);
        self.failures += 1;
        limit.mul_f64(rng.random_range(0.5..1.0))
    }

    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
