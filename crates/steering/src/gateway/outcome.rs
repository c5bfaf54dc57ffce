//! Outcome of an attempt, and the action that follows from it.

use super::{policy, request};
use crate::model;

/// Outcome of an attempt to have a request served by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response that does not report a server failure.
    Answered,
    /// Complete response that reports a server failure: 5xx, or a status that claims that the request
    /// has not run, although the server does not state so.
    Failed,
    /// The backend server had no free capacity and signalled that it did not execute the request.
    Shed,
    /// The address now belongs to another backend server, which did not execute the request.
    Misdirected,
    /// No byte of the request was sent.
    Unreachable,
    /// The backend server was to get no more requests when the request was about to be sent; no
    /// byte of it was sent.
    Withdrawn,
    /// The response was truncated, malformed or belonged to another request; the request may have
    /// been executed.
    Broken,
    /// The deadline passed before the response was complete.
    TimedOut,
    /// The client closed its connection.
    Cancelled,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No slot is expected to become free in time.
    Overload,
    /// Too little time is left until the deadline.
    Deadline,
    /// No usable backend server is known.
    NoServer,
    /// No configuration is known yet.
    NoPolicy,
    /// The backend servers did not execute it, and no time is left for another attempt or the largest
    /// number of them has received it.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
    /// The host is shutting down.
    Stopping,
    /// Backend servers crash under it.
    CrashesServers,
    /// The quota of its customer is used up.
    OverQuota,
    /// No host has answered that holds more of the quota of its customer.
    QuotaUnknown,
    /// The host has no memory left for its body.
    Memory,
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
            Reason::CrashesServers => "crashes-servers",
            Reason::OverQuota => "over-quota",
            Reason::QuotaUnknown => "quota-unknown",
            Reason::Memory => "memory",
        }
    }
}

/// Action that follows the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Forward the backend server's response to the client.
    Deliver,
    /// Send the request to another backend server.
    Retry {
        /// Whether the retry counts against the retry budget: only if the failed attempt reached a
        /// backend server.
        uses_budget: bool,
    },
    /// Tell the client that the request was not executed.
    Refuse(Reason),
    /// Tell the client that the outcome is unknown.
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
            Outcome::Withdrawn => "withdrawn",
            Outcome::Broken => "broken",
            Outcome::TimedOut => "timed-out",
            Outcome::Cancelled => "cancelled",
        }
    }

    /// Whether a backend server received the request.
    pub fn reached_server(self) -> bool {
        !matches!(self, Outcome::Unreachable | Outcome::Withdrawn)
    }

    /// Whether the request was certainly not executed.
    pub fn was_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Shed | Outcome::Misdirected | Outcome::Unreachable | Outcome::Withdrawn
        )
    }

    /// Returns the next action; `received_count` is the number of backend servers that received the
    /// request so far.
    pub fn next_action(
        self,
        req: &request::Request,
        received_count: u32,
        now: model::Time,
    ) -> NextAction {
        let is_repeatable = self.was_not_executed() || req.route.is_idempotent;
        let has_time_left = now < req.deadline;
        let may_retry = is_repeatable && has_time_left && received_count < max_attempts(&req.route);
        match self {
            Outcome::Answered => NextAction::Deliver,
            Outcome::TimedOut | Outcome::Cancelled => NextAction::Unknown,
            _ if may_retry => NextAction::Retry {
                uses_budget: self.reached_server(),
            },
            Outcome::Failed => NextAction::Deliver,
            _ if self.was_not_executed() => NextAction::Refuse(Reason::Attempts),
            _ => NextAction::Unknown,
        }
    }
}

fn max_attempts(route: &policy::Route) -> u32 {
    route.attempts.max(1)
}
