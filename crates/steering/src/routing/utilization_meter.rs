//! Use of a backend server's slots against its target, over time.

use crate::model;

/// Unused slot-seconds below the target that a server can spend later.
const CREDIT_SLOT_S: f64 = 1.0;

/// Slot-seconds above the target, per slot, that guaranteed work may add while slots that were
/// lent to other work come back.
const BURST_S_PER_SLOT: f64 = 0.5;

/// Integral of the slots in use above the target, in slot-seconds.
///
/// It keeps the average use at the target where the target is no whole number of slots: the
/// fractional slot is used only as long as the integral is not above zero.
#[derive(Clone, Debug, Default)]
pub struct UtilizationMeter {
    level: f64,
    updated: model::Time,
}

impl UtilizationMeter {
    /// Advances the integral to `now`; `in_use` and `target` are in slots since the last call.
    pub fn advance(&mut self, in_use: f64, target: f64, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        self.level = (self.level + (in_use - target) * elapsed).max(-CREDIT_SLOT_S);
    }

    /// Whether `excess` slots above the target can be used for `seconds`.
    pub fn allows_excess(&self, excess: f64, seconds: f64) -> bool {
        self.level + excess * seconds <= 0.0
    }

    /// Whether guaranteed work may use `excess` slots above the target for `seconds`.
    pub fn allows_burst(&self, excess: f64, seconds: f64, slots: f64) -> bool {
        self.level + excess * seconds <= BURST_S_PER_SLOT * slots
    }
}
