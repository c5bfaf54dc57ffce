//! Admission control: priority of waiting requests, and which of them are refused.

use std::time;

use super::{dispatcher, outcome, placement, request, server_set};
use crate::{model, numbers};

/// Part of a pause over which the clients come back that were refused in it.
const RETURN_SPREAD: f64 = 0.5;

/// Part of the time between arrival and deadline within which a new request that misses its
/// objective must be expected to complete.  A request that would take longer is refused at once, so
/// that its client does not spend its time waiting for nothing.
const MAX_LATE_COMPLETION_SHARE: f64 = 0.6;

/// Part of the time between arrival and deadline within which a new client retry must be expected to
/// complete; longer, because a second refusal is worse than a late response.
const MAX_CLIENT_RETRY_COMPLETION_SHARE: f64 = 0.9;

/// Late requests that may already wait for a service when a new request that misses its objective
/// is queued.
const MAX_LATE_REQUESTS_AHEAD_OF_NEW: u32 = 4;

/// Requests of a service that may keep waiting after they have become late.
const MAX_LATE_REQUESTS_KEPT: u32 = 10;

/// Part of the expected service time with the object cached.  A request is sent only if this much
/// time is left until its deadline; with less the backend server would abandon it unfinished.
const MIN_SERVICE_TIME_SHARE: f64 = 0.7;

/// Part of a route's timeout that is always enough time left to send a request, whatever service
/// time is expected.
const SUFFICIENT_TIMEOUT_SHARE: f64 = 0.3;

/// Shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Sort key of waiting requests: smaller values get slots first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    /// Whether its route is not starved.
    pub is_not_starved: bool,
    /// Whether it can no longer meet the objective of its route.
    pub is_late: bool,
    /// Rank of its route.
    pub rank: u32,
    /// Whether it is not a client retry; client retries go first.
    pub is_first_request: bool,
    /// Arrival time.
    pub arrived: model::Time,
}

/// State of a request in the queue of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueState {
    /// Whether this is the first decision on it.
    pub is_new: bool,
    /// Whether its route is starved.
    pub is_starved: bool,
    /// Whether it misses its objective even if it gets a slot now.
    pub is_late: bool,
    /// Number of late requests with a higher priority.
    pub late_ahead: u32,
}

/// Result of admission control for one waiting request.
pub(super) enum AdmissionDecision {
    /// Send it to the chosen backend server now.
    Send(placement::Choice),
    /// Keep it waiting for a slot of this backend server.
    Wait(server_set::ServerIndex),
    /// Refuse it; the client should retry after the given time.
    Refuse(outcome::Reason, time::Duration),
}

/// Decides on one request; `choice` is the best backend server for it, or `None` without a usable
/// one.
pub(super) fn decide(
    req: &request::Request,
    choice: Option<placement::Choice>,
    state: QueueState,
    now: model::Time,
) -> AdmissionDecision {
    let QueueState {
        is_new,
        is_starved,
        is_late,
        late_ahead,
    } = state;
    let Some(choice) = choice else {
        return AdmissionDecision::Refuse(outcome::Reason::NoServer, MIN_RETRY_AFTER);
    };
    let min_time = numbers::saturating_duration(MIN_SERVICE_TIME_SHARE * choice.cached_seconds);
    // A route's requests are sent with a fixed part of its timeout left: the estimate may be too
    // high, and only responses correct it.
    let min_time = min_time.min(req.route.timeout.mul_f64(SUFFICIENT_TIMEOUT_SHARE));
    if now + min_time > req.deadline {
        return AdmissionDecision::Refuse(outcome::Reason::Deadline, MIN_RETRY_AFTER);
    }
    if choice.wait_seconds <= 0.0 {
        return AdmissionDecision::Send(choice);
    }
    let wait = numbers::saturating_duration(choice.wait_seconds);
    // The service time estimate of a starved route rests on few responses.
    let service_time = match is_starved {
        true => min_time,
        false => numbers::saturating_duration(choice.service_seconds),
    };
    let completion = now + wait + service_time;
    let time_limit = req.deadline.saturating_sub(req.arrived);
    // A client retry is served late rather than refused again.
    let latest_completion = match (is_new && !is_starved, req.is_client_retry) {
        (true, false) => req
            .objective()
            .max(req.arrived + time_limit.mul_f64(MAX_LATE_COMPLETION_SHARE)),
        (true, true) => req.arrived + time_limit.mul_f64(MAX_CLIENT_RETRY_COMPLETION_SHARE),
        (false, _) => req.deadline,
    };
    // Late requests get only the slots that others leave.  A bounded number of them may wait; the
    // rest are refused while their clients still have time to retry.
    let misses_objective = is_late || (is_new && completion > req.objective());
    let max_late = if is_new {
        MAX_LATE_REQUESTS_AHEAD_OF_NEW
    } else {
        MAX_LATE_REQUESTS_KEPT
    };
    let may_wait = !misses_objective || is_starved || req.is_client_retry || late_ahead < max_late;
    match completion <= latest_completion && may_wait {
        true => AdmissionDecision::Wait(choice.server),
        false => AdmissionDecision::Refuse(outcome::Reason::Overload, wait.max(MIN_RETRY_AFTER)),
    }
}

/// Time after which a client should retry when the servers that it waits for end their pauses.
/// Without an order, all would come back at that moment: the more urgent come first, and those of
/// one rank one after the other.
pub(super) fn order_of_return(
    wait: time::Duration,
    rank: u32,
    ticket: dispatcher::Ticket,
) -> time::Duration {
    const MAX_RANK: u32 = 4;
    const PLACES: u64 = 8;
    let place = (ticket % PLACES) as f64 / PLACES as f64;
    let order = (f64::from(rank.min(MAX_RANK)) + place) / f64::from(MAX_RANK + 1);
    wait.mul_f64(1.0 + RETURN_SPREAD * order)
}
