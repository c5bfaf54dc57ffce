//! Use of slots by a kind of work relative to its guaranteed share, over time.

use crate::model;

/// Maximum time, in seconds, for which an unused guarantee is credited.
const MAX_CREDIT_S: f64 = 1.0;

/// Guaranteed slot-seconds that running requests have not used.
///
/// The credit enforces a share that is not a whole number of slots on average over time.
#[derive(Clone, Debug, Default)]
pub struct Guarantee {
    credit_slot_s: f64,
    updated: model::Time,
}

impl Guarantee {
    /// Advances the credit to `now`; `slots` is the guaranteed share in slots, `service_s` the mean
    /// service time in seconds.
    pub fn advance(&mut self, slots: f64, in_use: u32, service_s: f64, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        let gain = (slots - f64::from(in_use)) * elapsed;
        // Use of slots beyond the guarantee creates a debt of at most one request.
        let min_credit = -service_s;
        let max_credit = (slots * MAX_CREDIT_S).max(service_s);
        self.credit_slot_s = (self.credit_slot_s + gain).clamp(min_credit, max_credit);
    }

    /// Whether the guarantee covers one more request.
    pub fn covers(&self, slots: f64, in_use: u32, service_s: f64) -> bool {
        let is_behind = self.credit_slot_s > service_s;
        let max_in_use = slots.floor() as u32 + 1 + u32::from(is_behind);
        slots > 0.0 && self.credit_slot_s >= 0.0 && in_use < max_in_use
    }

    /// Unused guaranteed slot-seconds; negative if more than the guarantee was used.
    pub fn credit_slot_s(&self) -> f64 {
        self.credit_slot_s
    }
}
