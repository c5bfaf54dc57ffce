//! State of a pool, as shown to operators.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

use super::capacity;
use crate::{model, routing};

/// State of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSnapshot {
    /// Version of the document in force.
    pub version: model::Version,
    /// Services with owned backend servers or running requests.
    pub services: collections::BTreeMap<model::ServiceId, ServiceSnapshot>,
}

/// State of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSnapshot {
    /// Capacity.
    pub capacity: capacity::Capacity,
    /// Backend servers.
    pub servers: collections::BTreeMap<model::ServerId, routing::ServerSnapshot>,
    /// Kinds of work.
    pub work: collections::BTreeMap<model::WorkId, WorkSnapshot>,
}

/// State of a kind of work.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkSnapshot {
    /// Slots in use.
    pub in_use: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Guaranteed slots.
    pub guaranteed_slots: f64,
    /// Demand in slots.
    pub offered_slots: f64,
    /// Further attempts that the retry budget covers now.
    pub retry_tokens: f64,
    /// Mean service time.
    #[serde(rename = "service_time_us")]
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub service_time: Option<time::Duration>,
}
