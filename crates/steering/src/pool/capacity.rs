//! Capacity of the backend servers of a service.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::model;

/// Capacity of the owned backend servers of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Slots that may be in use on average now, after target use, slow start, ejections, drains and
    /// reported load.
    pub usable_slots: f64,
    /// All slots of the servers that take work now, or that single requests probe because they
    /// refused connections or reported no free slots.
    pub slots: u32,
    /// Slots in use by requests that this host has sent to the servers.
    pub in_use: u32,
    /// Waiting requests by kind of work.
    pub queued: collections::BTreeMap<model::WorkId, u32>,
    /// Slots in use by kind of work.
    pub in_use_by_work: collections::BTreeMap<model::WorkId, u32>,
}
