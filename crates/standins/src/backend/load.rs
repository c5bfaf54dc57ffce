//! Load report.

use serde::{Deserialize, Serialize};

/// What a backend server says about itself at `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub in_use: u32,
    /// Slots in all.
    pub slots: u32,
    /// Whether it can serve.
    pub healthy: bool,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether its caches are cold.
    pub cold: bool,
}
