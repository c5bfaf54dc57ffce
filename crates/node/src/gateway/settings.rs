//! Settings of a gateway.

use std::{collections, net, time};

use yuccatide_steering::{gateway as decisions, model, quota};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host.
    pub member: decisions::Member,
    /// Addresses of some hosts, which may be down or replaced.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// Interval at which backend servers renew their entries in the store.
    pub renewal_interval: time::Duration,
    /// How much more than their rate cold backend servers tolerate.
    pub cold_tolerance: decisions::ColdTolerance,
    /// Bounds on retries.
    pub retry: decisions::RetryLimits,
    /// Share of a region's callers that may move to another region within 2 s.
    pub max_shift: f64,
    /// How far the sum over all hosts may exceed a customer's quota.
    pub quota_bounds: quota::Bounds,
    /// Work that second attempts of slow requests may add, relative to that of first ones; 0 for
    /// none.
    pub extra_work: f64,
    /// Bytes that the host may hold for all clients together.
    pub client_memory: usize,
    /// Connections of clients that the host keeps open.
    pub client_connections: usize,
}
