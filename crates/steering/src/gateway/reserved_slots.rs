//! Slots of a service that requests of lower ranks leave free for those of higher ranks.
//!
//! Long requests of a low rank that fill all slots of a backend server make a short request of a
//! higher rank wait until one of them ends.  Where that wait takes longer than the objective of the
//! higher rank allows, its order in the queue comes too late; only a free slot helps.

use std::{collections, time};

use super::{request, service_times};
use crate::model;

/// Half-life of the counts of requests; about the time in which a burst builds up.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Number of requests of a higher rank, expected at a backend server until one of its slots is
/// freed, from which on a slot is held back.
const MIN_EXPECTED_ARRIVALS: f64 = 0.1;

/// Part of the requests of a higher rank that may miss their objective at a full backend server
/// before slots are held back for them.
const MAX_MISSING_SHARE: f64 = 0.1;

/// Largest part of a backend server's slots that is held back.
const MAX_RESERVED_SHARE: f64 = 1.0 / 3.0;

/// Demand of one route's requests of one rank for a service.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Exponentially decaying count of requests.
    count: f64,
    counted_at: model::Time,
    /// Time that a request can wait for a slot without missing its objective, in seconds.
    slack_seconds: f64,
}

impl Demand {
    fn count(&self, now: model::Time) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at);
        self.count * 0.5_f64.powf(elapsed.div_duration_f64(HALF_LIFE))
    }

    /// Requests per second.
    fn rate(&self, now: model::Time) -> f64 {
        self.count(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

/// Demand for each service by rank and route, as it arrives at this host.
#[derive(Debug, Default)]
pub(super) struct ReservedSlots {
    services: collections::BTreeMap<
        model::ServiceId,
        collections::BTreeMap<(u32, model::WorkId), Demand>,
    >,
}

impl ReservedSlots {
    /// Counts a new request.
    pub(super) fn record(
        &mut self,
        req: &request::Request,
        times: &service_times::ServiceTimeEstimates,
    ) {
        let objective = req.route.objective.as_secs_f64();
        let slack_seconds = objective - times.expected_seconds(&req.route, true);
        let service = self.services.entry(req.service.clone()).or_default();
        let demand = service
            .entry((req.rank(), req.route.name.clone()))
            .or_insert(Demand {
                count: 0.0,
                counted_at: req.arrived,
                slack_seconds,
            });
        *demand = Demand {
            count: demand.count(req.arrived) + 1.0,
            counted_at: req.arrived,
            slack_seconds,
        };
    }

    /// Demand of the ranks above that of a request for its service, at this host.
    pub(super) fn demand_above(&self, req: &request::Request, now: model::Time) -> DemandAbove {
        let service = self.services.get(&req.service);
        let higher = service
            .into_iter()
            .flat_map(|service| service.range(..(req.rank(), model::WorkId::new())));
        DemandAbove {
            routes: higher
                .map(|(_, demand)| (demand.rate(now), demand.slack_seconds))
                .collect(),
        }
    }

    /// Keeps only the routes for which `is_known` returns true.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        for service in self.services.values_mut() {
            service.retain(|(_, route), _| is_known(route));
        }
        self.services.retain(|_, service| !service.is_empty());
    }
}

/// Demand of the ranks above that of a request.
#[derive(Clone, Debug)]
pub(super) struct DemandAbove {
    /// Requests per second of each route, and the seconds that they can wait for a slot.
    routes: Vec<(f64, f64)>,
}

impl DemandAbove {
    /// Slots of a backend server that the request leaves free.  `hosts_per_server` is the number of
    /// hosts of the server's data centre, divided by that of its servers: the demand at this host
    /// stands for that at each of them.
    pub(super) fn held_back(
        &self,
        service_seconds: f64,
        slots: u32,
        hosts_per_server: impl FnOnce() -> f64,
    ) -> u32 {
        let release_seconds = service_seconds / f64::from(slots.max(1));
        let rate: f64 = self
            .routes
            .iter()
            .filter(|(_, slack)| missing_share(*slack, release_seconds) > MAX_MISSING_SHARE)
            .map(|(rate, _)| rate)
            .sum();
        if rate <= 0.0 {
            return 0;
        }
        let arrivals = rate * hosts_per_server() * release_seconds;
        if arrivals < MIN_EXPECTED_ARRIVALS {
            return 0;
        }
        let max = (MAX_RESERVED_SHARE * f64::from(slots)).floor();
        arrivals.ceil().min(max) as u32
    }
}

/// Part of the requests that wait longer than their slack for a slot of a full backend server, one
/// of which is freed every `release_seconds` on average.
fn missing_share(slack_seconds: f64, release_seconds: f64) -> f64 {
    (-slack_seconds.max(0.0) / release_seconds).exp()
}
