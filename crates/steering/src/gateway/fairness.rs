//! Starvation protection for low-volume routes that share a service with others.

use std::{collections, time};

use crate::model;

/// A route counts as starved if its admitted share is below this part of the service's admitted
/// share.  Over all hosts, a low-volume route must get at least 0.25 of that share; the margin is
/// there because each host counts on its own.
const STARVATION_RATIO: f64 = 0.4;

/// Part of the service's requests up to which a route is protected, since serving it costs the
/// others little.  Routes with more requests are served by rank alone.
const MAX_PROTECTED_SHARE: f64 = 0.05;

/// Half-life of the counts; long enough for a route with few requests.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);

/// Exponentially decaying request counts of one route or of all routes of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: f64,
    admitted: f64,
}

impl Counts {
    fn admitted_share(self) -> f64 {
        match self.offered > 0.0 {
            true => self.admitted / self.offered,
            false => 0.0,
        }
    }

    fn decay(&mut self, factor: f64) {
        self.offered *= factor;
        self.admitted *= factor;
    }
}

/// Counts the requests of each route of a service that arrived and that were sent to backend
/// servers.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    total: Counts,
    routes: collections::HashMap<model::WorkId, Counts>,
    last_decay: model::Time,
}

impl Fairness {
    /// Counts a new request of a route.
    pub(super) fn record_offered(&mut self, route: &str, now: model::Time) {
        self.decay(now);
        self.total.offered += 1.0;
        self.routes.entry(route.to_string()).or_default().offered += 1.0;
    }

    /// Counts the first attempt of a request.
    pub(super) fn record_admitted(&mut self, route: &str) {
        self.total.admitted += 1.0;
        if let Some(counts) = self.routes.get_mut(route) {
            counts.admitted += 1.0;
        }
    }

    /// Whether a low-volume route gets so few of its requests served that they have to go first.
    pub(super) fn is_starved(&self, route: &str) -> bool {
        self.routes.get(route).is_some_and(|counts| {
            counts.offered <= MAX_PROTECTED_SHARE * self.total.offered
                && counts.admitted_share() < STARVATION_RATIO * self.total.admitted_share()
        })
    }

    /// Keeps only the routes for which `is_known` returns true.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    fn decay(&mut self, now: model::Time) {
        let elapsed = now.saturating_sub(self.last_decay);
        self.last_decay = now;
        let factor = 0.5_f64.powf(elapsed.div_duration_f64(HALF_LIFE));
        self.total.decay(factor);
        self.routes
            .values_mut()
            .for_each(|counts| counts.decay(factor));
    }
}
