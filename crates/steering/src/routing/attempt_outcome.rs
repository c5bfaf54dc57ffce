//! How an attempt on a backend server ended.

use std::time;

use serde::{Deserialize, Serialize};

/// How an attempt on a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Answered {
        /// Time from the start of the attempt.
        latency: time::Duration,
        /// Whether the answer is no server error.
        ok: bool,
    },
    /// The server refused the request before running it, and said so.
    Shed,
    /// No byte of the request was sent.
    ConnectFailed,
    /// The connection was lost after a byte was sent.
    Broken,
    /// No answer arrived within the timeout of the attempt.
    TimedOut,
    /// The attempt was cancelled after a byte was sent.
    Cancelled,
}
