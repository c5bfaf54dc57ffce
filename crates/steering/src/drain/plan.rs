//! Begin and end of a planned drain.

use std::time;

use serde::Serialize;

use crate::{config, model, numbers};

/// Ratio of the planned duration of the capped shift steps to their minimum duration; leaves time
/// for steps that begin late.
const SHIFT_TIME_RATIO: f64 = 1.25;

/// Begin and end of a planned drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// When a server or host stops receiving new work, or the first step moves traffic away from a
    /// data centre.
    pub begin: model::Time,
    /// Latest time at which the last request ends, provided that there is capacity elsewhere.
    pub end: model::Time,
    /// Whether `end` is after the requested time.
    pub late: bool,
}

/// Plans a drain that was first observed at `observed_at`.
pub fn plan(doc: &config::Document, drain: &config::Drain, observed_at: model::Time) -> Plan {
    let needed = drain_duration(doc, &drain.target);
    let latest_begin = drain.empty_by.map(|by| by.saturating_sub(needed));
    let begin = latest_begin.map_or(observed_at, |latest_begin| latest_begin.max(observed_at));
    let end = begin + needed;
    Plan {
        begin,
        end,
        late: drain.empty_by.is_some_and(|by| end > by),
    }
}

/// Time from the begin of the drain until the target is empty.
fn drain_duration(doc: &config::Document, target: &config::DrainTarget) -> time::Duration {
    let request_time = max_request_time(doc, target);
    match target {
        config::DrainTarget::Server(_) => request_time,
        config::DrainTarget::Host(_) => doc.lookup_ttl + request_time,
        config::DrainTarget::DataCentre(id) => {
            shift_duration(doc, &|work: &config::Work| is_served_in(doc, work, id)) + request_time
        }
    }
}

/// Maximum time that a request still takes at the target: the longest deadline of the kinds of work
/// that it serves.
pub fn max_request_time(doc: &config::Document, target: &config::DrainTarget) -> time::Duration {
    match target {
        config::DrainTarget::Server(id) => longest_deadline(doc, |work| {
            let server = doc.servers.get(id);
            server.is_some_and(|s| s.service == work.service)
        }),
        config::DrainTarget::Host(_) => longest_deadline(doc, |_| true),
        config::DrainTarget::DataCentre(id) => {
            longest_deadline(doc, |work| is_served_in(doc, work, id))
        }
    }
}

fn is_served_in(doc: &config::Document, work: &config::Work, data_centre: &str) -> bool {
    let mut servers = doc.servers.values();
    servers.any(|s| s.data_centre == data_centre && s.service == work.service)
}

fn longest_deadline(
    doc: &config::Document,
    served: impl Fn(&config::Work) -> bool,
) -> time::Duration {
    doc.work
        .values()
        .filter(|work| served(work))
        .map(|work| work.deadline)
        .max()
        .unwrap_or_default()
}

/// Time that the capped shift steps take for the slowest kind of work.
fn shift_duration(
    doc: &config::Document,
    served: &impl Fn(&config::Work) -> bool,
) -> time::Duration {
    doc.work
        .iter()
        .filter(|(_, work)| served(work))
        .map(|(id, _)| doc.shift_cap(id))
        .map(|cap| {
            let intervals = (1.0 / cap.share).ceil() * SHIFT_TIME_RATIO;
            numbers::saturating_duration(cap.interval.as_secs_f64() * intervals)
        })
        .max()
        .unwrap_or_default()
}
