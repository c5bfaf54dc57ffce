//! What the caller of the state machine has to carry out.

use std::sync;

use serde::{Deserialize, Serialize};

use super::{message, run_outcome};
use crate::model;

/// Something to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request; its end has to be reported.
    Run {
        /// Request.
        id: model::RequestId,
    },
    /// Send the whole request to its home and report whether a whole answer came back.
    Forward {
        /// Request.
        id: model::RequestId,
        /// Home of its key.
        to: model::HostId,
    },
    /// Answer the request; given once for each request.
    Respond {
        /// Request.
        id: model::RequestId,
        /// Response.
        response: Response,
    },
    /// Send a message to another host.
    Send {
        /// Destination.
        to: model::HostId,
        /// Message.
        message: message::Message,
    },
}

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// It was run once; the result is absent where it was too large to keep.
    Done(Option<sync::Arc<run_outcome::StoredResult>>),
    /// It was not run and never will be under this key.
    NotRun(model::NotRunReason),
    /// It may have been run, or may still be.
    Unknown(UnknownReason),
}

/// Why the outcome of a request can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The backend server got the request and no whole answer came back.
    Server,
    /// The request was still running at the deadline.
    Deadline,
    /// The home can't be reached and had started the request.
    Started,
    /// Neither the home nor the witness can be reached.
    Unreachable,
    /// The record of the key may have been forgotten after its retention.
    Forgotten,
    /// The key was minted too far ahead of this host's clock.
    ClockAhead,
    /// Too many repetitions of the key wait for its result.
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
    /// Outcome that the answer states.
    pub fn outcome(&self) -> model::Outcome {
        match self {
            Response::Done(_) => model::Outcome::Done,
            Response::NotRun(_) => model::Outcome::NotRun,
            Response::Unknown(_) => model::Outcome::Unknown,
        }
    }

    /// Reason that the answer states, for headers, logs and metrics.
    pub fn reason(&self) -> Option<&'static str> {
        match self {
            Response::Done(_) => None,
            Response::NotRun(reason) => Some(reason.as_str()),
            Response::Unknown(reason) => Some(reason.as_str()),
        }
    }
}

impl From<&run_outcome::RunOutcome> for Response {
    fn from(end: &run_outcome::RunOutcome) -> Response {
        match end {
            run_outcome::RunOutcome::Done(result) => Response::Done(result.clone()),
            run_outcome::RunOutcome::NotRun(reason) => Response::NotRun(*reason),
            run_outcome::RunOutcome::Unknown => Response::Unknown(UnknownReason::Server),
        }
    }
}
