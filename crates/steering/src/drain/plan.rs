//! Begin and end of a planned stop.

use std::time;

use serde::Serialize;

use crate::{config, model};

/// Time over the fewest capped steps that a plan leaves for late steps.
const SLACK: f64 = 1.25;

/// Begin and end of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// When new work stops going to a server or host, or the first step leaves a data centre.
    pub begin: model::Time,
    /// When the last request has ended, at the latest, if there is room elsewhere.
    pub end: model::Time,
    /// Whether it cannot be empty by the time asked for.
    pub late: bool,
}

/// Plans a stop that was seen at `seen`.
pub fn plan(doc: &config::Document, drain: &config::Drain, seen: model::Time) -> Plan {
    let needed = duration(doc, &drain.target);
    let latest = drain.empty_by.map(|by| by.saturating_sub(needed));
    let begin = latest.map_or(seen, |latest| latest.max(seen));
    let end = begin + needed;
    Plan {
        begin,
        end,
        late: drain.empty_by.is_some_and(|by| end > by),
    }
}

/// Time from the begin to empty.
fn duration(doc: &config::Document, target: &config::DrainTarget) -> time::Duration {
    let last = max_request_time(doc, target);
    match target {
        config::DrainTarget::Server(_) => last,
        config::DrainTarget::Host(_) => doc.lookup_ttl + last,
        config::DrainTarget::DataCentre(id) => {
            steps(doc, &|work: &config::Work| is_served_in(doc, work, id)) + last
        }
    }
}

/// Time that the last requests take at most, once no new ones come.
pub fn max_request_time(doc: &config::Document, target: &config::DrainTarget) -> time::Duration {
    match target {
        config::DrainTarget::Server(id) => longest_request(doc, |work| {
            let server = doc.servers.get(id);
            server.is_some_and(|s| s.service == work.service)
        }),
        config::DrainTarget::Host(_) => longest_request(doc, |_| true),
        config::DrainTarget::DataCentre(id) => {
            longest_request(doc, |work| is_served_in(doc, work, id))
        }
    }
}

fn is_served_in(doc: &config::Document, work: &config::Work, data_centre: &str) -> bool {
    let mut servers = doc.servers.values();
    servers.any(|s| s.data_centre == data_centre && s.service == work.service)
}

fn longest_request(
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

/// Time that the capped steps of the slowest kind of work take.
fn steps(doc: &config::Document, served: &impl Fn(&config::Work) -> bool) -> time::Duration {
    doc.work
        .iter()
        .filter(|(_, work)| served(work))
        .map(|(id, _)| doc.shift_cap(id))
        .map(|cap| cap.interval.mul_f64((1.0 / cap.share).ceil() * SLACK))
        .max()
        .unwrap_or_default()
}
