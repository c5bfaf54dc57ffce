//! A high quantile of the latencies of one kind of request.

use std::time;

use crate::numbers;

/// Quantile that is tracked: a request that takes longer is slower than nearly all of its kind.
const QUANTILE: f64 = 0.95;

/// Relative change of the estimate with one observation beyond the quantile.  Old observations lose
/// their weight as new ones arrive.
const STEP: f64 = 0.05;

/// Observations before the estimate is used.
const MIN_OBSERVATIONS: u32 = 40;

/// Resolution of the estimate.
const MIN_LATENCY: time::Duration = time::Duration::from_millis(1);

/// Estimate of the quantile, without the observations themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyQuantile {
    seconds: f64,
    observations: u32,
}

impl LatencyQuantile {
    /// Records a latency, or a time after which an attempt was given up for a faster one.
    pub(super) fn observe(&mut self, latency: time::Duration) {
        let seconds = latency.max(MIN_LATENCY).as_secs_f64();
        if self.observations < MIN_OBSERVATIONS {
            // The largest of the first observations lies near the quantile.
            self.seconds = self.seconds.max(seconds);
        } else if seconds > self.seconds {
            self.seconds *= 1.0 + STEP * QUANTILE;
        } else {
            self.seconds *= 1.0 - STEP * (1.0 - QUANTILE);
        }
        self.observations = self.observations.saturating_add(1);
    }

    /// The estimate; `None` while too little was observed.
    pub(super) fn get(&self) -> Option<time::Duration> {
        (self.observations >= MIN_OBSERVATIONS)
            .then(|| numbers::saturating_duration(self.seconds).max(MIN_LATENCY))
    }
}
