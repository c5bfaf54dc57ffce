//! Estimate of the slots that a kind of work needs concurrently.

use std::time;

use crate::model;

/// Time constant of the moving average of the load.
const LOAD_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);

/// Number of standard deviations of the concurrent requests that are added to the mean.
const STANDARD_DEVIATION_COUNT: f64 = 1.0;

/// Moving average of the offered load in slots: arrival rate times mean service time.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    load_slots: f64,
    updated: model::Time,
}

impl Demand {
    /// Records an arrival; `service_s` is the mean service time in seconds, `max_slots` the upper
    /// bound of the load in slots.
    pub fn record_arrival(&mut self, service_s: f64, max_slots: f64, now: model::Time) {
        let added = service_s / LOAD_TIME_CONSTANT.as_secs_f64();
        self.load_slots = (self.load_slots(now) + added).min(max_slots);
        self.updated = now.max(self.updated);
    }

    /// Offered load in slots.
    pub fn load_slots(&self, now: model::Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.load_slots * (-elapsed / LOAD_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Mean plus one standard deviation of the concurrent requests if arrivals are independent, in
    /// slots; at least one.
    pub fn likely_slots(&self, now: model::Time) -> u32 {
        let load = self.load_slots(now);
        (load + STANDARD_DEVIATION_COUNT * load.sqrt())
            .round()
            .max(1.0) as u32
    }
}
