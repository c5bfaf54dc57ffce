//! Selection of the backend server for a request.

use std::collections;

use xxhash_rust::xxh3;

use super::{remote_in_flight, request, send_shares, server, server_set, service_times};
use crate::model;

/// Share of requests that find their object cached at its preferred backend server although this
/// host has not sent it there: the other hosts of the data centre prefer the same server.
const CACHED_SHARE: f64 = 0.5;

/// Weight of a backend server's failure rate relative to its expected completion time.
const FAILURE_WEIGHT: f64 = 4.0;

/// Weight of the additional service time at a backend server that is not the preferred one and does
/// not have the object cached.  Loading it takes a slot from other requests, and evicts an object
/// whose next requests take longer and load it somewhere again.
const EXTRA_UNCACHED_TIME_WEIGHT: f64 = 4.0;

/// Largest number of backend servers in a data centre that get requests for one object: each of
/// them loads the object into its cache and evicts others.
const MAX_CANDIDATES: usize = 2;

/// State of the host that the selection depends on.
pub(super) struct PlacementContext<'a> {
    /// Known backend servers.
    pub servers: &'a server_set::ServerSet,
    /// Estimated service times.
    pub times: &'a service_times::ServiceTimeEstimates,
    /// Data centre of this host.
    pub data_centre: &'a str,
    /// Region of each data centre.
    pub regions: &'a collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// Shares of this host in the rates of backend servers.
    pub shares: &'a send_shares::SendShares,
    /// Requests in progress from other hosts of the data centre.
    pub remote_in_flight: &'a remote_in_flight::RemoteInFlight,
    /// Number of requests with a higher priority that wait for each backend server.
    pub queued_ahead: &'a collections::HashMap<server_set::ServerIndex, u32>,
}

/// The backend server selected for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub server: server_set::ServerIndex,
    /// Seconds until it has a free slot; zero if it has one now.
    pub wait_seconds: f64,
    /// Expected service time in seconds.
    pub service_seconds: f64,
    /// Expected service time in seconds with the object cached.
    pub cached_seconds: f64,
    /// Whether it wants no requests from this host for a while.
    pub is_paused: bool,
    score: f64,
}

/// Selects the backend server with the best score in the nearest tier that has a usable one: the
/// own data centre, then the own region, then other regions.  Servers that pause, or have got what
/// their limits allow, are left out as long as any tier has others.
pub(super) fn choose(
    cx: &PlacementContext<'_>,
    req: &request::Request,
    now: model::Time,
) -> Option<Choice> {
    let own_region = cx.regions.get(cx.data_centre);
    let tier = |data_centre: &str, region: &model::RegionId| {
        (data_centre != cx.data_centre, Some(region) != own_region)
    };
    let tiers = [(false, false), (true, false), (true, true)];
    let usable = |wanted: (bool, bool)| -> Vec<Candidate<'_>> {
        cx.regions
            .iter()
            .filter(|(data_centre, region)| tier(data_centre, region) == wanted)
            .filter(|(_, region)| req.allows(region))
            .flat_map(|(data_centre, _)| cx.servers.servers_in(&req.service, data_centre))
            .filter(|index| !req.tried_servers.contains(index))
            .filter_map(|index| Some((*index, cx.servers.get(*index)?)))
            .filter(|(_, server)| cx.shares.is_usable(server, now))
            .filter_map(|(index, server)| Some((index, server, cx.shares.share(server, now)?)))
            .collect()
    };
    let is_taking = |(_, _, share): &Candidate<'_>| !share.is_last_choice();
    let mut has_others = false;
    for wanted in tiers {
        let mut candidates = usable(wanted);
        let all = candidates.len();
        candidates.retain(is_taking);
        has_others |= candidates.len() < all;
        if let Some(choice) = best_of(cx, req, candidates, now) {
            return Some(choice);
        }
    }
    let mut all = tiers.into_iter().filter(|_| has_others);
    all.find_map(|wanted| best_of(cx, req, usable(wanted), now))
}

/// Whether a usable backend server could run the request, but this host has no share of its rate.
pub(super) fn is_without_share(
    cx: &PlacementContext<'_>,
    req: &request::Request,
    now: model::Time,
) -> bool {
    cx.regions
        .iter()
        .filter(|(_, region)| req.allows(region))
        .flat_map(|(data_centre, _)| cx.servers.servers_in(&req.service, data_centre))
        .filter(|index| !req.tried_servers.contains(index))
        .filter_map(|index| cx.servers.get(*index))
        .any(|server| cx.shares.is_usable(server, now) && cx.shares.share(server, now).is_none())
}

/// A backend server with its index, and this host's share of its rate.
type Candidate<'a> = (
    server_set::ServerIndex,
    &'a server::Server,
    send_shares::Share,
);

fn best_of(
    cx: &PlacementContext<'_>,
    req: &request::Request,
    usable: Vec<Candidate<'_>>,
    now: model::Time,
) -> Option<Choice> {
    candidates(req, usable)
        .into_iter()
        .enumerate()
        .map(|(i, candidate)| score(cx, req, candidate, i == 0 && req.object_hash.is_some(), now))
        .min_by(|a, b| a.score.total_cmp(&b.score))
}

/// Backend servers that a request may be sent to, the preferred one of its object first; all usable
/// ones for a request without an object.
fn candidates<'a>(req: &request::Request, usable: Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
    let Some(object) = req.object_hash else {
        return usable;
    };
    let mut weighted: Vec<(u64, Candidate<'a>)> = usable
        .into_iter()
        .map(|candidate| (weight(candidate.1.name_hash, object), candidate))
        .collect();
    let heavier = |a: &(u64, Candidate<'a>), b: &(u64, Candidate<'a>)| b.0.cmp(&a.0);
    if weighted.len() > MAX_CANDIDATES {
        weighted.select_nth_unstable_by(MAX_CANDIDATES - 1, heavier);
        weighted.truncate(MAX_CANDIDATES);
    }
    weighted.sort_by(heavier);
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

fn score(
    cx: &PlacementContext<'_>,
    req: &request::Request,
    (index, server, share): Candidate<'_>,
    is_preferred: bool,
    now: model::Time,
) -> Choice {
    let slowdown = server.slowdown(now);
    let cached_seconds = cx.times.expected_seconds(&req.route, true) * slowdown;
    let uncached_seconds = cx.times.expected_seconds(&req.route, false) * slowdown;
    let service_seconds = match req.object_hash {
        Some(object) if server.has_cached(object) => cached_seconds,
        Some(_) if is_preferred => {
            CACHED_SHARE * cached_seconds + (1.0 - CACHED_SHARE) * uncached_seconds
        }
        _ => uncached_seconds,
    };
    let queued_ahead = cx.queued_ahead.get(&index).copied().unwrap_or(0);
    let remote = server.remote_in_flight(cx.remote_in_flight.at(server.name_hash), now);
    let load = server
        .in_flight()
        .saturating_add(remote)
        .saturating_add(queued_ahead);
    let slots = server.entry.slots.max(1);
    let queued = load.saturating_add(1).saturating_sub(slots);
    let mean_service_seconds = (cached_seconds + uncached_seconds) / 2.0;
    let slot_wait_seconds = f64::from(queued) * mean_service_seconds / f64::from(slots);
    let full_wait_seconds = if server.is_full(now) {
        mean_service_seconds / f64::from(slots)
    } else {
        0.0
    };
    let wait_seconds = slot_wait_seconds
        .max(full_wait_seconds)
        .max((share.wait + share.interval * queued_ahead).as_secs_f64());
    let extra_uncached_seconds = match is_preferred {
        true => 0.0,
        false => EXTRA_UNCACHED_TIME_WEIGHT * (service_seconds - cached_seconds),
    };
    let completion = wait_seconds + service_seconds + extra_uncached_seconds;
    // A new backend server gets requests at once, but only for objects that prefer it.
    let is_first_try = is_preferred && server.is_untried() && wait_seconds <= 0.0;
    Choice {
        server: index,
        wait_seconds,
        service_seconds,
        cached_seconds,
        is_paused: share.is_paused,
        score: if is_first_try {
            0.0
        } else {
            completion * (1.0 + FAILURE_WEIGHT * server.failure_rate())
        },
    }
}

/// Rendezvous hashing: an object prefers the backend server with the largest weight.
fn weight(server: u64, object: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&server.to_le_bytes(), object)
}
