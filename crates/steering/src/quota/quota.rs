//! The bound on one customer's requests, and its tolerances.

use std::time;

use serde::{Deserialize, Serialize};

/// Requests that a customer may have served, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// How far the sum over all hosts may exceed a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window in which requests are counted.
    pub window: time::Duration,
    /// Tolerated excess, relative to the rate times the window plus the burst.
    pub over: f64,
    /// Requests tolerated in a window beside these.
    pub slack: f64,
}
