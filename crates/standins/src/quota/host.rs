//! A host that admits requests by quota.

use std::time;

use yuccatide_steering::{model, quota};

/// Name of a data centre.
pub(super) fn data_centre_name(data_centre: usize) -> model::DataCentreId {
    format!("dc-{data_centre}")
}

/// A host and its clock.
pub struct Host {
    /// Name.
    pub name: model::HostId,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Whether it runs.
    pub is_up: bool,
    /// Hosts of the same group reach each other.
    pub group: usize,
    /// Version of the quotas that it has.
    pub version: usize,
    /// What it holds.
    pub ledger: quota::Ledger<u64>,
    /// Whether it knows the other hosts.
    pub is_settled: bool,
    /// Number of its starts.
    pub(super) start: u64,
    pub(super) clock_rate: f64,
    pub(super) clock_offset: time::Duration,
}

impl Host {
    /// Time by its own clock.
    pub(super) fn clock(&self, now: time::Duration) -> model::Time {
        now.mul_f64(self.clock_rate) + self.clock_offset
    }
}
