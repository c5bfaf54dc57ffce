//! Spillover of the traffic of this data centre's callers to other data centres when their demand
//! exceeds its usable slots.  "Local" means this data centre, not this host.

use std::time;

use crate::model;

/// Time for which demand has to exceed the slots before traffic is moved away.
const OVERLOAD_DWELL: time::Duration = time::Duration::from_secs(2);

/// Time for which demand has to stay low before traffic is moved back.
const RETURN_DWELL: time::Duration = time::Duration::from_secs(10);

/// Ratio of demand to slots above which a data centre is overloaded.
const OVERLOAD_RATIO: f64 = 1.0;

/// Ratio of demand to slots below which traffic may return.
const RETURN_RATIO: f64 = 0.85;

/// Ratio of demand to slots to which an overloaded data centre is brought.
const TARGET_RATIO: f64 = 0.95;

/// Smallest change of the local share for which the shares are changed again.
const DEADBAND_SHARE: f64 = 0.05;

/// Share of the demand of its own callers that a data centre serves itself, with hysteresis.
#[derive(Clone, Debug, PartialEq)]
pub struct Spillover {
    local_share: f64,
    /// Whether there have ever been slots; the slots of a pool that has just started are not known
    /// yet.
    has_had_slots: bool,
    overloaded_since: Option<model::Time>,
    low_since: Option<model::Time>,
}

impl Default for Spillover {
    fn default() -> Spillover {
        Spillover {
            local_share: 1.0,
            has_had_slots: false,
            overloaded_since: None,
            low_since: None,
        }
    }
}

impl Spillover {
    /// Updates the share from demand and usable slots.  Without a fresh measurement, the share
    /// stays and the dwell times start again.
    ///
    /// Demand includes what is served elsewhere, so that moving traffic does not change it.
    pub fn observe(&mut self, measured: Option<(f64, u32)>, now: model::Time) {
        self.has_had_slots |= measured.is_some_and(|(_, slots)| slots > 0);
        let Some((demand, slots)) = measured.filter(|_| self.has_had_slots) else {
            self.overloaded_since = None;
            self.low_since = None;
            return;
        };
        let ratio = demand / f64::from(slots).max(f64::MIN_POSITIVE);
        let since = |holds: bool, since: Option<model::Time>| holds.then(|| since.unwrap_or(now));
        self.overloaded_since = since(ratio > OVERLOAD_RATIO, self.overloaded_since);
        self.low_since = since(ratio < RETURN_RATIO, self.low_since);
        let lasted = |since: Option<model::Time>, dwell| since.is_some_and(|s| now >= s + dwell);
        let target = (TARGET_RATIO / ratio).min(1.0);
        if lasted(self.overloaded_since, OVERLOAD_DWELL)
            && (target - self.local_share).abs() > DEADBAND_SHARE
        {
            self.local_share = target;
        } else if lasted(self.low_since, RETURN_DWELL) {
            self.local_share = 1.0;
        }
    }

    /// Share of the demand of the data centre's own callers that stays in it, 0 to 1.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }
}
