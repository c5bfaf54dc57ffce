//! Weighted division of a route's requests between services.

use std::collections;

use super::policy;
use crate::model;

/// Divides the requests of each route between its services by smooth weighted round robin.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    routes: collections::HashMap<model::WorkId, RouteState>,
}

#[derive(Debug)]
struct RouteState {
    services: Vec<policy::WeightedService>,
    /// Share of the requests for each service.
    shares: Vec<f64>,
    /// Requests due to each service so far minus those assigned to it.
    credits: Vec<f64>,
}

impl TrafficSplitter {
    /// Service of the next request of a route: the one with the largest credit.
    pub fn next_service(&mut self, route: &policy::Route) -> model::ServiceId {
        if let [only] = route.weighted_services.as_slice() {
            return only.service.clone();
        }
        let state = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| RouteState::new(route));
        if state.services != route.weighted_services {
            *state = RouteState::new(route);
        }
        state.next_service()
    }

    /// Drops the state of routes that the configuration no longer has.
    pub fn retain(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }
}

impl RouteState {
    fn new(route: &policy::Route) -> RouteState {
        RouteState {
            credits: vec![0.0; route.weighted_services.len()],
            shares: shares(&route.weighted_services),
            services: route.weighted_services.clone(),
        }
    }

    fn next_service(&mut self) -> model::ServiceId {
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += share;
        }
        let selected = (0..self.credits.len())
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))
            .unwrap_or(0);
        self.credits[selected] -= 1.0;
        self.services[selected].service.clone()
    }
}

/// Share of each service.  The weights are divided by the largest one first: their sum may be too
/// large for a float.
fn shares(services: &[policy::WeightedService]) -> Vec<f64> {
    let weights = services.iter().map(|service| service.weight);
    let largest = weights.clone().fold(0.0, f64::max);
    let total: f64 = weights.clone().map(|weight| weight / largest).sum();
    weights.map(|weight| weight / largest / total).collect()
}
