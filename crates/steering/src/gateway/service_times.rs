//! Moving averages of service times.

use std::{collections, time};

use super::policy;
use crate::model;

/// Weight of a new observation in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Service time without the object cached, relative to the objective of the route, before the first
/// observation; above 1 because deployments set objectives shorter than the mean service time.
const INITIAL_UNCACHED_RATIO: f64 = 1.3;

/// Service time with the object cached relative to that without, before the first observation.
const INITIAL_CACHED_RATIO: f64 = 0.35;

/// Smallest service time and objective in seconds that the estimates distinguish: their resolution.
const MIN_SECONDS: f64 = 0.001;

/// Mean service times of each route, with and without the object in the backend server's cache.
#[derive(Debug, Default)]
pub struct ServiceTimeEstimates {
    routes: collections::HashMap<model::WorkId, Means>,
}

#[derive(Debug, Default)]
struct Means {
    uncached: Option<f64>,
    cached: Option<f64>,
}

impl ServiceTimeEstimates {
    /// Records the service time of a request.  It is divided by `relative_time`, the service time of
    /// the backend server relative to that of all backend servers.
    pub fn observe(
        &mut self,
        route: &str,
        is_cached: bool,
        duration: time::Duration,
        relative_time: f64,
    ) {
        let means = self.routes.entry(route.to_string()).or_default();
        let mean = if is_cached {
            &mut means.cached
        } else {
            &mut means.uncached
        };
        let seconds = (duration.as_secs_f64() / relative_time).max(MIN_SECONDS);
        *mean = Some(mean.map_or(seconds, |mean| mean + SMOOTHING_FACTOR * (seconds - mean)));
    }

    /// Whether a request that took `duration` found its object cached.
    ///
    /// The duration decides, not where the object was assumed to be: backend servers that have too
    /// many objects evict some that are assumed to be cached, and other hosts load some that are
    /// not.  Counted as cached, the misses would raise the estimated demand, which spreads callers
    /// over more data centres and causes further misses.
    pub fn was_cached(
        &self,
        route: &policy::Route,
        duration: time::Duration,
        relative_time: f64,
    ) -> bool {
        let (cached, uncached) = (
            self.expected_seconds(route, true),
            self.expected_seconds(route, false),
        );
        duration.as_secs_f64() / relative_time < (cached * uncached).sqrt()
    }

    /// Expected service time in seconds at a backend server with a relative service time of 1.
    pub fn expected_seconds(&self, route: &policy::Route, is_cached: bool) -> f64 {
        let objective = route.objective.as_secs_f64().max(MIN_SECONDS);
        let means = self.routes.get(&route.name);
        let uncached = means
            .and_then(|means| means.uncached)
            .unwrap_or(INITIAL_UNCACHED_RATIO * objective);
        if !is_cached {
            return uncached;
        }
        let cached = means
            .and_then(|means| means.cached)
            .unwrap_or(INITIAL_CACHED_RATIO * uncached);
        cached.min(uncached)
    }
}
