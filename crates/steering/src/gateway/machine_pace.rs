//! How long work takes at a backend server that shares its machine with others.

use std::time;

use crate::model;

/// Time in which half of what a backend server has told of its pace has changed.  Other work on its
/// machine starts and ends many times a second.
const PACE_HALF_LIFE: time::Duration = time::Duration::from_millis(100);

/// Bounds of the slowdown that is believed; a longer or shorter service time shows in the responses
/// themselves.
const MIN_SLOWDOWN: f64 = 0.1;
const MAX_SLOWDOWN: f64 = 10.0;

/// Pace of a backend server's machine, as the server last told it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MachinePace {
    /// Time of the answer and the service time in it, relative to the usual one.
    told: Option<(model::Time, f64)>,
}

impl MachinePace {
    /// Records what an answer read at `now` told.
    pub(super) fn record(&mut self, slowdown: f64, now: model::Time) {
        self.told = Some((now, slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)));
    }

    /// Expected service time of a request that starts now, relative to the usual one; 1 if nothing
    /// was told lately.
    pub(super) fn slowdown(&self, now: model::Time) -> f64 {
        let Some((told_at, slowdown)) = self.told else {
            return 1.0;
        };
        let age = now.saturating_sub(told_at);
        1.0 + (slowdown - 1.0) * 0.5_f64.powf(age.div_duration_f64(PACE_HALF_LIFE))
    }
}
