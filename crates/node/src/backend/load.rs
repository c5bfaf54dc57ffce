//! A backend server's report of its load.

use serde::Deserialize;

/// Body of the answer to `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadAnswer {
    /// Requests that the server runs now.
    pub in_use: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it takes itself to be able to serve.
    pub healthy: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub draining: bool,
    /// Whether its caches are cold.
    #[serde(default)]
    pub cold: bool,
}
