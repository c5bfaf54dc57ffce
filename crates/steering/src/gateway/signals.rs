//! What backend servers say of themselves in their answers.

use std::time;

/// Signals in one answer of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Requests that it has, running and waiting.
    pub load: Option<u32>,
    /// How long work takes on its machine now, relative to the usual time.
    pub slowdown: Option<f64>,
    /// Requests per second that it takes from all hosts together; `None` without such a limit.
    pub limit: Option<f64>,
    /// Whether it leaves and should get no more requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this host, after it turned one away.
    pub pause: Option<time::Duration>,
    /// Number of headers with signals that could not be read.
    pub unreadable: u32,
}

/// Which signals of a backend server an answer has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChange {
    /// Its limit.
    pub limit: bool,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Whether it pauses; set when a pause begins.
    pub pause: bool,
}
