//! Online estimation of service times.

use std::{collections, time};

use super::policy;
use crate::model;

/// Weight of a new observation in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Cold service time of a route relative to its objective, before the first observation; above 1
/// because deployments set objectives shorter than the mean service time.
const INITIAL_COLD_RATIO: f64 = 1.3;

/// Warm service time relative to the cold one, before the first observation.
const INITIAL_WARM_RATIO: f64 = 0.35;

/// Smallest estimate in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Mean service times of each route, with and without the object in the backend server's cache.
#[derive(Debug, Default)]
pub struct ServiceTimeEstimates {
    routes: collections::HashMap<model::WorkId, Means>,
}

#[derive(Debug, Default)]
struct Means {
    cold: Option<f64>,
    warm: Option<f64>,
}

impl ServiceTimeEstimates {
    /// Records the service time of a request; `relative_time` is the backend server's service time
    /// relative to others.
    pub fn observe(
        &mut self,
        route: &str,
        is_warm: bool,
        duration: time::Duration,
        relative_time: f64,
    ) {
        let means = self.routes.entry(route.to_string()).or_default();
        let mean = if is_warm {
            &mut means.warm
        } else {
            &mut means.cold
        };
        let seconds = (duration.as_secs_f64() / relative_time).max(MIN_SECONDS);
        *mean = Some(mean.map_or(seconds, |mean| mean + SMOOTHING_FACTOR * (seconds - mean)));
    }

    /// Expected service time in seconds at a backend server with a relative service time of 1.
    pub fn expected_seconds(&self, route: &policy::Route, is_warm: bool) -> f64 {
        let objective = route.objective.as_secs_f64().max(MIN_SECONDS);
        let means = self.routes.get(&route.name);
        let cold = means
            .and_then(|means| means.cold)
            .unwrap_or(INITIAL_COLD_RATIO * objective);
        if !is_warm {
            return cold;
        }
        let warm = means
            .and_then(|means| means.warm)
            .unwrap_or(INITIAL_WARM_RATIO * cold);
        warm.min(cold)
    }
}
