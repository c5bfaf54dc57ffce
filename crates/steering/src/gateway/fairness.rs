//! Guarantee that no route with few requests is starved while others of its service are served.

use std::{collections, time};

use crate::model;

/// Part of the service's admitted share below which a route counts as starved: the platform's
/// pages bound it at a quarter, and hosts count apart from each other.
const STARVED: f64 = 0.4;

/// Part of the service's requests up to which a route has the guarantee: it costs the others
/// little.  Routes with more requests are served by rank alone.
const SMALL: f64 = 0.05;

/// Time in which counts lose half of their weight: long enough for a route with few requests.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);

/// Requests of one route or of all routes of a service, older ones with less weight.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: f64,
    admitted: f64,
}

impl Counts {
    fn share(self) -> f64 {
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

/// Counts what each route of a service was offered and what of it was sent to backend servers.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    all: Counts,
    routes: collections::HashMap<model::WorkId, Counts>,
    decayed: model::Time,
}

impl Fairness {
    /// Counts a new request of a route.
    pub(super) fn offered(&mut self, route: &str, now: model::Time) {
        self.decay(now);
        self.all.offered += 1.0;
        self.routes.entry(route.to_string()).or_default().offered += 1.0;
    }

    /// Counts a request's first sending.
    pub(super) fn admitted(&mut self, route: &str) {
        self.all.admitted += 1.0;
        if let Some(counts) = self.routes.get_mut(route) {
            counts.admitted += 1.0;
        }
    }

    /// Whether a route gets so small a part of its requests served that its next one goes first.
    pub(super) fn is_starved(&self, route: &str) -> bool {
        self.routes.get(route).is_some_and(|counts| {
            counts.offered <= SMALL * self.all.offered
                && counts.share() < STARVED * self.all.share()
        })
    }

    /// Forgets routes that the configuration no longer has.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    fn decay(&mut self, now: model::Time) {
        let passed = now.saturating_sub(self.decayed);
        self.decayed = now;
        let factor = 0.5_f64.powf(passed.div_duration_f64(HALF_LIFE));
        self.all.decay(factor);
        self.routes
            .values_mut()
            .for_each(|counts| counts.decay(factor));
    }
}
