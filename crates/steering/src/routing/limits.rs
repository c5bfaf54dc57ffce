//! Limits of a backend server.

use std::time;

use crate::config;

/// Which slots a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotLimit {
    /// Those below the target.
    Target,
    /// All of them, for a short time.
    Burst,
}

/// Configured limits of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests at a time.
    pub slots: u32,
    /// Use of the slots to keep to, 0 to 1.
    pub target_use: f64,
    /// Time in which a cold server is brought from one slot to all.
    pub slow_start: time::Duration,
    /// Age after which a report is ignored.
    pub report_max_age: time::Duration,
}

impl Limits {
    /// Limits of a service's backend servers; a request takes a connection for itself.
    pub fn new(service: &config::Service) -> Limits {
        Limits {
            slots: service.slots.min(service.connections),
            target_use: service.target_use,
            slow_start: service.slow_start,
            report_max_age: service.report_max_age,
        }
    }
}
