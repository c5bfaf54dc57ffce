//! Pauses between attempts.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper end of the first pause.
    pub first: Duration,
    /// Upper end of every later pause.
    pub longest: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            first: Duration::from_millis(50),
            longest: Duration::from_secs(5),
        }
    }
}

impl Backoff {
    /// Pause after the failed attempt with this number, 0 for the first: between half of its
    /// upper end and all of it.
    pub fn pause(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(attempt.min(16));
        let upper = self.first.saturating_mul(factor).min(self.longest);
        upper.mul_f64(rng.random_range(0.5..=1.0))
    }
}
