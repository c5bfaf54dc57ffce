//! Load reports of backend servers.

use serde::{Deserialize, Serialize};

use crate::model;

/// A load report of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in use.
    pub in_use: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Whether the server considers itself healthy.
    pub healthy: bool,
    /// Whether the server is draining.
    pub draining: bool,
    /// Whether the server's caches are cold.
    pub cold: bool,
    /// Time at which the server was in this state.
    pub at: model::Time,
}
