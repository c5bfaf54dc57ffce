//! Slots that a kind of work is likely to need at once.

use std::time;

use crate::model;

/// Time constant of the moving average.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);

/// Standard deviations of the number of running requests that are added to the mean.
const DEVIATIONS: f64 = 1.0;

/// Moving average of the offered load in slots: arrivals per second times service time.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    load_slots: f64,
    updated: model::Time,
}

impl Demand {
    /// Records an arrival with its mean service time in seconds; `most` limits the load in slots.
    pub fn record_arrival(&mut self, service_s: f64, most: f64, now: model::Time) {
        let added = service_s / TIME_CONSTANT.as_secs_f64();
        self.load_slots = (self.load_slots(now) + added).min(most);
        self.updated = now.max(self.updated);
    }

    /// Offered load in slots.
    pub fn load_slots(&self, now: model::Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.load_slots * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Slots that are seldom exceeded where arrivals are independent; at least one.
    pub fn likely_slots(&self, now: model::Time) -> u32 {
        let load = self.load_slots(now);
        (load + DEVIATIONS * load.sqrt()).round().max(1.0) as u32
    }
}
