//! Concurrency limits of a backend server.

use std::time;

use crate::config;

/// Limit up to which a request may use the slots of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotLimit {
    /// Slots up to the target utilization.
    Target,
    /// All slots, for a short time.
    Burst,
}

/// Configured limits of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Target utilization of the slots, from 0 to 1.
    pub target_use: f64,
    /// Time over which a cold server ramps up from one slot to all.
    pub slow_start: time::Duration,
    /// Age above which a load report is ignored.
    pub report_max_age: time::Duration,
}

impl Limits {
    /// Limits of a service's backend servers.  Each request uses its own connection, so the
    /// connection limit applies as well.
    pub fn new(service: &config::Service) -> Limits {
        Limits {
            slots: service.slots.min(service.connections),
            target_use: service.target_use,
            slow_start: service.slow_start,
            report_max_age: service.report_max_age,
        }
    }
}
