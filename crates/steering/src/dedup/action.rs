//! Actions that the caller of the state machine executes.

use std::sync;

use serde::{Deserialize, Serialize};

use super::{message, run_outcome};
use crate::model;

/// An action to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request and report its outcome with [`super::Dedup::on_run_ended`].
    Run {
        /// Request to run.
        id: model::RequestId,
    },
    /// Forward the request to its home and report with [`super::Dedup::on_forward_ended`] whether
    /// a complete response arrived.
    Forward {
        /// Request to forward.
        id: model::RequestId,
        /// Home of its key.
        to: model::HostId,
    },
    /// Respond to the request; emitted at most once per request.
    Respond {
        /// Request to respond to.
        id: model::RequestId,
        /// Response for the caller.
        response: Response,
    },
    /// Send a message to another host.
    Send {
        /// Host that receives the message.
        to: model::HostId,
        /// Message for that host.
        message: message::Message,
    },
}

/// Final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// It ran once; the result is absent if a size limit prevented storing it.
    Done(Option<sync::Arc<run_outcome::StoredResult>>),
    /// It did not run and never will under this key.
    NotRun(model::NotRunReason),
    /// It may have run, or may still run.
    Unknown(UnknownReason),
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The backend server received the request but returned no complete response.
    Server,
    /// The request was still running at the deadline.
    Deadline,
    /// The home or the witness reported that the request had started, but the query of its outcome
    /// ended without one: the home is gone, or the deadline passed.
    Started,
    /// The query of the outcome ended, at the latest after the deadline, without a report from home
    /// or witness that the request had started.
    Unreachable,
    /// The record or refusal of the key may have been evicted.
    Forgotten,
    /// The key's mint time is too far ahead of this host's clock.
    ClockAhead,
    /// Too many duplicates of the request already wait for its result.
    TooManyWaiters,
}

impl UnknownReason {
    /// Value used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            UnknownReason::Server => "server",
            UnknownReason::Deadline => "deadline",
            UnknownReason::Started => "started",
            UnknownReason::Unreachable => "unreachable",
            UnknownReason::Forgotten => "forgotten",
            UnknownReason::ClockAhead => "clock-ahead",
            UnknownReason::TooManyWaiters => "too-many-waiters",
        }
    }
}

impl Response {
    /// Outcome reported to the caller.
    pub fn outcome(&self) -> model::Outcome {
        match self {
            Response::Done(_) => model::Outcome::Done,
            Response::NotRun(_) => model::Outcome::NotRun,
            Response::Unknown(_) => model::Outcome::Unknown,
        }
    }

    /// Reason used in headers, logs and metrics.
    pub fn reason(&self) -> Option<&'static str> {
        match self {
            Response::Done(_) => None,
            Response::NotRun(reason) => Some(reason.as_str()),
            Response::Unknown(reason) => Some(reason.as_str()),
        }
    }
}

impl From<&run_outcome::RunOutcome> for Response {
    fn from(outcome: &run_outcome::RunOutcome) -> Response {
        match outcome {
            run_outcome::RunOutcome::Done(result) => Response::Done(result.clone()),
            run_outcome::RunOutcome::NotRun(reason) => Response::NotRun(*reason),
            run_outcome::RunOutcome::Unknown => Response::Unknown(UnknownReason::Server),
        }
    }
}
