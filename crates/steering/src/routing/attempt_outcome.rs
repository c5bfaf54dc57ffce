//! Outcome of an attempt on a backend server.

use std::time;

use serde::{Deserialize, Serialize};

/// Outcome of an attempt on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Answered {
        /// Time from the start of the attempt.
        latency: time::Duration,
        /// Whether the response is not a server error.
        ok: bool,
    },
    /// The server shed the request: it reported that it did not run it.
    Shed,
    /// The attempt failed before any byte of the request was sent.
    ConnectFailed,
    /// The connection was lost after part of the request was sent.
    Broken,
    /// No response was received within the timeout of the attempt.
    TimedOut,
    /// The attempt was cancelled after part of the request was sent.
    Cancelled,
}
