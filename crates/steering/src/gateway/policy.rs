//! A version of the operators' configuration, as the gateway uses it.

use std::{collections, time};

use crate::model;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Number of the version; larger numbers are newer.
    pub version: model::Version,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<model::ServiceId, Service>,
    /// Bounds on what a client may send.
    pub limits: ClientLimits,
}

/// Requests of one kind of work and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within a version.
    pub name: model::WorkId,
    /// Value of the `Host` header that selects the route.
    pub host: String,
    /// Start of the path that selects the route; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time for which a client is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer has its full value.
    pub objective: time::Duration,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// Rank; 0 is served first.
    pub rank: u32,
    /// Services that share the requests; never empty.
    pub weighted_services: Vec<WeightedService>,
    /// Whether requests for the same object should reach the same backend server.
    pub has_affinity: bool,
    /// Regions that may serve the requests; empty where all may.
    pub regions: Vec<model::RegionId>,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: model::ServiceId,
    /// Share, relative to the other parts.
    pub weight: f64,
}

/// What a configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that a backend server accepts from all hosts together.
    pub max_connections: usize,
    /// Time for which a started backend server is cold.
    pub warmup: time::Duration,
    /// Requests a second that a cold backend server tolerates from all hosts together.
    pub warmup_rate: f64,
}

/// Bounds on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Size of a request's body in bytes.
    pub max_body_bytes: u64,
    /// Time for sending a request's head.
    pub header_timeout: time::Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: time::Duration,
}

impl Default for ClientLimits {
    /// Bounds that hold until a configuration is known.
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

impl Policy {
    /// Names of the routes.
    pub(super) fn route_names(&self) -> collections::HashSet<&str> {
        self.routes
            .iter()
            .map(|route| route.name.as_str())
            .collect()
    }
}

impl Route {
    /// Whether a backend server of a region may serve the requests.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|r| r == region)
    }
}
