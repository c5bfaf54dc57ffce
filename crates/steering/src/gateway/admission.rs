//! Who waits for a slot, in which order, and who is refused.

use std::time;

use super::{outcome, placement, request, server_set};
use crate::model;

/// Part of the time that a request has within which it must be expected to be served if it misses
/// its objective; a longer wait would be held against the client without an offer.
const LATE_SHARE: f64 = 0.6;

/// The same for a request that was refused before: a second refusal is worse than a late answer.
const RETURNED_SHARE: f64 = 0.9;

/// New requests of a service that may wait although they miss their objective.
const LATE_WAITING: u32 = 4;

/// Requests of a service that may go on to wait after they turned late; `fleetbench score` compared
/// 4, 10 and all.
const LATE_KEPT: u32 = 10;

/// Part of the expected service time below which a request is not worth sending: the backend
/// server would give it up half done.
const HOPELESS: f64 = 0.7;

/// Part of a route's timeout with which a request is tried, whatever is expected.
const TRIED_SHARE: f64 = 0.3;

/// Shortest time after which a refused client should come back.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Order in which requests get slots; the smallest one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    /// Whether its route gets its part of the service.
    pub is_served: bool,
    /// Whether it can no longer meet its objective.
    pub is_late: bool,
    /// Rank of its route.
    pub rank: u32,
    /// Whether it comes for the first time.
    pub is_first: bool,
    /// When it arrived.
    pub arrived: model::Time,
}

/// How a request stands among those that wait for its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// Whether nothing was decided on it before.
    pub is_new: bool,
    /// Whether its route is starved.
    pub is_starved: bool,
    /// Whether it misses its objective even if it gets a slot now.
    pub is_late: bool,
    /// Late requests that go before it.
    pub late_ahead: u32,
}

/// What is done with a request that waits.
pub(super) enum Verdict {
    /// It goes to the backend server now.
    Send(placement::Choice),
    /// It waits for this one.
    Wait(server_set::ServerIndex),
    /// It is refused, with the time after which its client should come back.
    Refuse(outcome::Reason, time::Duration),
}

/// Decides on a request, for which `choice` is the best backend server.
pub(super) fn verdict(
    req: &request::Request,
    choice: Option<placement::Choice>,
    standing: Standing,
    now: model::Time,
) -> Verdict {
    let Standing {
        is_new,
        is_starved,
        is_late,
        late_ahead,
    } = standing;
    let Some(choice) = choice else {
        return Verdict::Refuse(outcome::Reason::NoServer, MIN_RETRY_AFTER);
    };
    let shortest = time::Duration::from_secs_f64(HOPELESS * choice.warm);
    // A route's new requests are always tried: estimates may be wrong, and only answers mend them.
    let shortest = shortest.min(req.route.timeout.mul_f64(TRIED_SHARE));
    if now + shortest > req.deadline {
        return Verdict::Refuse(outcome::Reason::Deadline, MIN_RETRY_AFTER);
    }
    if choice.wait <= 0.0 {
        return Verdict::Send(choice);
    }
    let wait = time::Duration::from_secs_f64(choice.wait);
    // Little is known of the work of a route of which little is served.
    let work = match is_starved {
        true => shortest,
        false => time::Duration::from_secs_f64(choice.service),
    };
    let done = now + wait + work;
    let has = req.deadline.saturating_sub(req.arrived);
    // A request that was refused before is served late rather than refused again.
    let latest = match (is_new && !is_starved, req.is_client_retry) {
        (true, false) => req.objective().max(req.arrived + has.mul_f64(LATE_SHARE)),
        (true, true) => req.arrived + has.mul_f64(RETURNED_SHARE),
        (false, _) => req.deadline,
    };
    // Requests that miss their objective get the slots that others leave: few of them may wait, and
    // one that would be among the last is told so while it has time to come back.
    let misses = is_late || (is_new && done > req.objective());
    let most = if is_new { LATE_WAITING } else { LATE_KEPT };
    let has_place = !misses || is_starved || req.is_client_retry || late_ahead < most;
    match done <= latest && has_place {
        true => Verdict::Wait(choice.server),
        false => Verdict::Refuse(outcome::Reason::Overload, wait.max(MIN_RETRY_AFTER)),
    }
}
