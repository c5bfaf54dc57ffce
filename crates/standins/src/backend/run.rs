//! Log of the requests that a backend server ran.

use std::time;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer was written.
    Finished,
    /// The connection was closed first.
    Cancelled,
    /// The deadline passed first.
    Deadline,
}

/// A request that took a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Request id as sent.
    pub request: String,
    /// Idempotency key as sent.
    pub key: Option<String>,
    /// Rank as sent.
    pub rank: Option<String>,
    /// Path as sent.
    pub path: String,
    /// When it took its slot.
    pub start: time::Instant,
    /// When and how it ended; absent while it runs.
    pub end: Option<(time::Instant, Ending)>,
}
