//! Bound on the work that second attempts add.

/// Largest unused allowance, in seconds of work.  A pause without slow requests must not allow many
/// second attempts at once when the next disturbance begins.
const MAX_ALLOWANCE_SECONDS: f64 = 10.0;

/// Allowance of one service: a share of the work that its first attempts took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExtraWork {
    allowance_seconds: f64,
}

impl ExtraWork {
    /// Records work of a first attempt, which allows `share` of it as extra work.
    pub(super) fn record_work(&mut self, seconds: f64, share: f64) {
        self.allowance_seconds =
            (self.allowance_seconds + share * seconds).min(MAX_ALLOWANCE_SECONDS);
    }

    /// Takes the expected work of a second attempt from the allowance; returns false, and takes
    /// nothing, if less than that is left.
    pub(super) fn try_spend(&mut self, seconds: f64) -> bool {
        let is_covered = seconds <= self.allowance_seconds;
        if is_covered {
            self.allowance_seconds -= seconds;
        }
        is_covered
    }

    /// Gives back work that was not done.
    pub(super) fn refund(&mut self, seconds: f64) {
        self.allowance_seconds = (self.allowance_seconds + seconds).min(MAX_ALLOWANCE_SECONDS);
    }
}
