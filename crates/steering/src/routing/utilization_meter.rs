//! Utilization of a backend server's slots relative to its target, over time.

use crate::model;

/// Maximum slot-seconds left unused below the target that a server can use later.
const MAX_CREDIT_SLOT_S: f64 = 1.0;

/// Maximum slot-seconds above the target, per slot, that guaranteed work may use.  It needs them
/// while other work still occupies the slots that the guaranteed work did not need before.
const MAX_BURST_S_PER_SLOT: f64 = 0.5;

/// Time integral of the slots in use above the target, in slot-seconds.
///
/// It keeps the average utilization at the target even if the target is not a whole number of
/// slots: the fractional slot is used only while the integral is not above zero.
#[derive(Clone, Debug, Default)]
pub struct UtilizationMeter {
    excess_slot_s: f64,
    updated: model::Time,
}

impl UtilizationMeter {
    /// Advances the integral to `now`; `in_use` and `target` are the slots since the last call.
    pub fn advance(&mut self, in_use: f64, target: f64, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        self.excess_slot_s =
            (self.excess_slot_s + (in_use - target) * elapsed).max(-MAX_CREDIT_SLOT_S);
    }

    /// Whether `excess` slots above the target may be used for `seconds`.
    pub fn allows_excess(&self, excess: f64, seconds: f64) -> bool {
        self.excess_slot_s + excess * seconds <= 0.0
    }

    /// Whether guaranteed work may use `excess` slots above the target for `seconds`.
    pub fn allows_burst(&self, excess: f64, seconds: f64, slots: f64) -> bool {
        self.excess_slot_s + excess * seconds <= MAX_BURST_S_PER_SLOT * slots
    }
}
