//! The promises, checked by what callers and backend servers saw.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::Serialize;

use crate::{
    book::{Arrival, At, End, Request, Seen, Span},
    host, keys, plan, server,
};

/// Bounds of the platform's pages: time until a leaving backend server, a version and an evacuation
/// are respected, and the time without faults after which they hold.
const DRAIN: Duration = Duration::from_millis(2500);
const CONFIG: Duration = Duration::from_millis(2500);
const EVACUATE: Duration = Duration::from_millis(5000);
const STABLE: Duration = Duration::from_millis(4000);

/// Time within which a host may still be found at an older version than before.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Time after its last byte within which a request may cross the end of its connection.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Bound on the requests a second of a cold backend server.
const COLD_MOST: f64 = server::COLD_RATE * 1.5 + 5.0;

/// A server with a limit tolerates one and a half times as much and some requests more in a window.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_MOST: f64 = server::LIMIT * 1.5 * 4.0 + 5.0;

/// Time after the request for a pause from which it counts, and the requests that may still come.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
const PAUSE_MOST: usize = 2;

/// Window of the retry budget, and its part of the requests.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.2;

/// Time after the last fault from which requests have to be served again, and the part of them:
/// the pages ask for a quarter after fifteen seconds, the load here is a tenth of the capacity.
const RECOVERY: Duration = Duration::from_secs(4);
const RECOVERED_PART: f64 = 0.9;
/// The same where the machine may be overloaded.
const RECOVERED_LEAST: f64 = 0.25;

/// A promise that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Break {
    /// Promise.
    pub promise: &'static str,
    /// When, in seconds since the start.
    pub at: f64,
    /// What was seen.
    pub seen: String,
}

/// What a run showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Events by kind.
    pub faults: BTreeMap<String, u32>,
    /// Cases of each promise that were checked.
    pub checked: BTreeMap<&'static str, usize>,
    /// Promises that were broken.
    pub broken: Vec<Break>,
}

impl Verdict {
    /// Adds another run's.
    pub fn add(&mut self, other: Verdict) {
        for (fault, count) in other.faults {
            *self.faults.entry(fault).or_default() += count;
        }
        for (promise, count) in other.checked {
            *self.checked.entry(promise).or_default() += count;
        }
        self.broken.extend(other.broken);
    }

    fn check(&mut self, promise: &'static str, at: At, holds: bool, seen: impl FnOnce() -> String) {
        *self.checked.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push(Break {
                promise,
                at: at.as_secs_f64(),
                seen: seen(),
            });
        }
    }
}

/// Checks all promises; those with a time bound only where `is_timed`.
pub fn judge(seen: &Seen, is_timed: bool) -> Verdict {
    let mut verdict = Verdict::default();
    answers(&mut verdict, seen);
    own_customer(&mut verdict, seen);
    at_most_once(&mut verdict, seen);
    never_cut(&mut verdict, seen);
    never_back(&mut verdict, seen);
    retry_budget(&mut verdict, seen);
    let least = if is_timed {
        RECOVERED_PART
    } else {
        RECOVERED_LEAST
    };
    recovery(&mut verdict, seen, least);
    verdict.check(
        "orderly-end",
        seen.healed,
        seen.bad_exits.is_empty(),
        || seen.bad_exits.join(", "),
    );
    verdict.check(
        "keys-unlogged",
        seen.healed,
        seen.lines_with_keys.is_empty(),
        || seen.lines_with_keys.join("\n"),
    );
    if is_timed {
        config_in_force(&mut verdict, seen);
        keys_in_force(&mut verdict, seen);
        leaving(&mut verdict, seen);
        evacuated(&mut verdict, seen);
        cold(&mut verdict, seen);
        limited(&mut verdict, seen);
    }
    marked(&mut verdict, seen);
    paused(&mut verdict, seen);
    verdict
}

/// Each answer is the caller's own, and a backend server's unless it says otherwise.
fn answers(verdict: &mut Verdict, seen: &Seen) {
    for req in &seen.requests {
        let End::Answer {
            status,
            signature,
            body,
            is_whole: true,
        } = &req.end
        else {
            continue;
        };
        let runs = seen.runs.get(&req.id).map_or(&[][..], Vec::as_slice);
        let of_server = runs
            .iter()
            .find(|run| Some(&run.signature) == signature.as_ref());
        let holds = match (of_server, (200..300).contains(status)) {
            (Some(run), _) => run.status == *status && run.body == *body,
            (None, is_success) => !is_success && signature.is_none(),
        };
        verdict.check("own-answer", req.ended, holds, || {
            format!(
                "{} got {status} {signature:?} {body:?}; runs: {runs:?}",
                req.id
            )
        });
    }
}

/// A backend server gets the name of the customer whose key the caller sent, and no key; nothing with
/// a key that no version holds. A key that all versions hold is never denied.
fn own_customer(verdict: &mut Verdict, seen: &Seen) {
    let sent = seen.requests.iter().map(|req| (req.id.as_str(), req.key));
    let sent: HashMap<&str, keys::Key> = sent.collect();
    for arrival in &seen.arrivals {
        let Some(key) = sent.get(arrival.request.as_str()) else {
            continue;
        };
        let customer = key.customer();
        let is_own = customer.is_some_and(|customer| arrival.customers == [customer]);
        verdict.check(
            "own-customer",
            arrival.at,
            is_own && !arrival.has_key,
            || format!("{key:?}: {arrival:?}"),
        );
    }
    for req in &seen.requests {
        if matches!(req.key, keys::Key::Lasting(_)) {
            verdict.check("lasting-key", req.ended, !is_denied(req), || {
                format!("{} was denied by host {}", req.id, req.host)
            });
        }
    }
}

/// Whether a request was denied for its key.
fn is_denied(req: &Request) -> bool {
    matches!(req.end, End::Answer { status: 401, .. })
}

/// A key is taken in time after a version brings it, and no longer after a version revokes it.
fn keys_in_force(verdict: &mut Verdict, seen: &Seen) {
    let stored: HashMap<u64, At> = seen.versions.iter().copied().collect();
    let arrived: std::collections::HashSet<&str> = seen
        .arrivals
        .iter()
        .map(|arrival| arrival.request.as_str())
        .collect();
    for req in &seen.requests {
        let Some((first, end)) = req.key.versions() else {
            continue;
        };
        if !is_calm(seen, Some(req.host), req.sent, req.ended) {
            continue;
        }
        let is_due = |version| {
            stored
                .get(&version)
                .is_some_and(|at| req.sent > *at + CONFIG)
        };
        if is_due(end) {
            let has_arrived = arrived.contains(req.id.as_str());
            verdict.check("key-revoked", req.sent, !has_arrived, || {
                format!("{} at host {} with {:?}", req.id, req.host, req.key)
            });
        } else if is_due(first) && stored.get(&end).is_none_or(|at| req.ended < *at) {
            verdict.check("key-added", req.sent, !is_denied(req), || {
                format!("{} at host {} with {:?}", req.id, req.host, req.key)
            });
        }
    }
}

/// What may not run twice has not, and what was refused has not run.
fn at_most_once(verdict: &mut Verdict, seen: &Seen) {
    for req in seen.requests.iter().filter(|req| !req.is_idempotent) {
        let runs = seen.runs.get(&req.id).map_or(0, Vec::len);
        verdict.check("at-most-once", req.ended, runs <= 1, || {
            format!("{} ran {runs} times", req.id)
        });
        let End::Answer {
            status: 408 | 421 | 429 | 503,
            ..
        } = req.end
        else {
            continue;
        };
        verdict.check("true-refusal", req.ended, runs == 0, || {
            format!("{} was refused and ran", req.id)
        });
    }
}

/// A host that lives and is reached gives each request that it has read a whole answer, also while
/// it stops.
fn never_cut(verdict: &mut Verdict, seen: &Seen) {
    let arrived: HashMap<&str, At> = seen
        .arrivals
        .iter()
        .map(|arrival| (arrival.request.as_str(), arrival.at))
        .collect();
    for req in seen.requests.iter().filter(|req| req.end != End::Left) {
        let life = Span {
            from: req.opened,
            to: req.ended,
        };
        let is_harmed = |(host, span): &(usize, Span)| *host == req.host && span.meets(&life);
        if seen.harmed.iter().any(is_harmed) {
            continue;
        }
        let was_read = arrived.contains_key(req.id.as_str()) || req.ended > req.sent + LOSS_SLACK;
        let holds = match &req.end {
            End::Answer { is_whole, .. } => *is_whole,
            End::Unread => !arrived.contains_key(req.id.as_str()),
            End::Closed => !was_read,
            End::Nothing | End::Left => false,
        };
        verdict.check("never-cut", req.ended, holds, || {
            format!(
                "{} at host {}: {:?} after {:?}; arrived at a server: {:?}",
                req.id,
                req.host,
                req.end,
                req.ended - req.sent,
                arrived.get(req.id.as_str())
            )
        });
    }
}

/// A process that had a version in force never serves an older one.
fn never_back(verdict: &mut Verdict, seen: &Seen) {
    let mut since: HashMap<(usize, u32, u64), At> = HashMap::new();
    for probe in &seen.probes {
        let key = (probe.host, probe.lifetime, probe.version);
        match (probe.is_in_force, since.get(&key)) {
            (Some(true), None) => _ = since.insert(key, probe.at),
            (Some(is_in_force), Some(first)) if probe.at > *first + ROLLBACK_SLACK => {
                verdict.check("never-back", probe.at, is_in_force, || {
                    format!("host {} lost version {}", probe.host, probe.version)
                });
            }
            _ => {}
        }
    }
}

/// Repeats stay within their part of the requests.
fn retry_budget(verdict: &mut Verdict, seen: &Seen) {
    let mut known = std::collections::HashSet::new();
    let mut repeats: Vec<At> = Vec::new();
    for arrival in &seen.arrivals {
        if known.insert(&arrival.request) {
            continue;
        }
        repeats.push(arrival.at);
        let begin = arrival.at.saturating_sub(BUDGET_WINDOW);
        let count = repeats.iter().filter(|at| **at > begin).count();
        let sent = |req: &&Request| req.sent > begin && req.sent <= arrival.at && !is_denied(req);
        let requests = seen.requests.iter().filter(sent).count();
        let most = BUDGET_RATIO * requests as f64 + f64::from(host::BUDGET_SLACK);
        verdict.check("retry-budget", arrival.at, count as f64 <= most, || {
            format!("{count} repeats beside {requests} requests")
        });
    }
}

/// After the last fault requests are served again.
fn recovery(verdict: &mut Verdict, seen: &Seen, least: f64) {
    let late: Vec<&Request> = seen
        .requests
        .iter()
        .filter(|req| req.sent > seen.healed + RECOVERY)
        .filter(|req| !matches!(req.end, End::Left | End::Unread))
        .filter(|req| matches!(req.key, keys::Key::Lasting(_)))
        .collect();
    let is_served = |req: &&&Request| {
        matches!(
            &req.end,
            End::Answer {
                status: 200,
                is_whole: true,
                ..
            }
        )
    };
    let served = late.iter().filter(is_served).count();
    let holds = !late.is_empty() && served as f64 >= least * late.len() as f64;
    verdict.check("recovery", seen.healed, holds, || {
        format!("{served} of {} requests were served", late.len())
    });
}

/// Whether nothing unplanned was active in a time and the stable time before it, and a host did
/// not stop or start in it.
fn is_calm(seen: &Seen, host: Option<usize>, from: At, to: At) -> bool {
    let span = Span {
        from: from.saturating_sub(STABLE),
        to,
    };
    let stops = |(stopping, stop): &(usize, Span)| Some(*stopping) == host && stop.meets(&span);
    !seen.unplanned.iter().any(|other| other.meets(&span)) && !seen.stops.iter().any(stops)
}

/// A version is in force everywhere in time.
fn config_in_force(verdict: &mut Verdict, seen: &Seen) {
    let versions: HashMap<u64, At> = seen.versions.iter().copied().collect();
    for probe in &seen.probes {
        let (Some(known), Some(is_in_force)) = (versions.get(&probe.version), probe.is_in_force)
        else {
            continue;
        };
        if probe.at > *known + CONFIG && is_calm(seen, Some(probe.host), probe.at, probe.at) {
            verdict.check("config-in-force", probe.at, is_in_force, || {
                format!("host {} has no version {}", probe.host, probe.version)
            });
        }
    }
}

/// Host that sent a request on, where its caller is known.
fn senders(seen: &Seen) -> HashMap<&str, usize> {
    let of_requests = seen.requests.iter();
    of_requests.map(|req| (req.id.as_str(), req.host)).collect()
}

/// Leaving backend servers get nothing after a while.
fn leaving(verdict: &mut Verdict, seen: &Seen) {
    let senders = senders(seen);
    for leaving in &seen.leaving {
        let due = leaving.at + DRAIN;
        let late = |arrival: &&Arrival| arrival.server == leaving.server && arrival.at > due;
        let calm = |arrival: &&Arrival| {
            let host = senders.get(arrival.request.as_str()).copied();
            is_calm(seen, host, leaving.at, arrival.at)
        };
        let first = seen.arrivals.iter().filter(late).find(calm);
        verdict.check("leaving", leaving.at, first.is_none(), || {
            format!("{} got {first:?}", leaving.server)
        });
    }
}

/// Evacuated data centres get nothing after a while.
fn evacuated(verdict: &mut Verdict, seen: &Seen) {
    let senders = senders(seen);
    for (servers, span) in &seen.evacuations {
        let due = span.from + EVACUATE;
        let first = seen
            .arrivals
            .iter()
            .filter(|arrival| arrival.at > due && arrival.at < span.to)
            .filter(|arrival| servers.contains(&arrival.server))
            .find(|arrival| {
                let host = senders.get(arrival.request.as_str()).copied();
                is_calm(seen, host, span.from, arrival.at)
            });
        verdict.check("evacuated", span.from, first.is_none(), || {
            format!("{first:?}")
        });
    }
}

/// Cold backend servers get no more a second than they tolerate.
fn cold(verdict: &mut Verdict, seen: &Seen) {
    for (server, span) in &seen.cold {
        let within = |arrival: &&Arrival| {
            arrival.server == *server && arrival.at >= span.from && arrival.at <= span.to
        };
        let times: Vec<At> = seen.arrivals.iter().filter(within).map(|a| a.at).collect();
        let second = Duration::from_secs(1);
        let most = times
            .iter()
            .map(|end| {
                times
                    .iter()
                    .filter(|at| **at <= *end && **at + second > *end)
                    .count()
            })
            .max()
            .unwrap_or(0);
        verdict.check("cold-rate", span.from, most as f64 <= COLD_MOST, || {
            format!("{server} got {most} in a second")
        });
    }
}

/// Arrivals at a backend server in a span, with the host that sent each.
fn arrivals<'a>(
    seen: &'a Seen,
    senders: &HashMap<&str, usize>,
    server: &str,
    span: Span,
) -> Vec<(&'a Arrival, usize)> {
    seen.arrivals
        .iter()
        .filter(|arrival| arrival.server == server)
        .filter(|arrival| arrival.at > span.from && arrival.at < span.to)
        .filter_map(|arrival| Some((arrival, *senders.get(arrival.request.as_str())?)))
        .collect()
}

/// Whether a host neither stood still nor ended in a span.
fn is_alive(seen: &Seen, host: usize, span: Span) -> bool {
    let spans = seen.harmed.iter().chain(&seen.stops);
    !spans
        .into_iter()
        .any(|(other, harm)| *other == host && harm.meets(&span))
}

/// Backend servers get no more than the limits that they name.
fn limited(verdict: &mut Verdict, seen: &Seen) {
    let senders = senders(seen);
    let limits = seen
        .signals
        .iter()
        .filter(|(_, signal, _)| *signal == plan::Signal::Limit);
    for (server, _, span) in limits {
        let stable = Span {
            from: span.from + STABLE,
            to: span.to,
        };
        let arrived = arrivals(seen, &senders, server, stable);
        let most = arrived
            .iter()
            .map(|(first, _)| {
                let end = first.at + LIMIT_WINDOW;
                let window = arrived.iter().filter(|(other, host)| {
                    let told = Span {
                        from: span.from,
                        to: other.at,
                    };
                    other.at >= first.at && other.at < end && is_alive(seen, *host, told)
                });
                window.count()
            })
            .max()
            .unwrap_or(0);
        verdict.check("limit", span.from, most as f64 <= LIMIT_MOST, || {
            format!("{server} got {most} in {LIMIT_WINDOW:?}")
        });
    }
}

/// A host that has passed on the answer of a server that leaves sends it nothing that came later.
fn marked(verdict: &mut Verdict, seen: &Seen) {
    let senders = senders(seen);
    let leaving = seen
        .signals
        .iter()
        .filter(|(_, signal, _)| *signal == plan::Signal::Leave);
    for (server, _, span) in leaving {
        let arrived = arrivals(seen, &senders, server, *span);
        for (arrival, host) in &arrived {
            let req = seen.requests.iter().find(|req| req.id == arrival.request);
            let Some(req) = req.filter(|req| req.sent < arrival.at) else {
                continue;
            };
            let was_told = arrived.iter().any(|(earlier, other)| {
                let answered = seen.requests.iter().find(|r| r.id == earlier.request);
                other == host
                    && answered.is_some_and(|answered| {
                        let told = Span {
                            from: answered.ended,
                            to: arrival.at,
                        };
                        matches!(&answered.end, End::Answer { signature: Some(s), .. } if s.starts_with(server.as_str()))
                            && answered.ended + DRAIN < req.sent
                            && is_alive(seen, *host, told)
                    })
            });
            verdict.check("leaving-mark", arrival.at, !was_told, || {
                format!("{server} got {} from host {host}", req.id)
            });
        }
    }
}

/// A host leaves a server alone in the pause that it was asked for.
fn paused(verdict: &mut Verdict, seen: &Seen) {
    let senders = senders(seen);
    for (server, request, span) in &seen.pauses {
        let Some(host) = senders.get(request.as_str()) else {
            continue;
        };
        if !is_alive(seen, *host, *span) {
            continue;
        }
        let counted = Span {
            from: span.from + PAUSE_SLACK,
            to: span.to,
        };
        let arrived = arrivals(seen, &senders, server, counted);
        let count = arrived.iter().filter(|(_, other)| other == host).count();
        verdict.check("pause", span.from, count <= PAUSE_MOST, || {
            format!("{server} got {count} from host {host} in its pause")
        });
    }
}
