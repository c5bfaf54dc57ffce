//! What became of a sending, and what follows from it.

use super::{policy, request};
use crate::model;

/// What became of a sending to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that is no failure of the backend server.
    Answered,
    /// A whole answer that reports a failure of the backend server (5xx).
    Failed,
    /// The backend server proved that it did not run the request, for lack of room.
    Shed,
    /// Another backend server has the address now; it did not run the request.
    Misdirected,
    /// No byte of the request was sent.
    Unreachable,
    /// The answer broke off, was malformed or belonged to another request; the request may have
    /// run.
    Broken,
    /// Time ran out while the backend server was at work.
    TimedOut,
    /// The client went away.
    Cancelled,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No slot is expected in time.
    Overload,
    /// Too little time is left to serve it.
    Deadline,
    /// No usable backend server is known.
    NoServer,
    /// No configuration is known yet.
    NoPolicy,
    /// The backend servers refused it, and it may not be sent again.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
    /// The host is stopping.
    Stopping,
}

impl Reason {
    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Deadline => "deadline",
            Reason::NoServer => "no-server",
            Reason::NoPolicy => "no-policy",
            Reason::Attempts => "attempts",
            Reason::Budget => "budget",
            Reason::Stopping => "stopping",
        }
    }
}

/// What follows from the outcome of a sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The backend server's answer goes to the client.
    Deliver,
    /// The request goes to another backend server; `costs` tells whether the retry budget pays.
    Retry {
        /// Whether the sending arrived at a backend server.
        uses_budget: bool,
    },
    /// The client is told that the request has not run.
    Refuse(Reason),
    /// The client is told that the outcome is unknown.
    Unknown,
}

impl Outcome {
    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Shed => "shed",
            Outcome::Misdirected => "misdirected",
            Outcome::Unreachable => "unreachable",
            Outcome::Broken => "broken",
            Outcome::TimedOut => "timed-out",
            Outcome::Cancelled => "cancelled",
        }
    }

    /// Whether a backend server received the request.
    pub fn reached_server(self) -> bool {
        self != Outcome::Unreachable
    }

    /// Whether the request is proven not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Shed | Outcome::Misdirected | Outcome::Unreachable
        )
    }

    /// What follows; `arrivals` counts the backend servers that received the request.
    pub fn next_action(
        self,
        req: &request::Request,
        arrivals: u32,
        now: model::Time,
    ) -> NextAction {
        let may_repeat = self.is_not_run() || req.route.is_idempotent;
        let in_time = now < req.deadline;
        let retry = may_repeat && in_time && arrivals < attempts(&req.route);
        match self {
            Outcome::Answered => NextAction::Deliver,
            Outcome::TimedOut | Outcome::Cancelled => NextAction::Unknown,
            _ if retry => NextAction::Retry {
                uses_budget: self.reached_server(),
            },
            Outcome::Failed => NextAction::Deliver,
            _ if self.is_not_run() => NextAction::Refuse(Reason::Attempts),
            _ => NextAction::Unknown,
        }
    }
}

fn attempts(route: &policy::Route) -> u32 {
    route.attempts.max(1)
}
