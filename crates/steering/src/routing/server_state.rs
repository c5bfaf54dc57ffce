//! Status of a backend server as reported to operators.

use serde::{Deserialize, Serialize};

use crate::model;

/// Whether a backend server accepts new requests, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts requests on all its slots.
    Ready,
    /// Accepts requests on a growing part of its slots.
    SlowStart,
    /// Temporarily excluded because of failures or high latency.
    Ejected,
    /// Connection attempts fail; single requests probe it.
    Unreachable,
    /// Its load reports leave no free slot, or report that it is unhealthy or has no slots; single
    /// requests verify them.
    ReportedFull,
    /// Draining: gets no new requests.
    Draining,
    /// Owned by another host or by none.
    NotOwned,
}

/// Status of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// Whether it accepts new requests, and why not.
    pub state: ServerState,
    /// Requests of this host in flight on it.
    pub in_flight: u32,
    /// Average number of requests of this host that may currently be in flight on it.
    pub usable_slots: f64,
    /// Slots assumed to be in use by other clients, according to its reports.
    pub foreign_slots: u32,
    /// Mean latency relative to that of the same kind of work on other servers.
    pub latency_ratio: f64,
    /// Time of the last load report.
    pub reported_at: Option<model::Time>,
}
