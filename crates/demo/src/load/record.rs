//! What became of one request.

use std::time;

use serde::Serialize;
use yuccatide_steering::model;

/// Part of the demo in which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Load rises from nothing.
    Start,
    /// Ordinary load.
    Calm,
    /// A patch moves work.
    Shift,
    /// A backend server leaves.
    Drain,
    /// Late work floods in.
    Flood,
    /// An entry host dies.
    Kill,
    /// An entry host stops as planned.
    Stop,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of work.
    pub work: model::WorkId,
    /// Path at the backend server, unique.
    pub path: String,
    /// When it was sent.
    pub phase: Phase,
    /// Time from sending to the answer.
    pub latency: time::Duration,
    /// Outcome as the caller learned it.
    pub outcome: model::Outcome,
    /// Reason as the caller learned it.
    pub reason: Option<String>,
    /// Whether the last answer has an error status; a backend server's own is `done` too.
    pub failed: bool,
    /// Whether the body is the whole answer to this request.
    pub whole: bool,
}

impl Record {
    /// Whether a backend server ran the request to its end.
    pub fn is_served(&self) -> bool {
        self.outcome == model::Outcome::Done && !self.failed
    }
}
