//! Outcome of a request as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request.  Its complete response is attached, unless a size limit
    /// prevented storing it.
    Done,
    /// No backend server ran the request or ever will.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the value of the outcome header.
    pub fn from_header(value: &str) -> Option<Outcome> {
        [Outcome::Done, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|o| o.as_str() == value)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request got the outcome [`Outcome::NotRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The deadline passed, or would pass before the request could finish.
    Deadline,
    /// The queue of its kind of work is full.
    QueueFull,
    /// No backend server or data centre that the policy allows can accept it now.
    NoCapacity,
    /// The shift cap limits how fast traffic moves to other data centres, and does not yet admit this
    /// part of the traffic to one.
    ShiftCap,
    /// The link between the regions has no capacity left.
    LinkFull,
    /// The backend server refused it before running it.
    Shed,
    /// The connection was refused before any byte was sent.
    Unreachable,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The table of idempotency keys is full.
    KeysFull,
    /// The caller cancelled it before it was sent.
    Cancelled,
    /// The host cannot take the request: it is leaving before a planned shutdown, has no
    /// configuration or traffic shares yet, or owns no server of the service.
    NotReady,
    /// The witness that the idempotency key names did not record the request.
    NoWitness,
    /// Another host queried the home or the witness before the request had started; the request was
    /// refused then.
    HomeGone,
}

impl NotRunReason {
    /// Value used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Deadline => "deadline",
            NotRunReason::QueueFull => "queue-full",
            NotRunReason::NoCapacity => "no-capacity",
            NotRunReason::ShiftCap => "shift-cap",
            NotRunReason::LinkFull => "link-full",
            NotRunReason::Shed => "shed",
            NotRunReason::Unreachable => "unreachable",
            NotRunReason::KeyReused => "key-reused",
            NotRunReason::KeysFull => "keys-full",
            NotRunReason::Cancelled => "cancelled",
            NotRunReason::NotReady => "not-ready",
            NotRunReason::NoWitness => "no-witness",
            NotRunReason::HomeGone => "home-gone",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
