//! Choice of the backend server of a request.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{estimate, fleet, request, server};
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
    pub fleet: &'a fleet::Fleet,
    /// Service times.
    pub times: &'a estimate::ServiceTimes,
    /// Data centre and region of this host.
    pub data_centre: &'a str,
    /// Region of each data centre.
    pub regions: &'a collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// Requests of the other hosts in progress at each backend server.
    pub others: &'a collections::HashMap<model::ServerId, u32>,
    /// Requests that wait for each backend server and go first.
    pub ahead: &'a collections::HashMap<fleet::ServerIndex, u32>,
}

/// The best backend server for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// Backend server.
    pub server: fleet::ServerIndex,
    /// Time until it has a slot; zero where it has one.
    pub wait: f64,
    /// Expected service time.
    pub service: f64,
    score: f64,
}

/// Backend server with the earliest expected completion, in the nearest data centre that has any.
pub(super) fn choose(cx: &Cx<'_>, req: &request::Request, now: model::Time) -> Option<Choice> {
    tiers(cx, req).into_iter().find_map(|data_centres| {
        let usable: Vec<fleet::ServerIndex> = data_centres
            .iter()
            .flat_map(|data_centre| cx.fleet.group(&req.service, data_centre))
            .copied()
            .filter(|index| !req.tried.contains(index))
            .filter(|index| {
                cx.fleet
                    .get(*index)
                    .is_some_and(|s| cx.fleet.is_usable(s, now))
            })
            .collect();
        best_of(cx, req, &usable, now)
    })
}

/// Data centres that may serve the request, the nearest ones first.
fn tiers<'a>(cx: &Cx<'a>, req: &request::Request) -> [Vec<&'a str>; 3] {
    let own_region = cx.regions.get(cx.data_centre);
    let mut tiers = [Vec::new(), Vec::new(), Vec::new()];
    for (data_centre, region) in cx.regions {
        if !req.route.allows(region) {
            continue;
        }
        let tier = match (data_centre == cx.data_centre, Some(region) == own_region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        tiers[tier].push(data_centre.as_str());
    }
    tiers
}

fn best_of(
    cx: &Cx<'_>,
    req: &request::Request,
    usable: &[fleet::ServerIndex],
    now: model::Time,
) -> Option<Choice> {
    let ranked = candidates(cx, req, usable);
    let preferred = req.object.and_then(|_| ranked.first().copied());
    ranked
        .iter()
        .filter_map(|index| {
            let server = cx.fleet.get(*index)?;
            Some(judge(
                cx,
                req,
                *index,
                server,
                preferred == Some(*index),
                now,
            ))
        })
        .min_by(|a, b| a.score.total_cmp(&b.score))
}

/// Backend servers that a request is given to, the preferred one first; all where it concerns no
/// object.
fn candidates(
    cx: &Cx<'_>,
    req: &request::Request,
    usable: &[fleet::ServerIndex],
) -> Vec<fleet::ServerIndex> {
    let Some(object) = req.object else {
        return usable.to_vec();
    };
    let mut weighed: Vec<(u64, fleet::ServerIndex)> = usable
        .iter()
        .filter_map(|index| Some((weight(&cx.fleet.get(*index)?.entry.id, object), *index)))
        .collect();
    weighed.sort_unstable_by_key(|weighed| std::cmp::Reverse(*weighed));
    weighed
        .into_iter()
        .take(CANDIDATES)
        .map(|(_, index)| index)
        .collect()
}

fn judge(
    cx: &Cx<'_>,
    req: &request::Request,
    index: fleet::ServerIndex,
    server: &server::Server,
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
    let others = cx.others.get(&server.entry.id).copied().unwrap_or(0);
    let ahead = cx.ahead.get(&index).copied().unwrap_or(0);
    let load = server.in_flight() + others + ahead;
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
fn weight(server: &str, object: u64) -> u64 {
    xxh3::xxh3_64_with_seed(server.as_bytes(), object)
}
