//! Choice of the backend server of a request.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{request, server, server_set, service_times};
use crate::model;

/// Chance that the preferred backend server of an object has it in its cache although this host
/// has not seen it there: other hosts of the data centre prefer the same one.
const PREFERRED_WARM: f64 = 0.5;

/// Weight of a backend server's failure rate against its expected completion time.
const FAILURE_WEIGHT: f64 = 4.0;

/// Weight of the additional work of a cold request at another backend server than the preferred
/// one: it takes slots from other requests and displaces other objects from the cache.
const SPREAD_WEIGHT: f64 = 1.0;

/// Backend servers of a data centre that requests for one object are spread over at most: each
/// further one loads it into its cache and displaces others.
const CANDIDATES: usize = 2;

/// What a choice takes into account besides the backend servers.
pub(super) struct Cx<'a> {
    /// Backend servers.
    pub fleet: &'a server_set::ServerSet,
    /// Service times.
    pub times: &'a service_times::ServiceTimeEstimates,
    /// Data centre and region of this host.
    pub data_centre: &'a str,
    /// Region of each data centre.
    pub regions: &'a collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// Requests that wait for each backend server and go first.
    pub ahead: &'a collections::HashMap<server_set::ServerIndex, u32>,
}

/// The best backend server for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// Backend server.
    pub server: server_set::ServerIndex,
    /// Time until it has a slot; zero where it has one.
    pub wait: f64,
    /// Expected service time.
    pub service: f64,
    /// Service time where the object is in the cache.
    pub warm: f64,
    score: f64,
}

/// Backend server with the earliest expected completion, in the nearest data centre that has any.
pub(super) fn choose(cx: &Cx<'_>, req: &request::Request, now: model::Time) -> Option<Choice> {
    let own_region = cx.regions.get(cx.data_centre);
    let tier = |data_centre: &str, region: &model::RegionId| {
        (data_centre != cx.data_centre, Some(region) != own_region)
    };
    [(false, false), (true, false), (true, true)]
        .into_iter()
        .find_map(|wanted| {
            let usable: Vec<Candidate> = cx
                .regions
                .iter()
                .filter(|(data_centre, region)| tier(data_centre, region) == wanted)
                .filter(|(_, region)| req.route.allows(region))
                .flat_map(|(data_centre, _)| cx.fleet.servers_in(&req.service, data_centre))
                .filter(|index| !req.tried_servers.contains(index))
                .filter_map(|index| Some((*index, cx.fleet.get(*index)?)))
                .filter(|(_, server)| server.is_usable(now))
                .collect();
            best_of(cx, req, usable, now)
        })
}

/// A backend server and its name within the process.
type Candidate<'a> = (server_set::ServerIndex, &'a server::Server);

fn best_of(
    cx: &Cx<'_>,
    req: &request::Request,
    usable: Vec<Candidate<'_>>,
    now: model::Time,
) -> Option<Choice> {
    candidates(req, usable)
        .into_iter()
        .enumerate()
        .map(|(at, candidate)| judge(cx, req, candidate, at == 0 && req.object.is_some(), now))
        .min_by(|a, b| a.score.total_cmp(&b.score))
}

/// Backend servers that a request is given to, the preferred one first; all where it concerns no
/// object.
fn candidates<'a>(req: &request::Request, mut usable: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
    if let Some(object) = req.object {
        usable.sort_by_cached_key(|(_, server)| std::cmp::Reverse(weight(server.hash, object)));
        usable.truncate(CANDIDATES);
    }
    usable
}

fn judge(
    cx: &Cx<'_>,
    req: &request::Request,
    (index, server): Candidate<'_>,
    is_preferred: bool,
    now: model::Time,
) -> Choice {
    let slowness = server.slowness(now);
    let warm = cx.times.expect(&req.route, true) * slowness;
    let cold = cx.times.expect(&req.route, false) * slowness;
    let service = match req.object {
        Some(object) if server.is_warm_for(object) => warm,
        Some(_) if is_preferred => PREFERRED_WARM * warm + (1.0 - PREFERRED_WARM) * cold,
        _ => cold,
    };
    let ahead = cx.ahead.get(&index).copied().unwrap_or(0);
    let load = server.in_flight() + server.others(now) + ahead;
    let slots = server.entry.slots.max(1);
    let queued = (load + 1).saturating_sub(slots);
    let mean = (warm + cold) / 2.0;
    let queue_wait = f64::from(queued) * mean / f64::from(slots);
    let full_wait = if server.is_full(now) {
        mean / f64::from(slots)
    } else {
        0.0
    };
    let wait = queue_wait.max(full_wait).max(cold_wait(server, ahead, now));
    let spread = match is_preferred {
        true => 0.0,
        false => SPREAD_WEIGHT * (service - warm),
    };
    let completion = wait + service + spread;
    // A new backend server is tried with objects that will be its own.
    let is_first_try = is_preferred && server.is_untried() && wait <= 0.0;
    Choice {
        server: index,
        wait,
        service,
        warm,
        score: if is_first_try {
            0.0
        } else {
            completion * (1.0 + FAILURE_WEIGHT * server.failure_rate())
        },
    }
}

/// Time until a cold backend server's rate allows the request, behind those that go first.
fn cold_wait(server: &server::Server, ahead: u32, now: model::Time) -> f64 {
    if !server.is_cold(now) {
        return 0.0;
    }
    const INTERVAL: time::Duration = time::Duration::from_millis(100);
    (server.cold_wait(now) + INTERVAL * ahead).as_secs_f64()
}

/// Rendezvous hash: the backend server with the largest weight is the preferred one.
fn weight(server: u64, object: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&server.to_le_bytes(), object)
}
