//! Online estimates of service times.

use std::{collections, time};

use super::policy;
use crate::model;

/// Weight of a new observation in the moving averages.
const WEIGHT: f64 = 0.1;

/// Cold service time of a route relative to its objective, before the first observation
/// (objectives of the deployments are shorter than the mean work).
const COLD_PRIOR: f64 = 1.3;

/// Warm service time relative to the cold one, before the first observation.
const WARM_PRIOR: f64 = 0.35;

/// Shortest service time that is expected, in seconds: the resolution of the estimates.
const MIN_TIME: f64 = 0.001;

/// Mean service times of routes, with and without the object in the backend server's cache.
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
    /// Records a served request; `speed` is the backend server's time relative to others.
    pub fn observe(&mut self, route: &str, is_warm: bool, took: time::Duration, speed: f64) {
        let means = self.routes.entry(route.to_string()).or_default();
        let mean = if is_warm {
            &mut means.warm
        } else {
            &mut means.cold
        };
        let seconds = (took.as_secs_f64() / speed).max(MIN_TIME);
        *mean = Some(mean.map_or(seconds, |mean| mean + WEIGHT * (seconds - mean)));
    }

    /// Expected service time in seconds at a backend server of ordinary speed.
    pub fn expect(&self, route: &policy::Route, is_warm: bool) -> f64 {
        let objective = route.objective.as_secs_f64().max(MIN_TIME);
        let means = self.routes.get(&route.name);
        let cold = means
            .and_then(|means| means.cold)
            .unwrap_or(COLD_PRIOR * objective);
        if !is_warm {
            return cold;
        }
        let warm = means
            .and_then(|means| means.warm)
            .unwrap_or(WARM_PRIOR * cold);
        warm.min(cold)
    }
}
