//! Division of a route's requests between its parts.

use std::collections;

use super::policy;
use crate::model;

/// Requests given to each part of each route that has several.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    routes: collections::HashMap<model::WorkId, Given>,
}

#[derive(Debug)]
struct Given {
    parts: Vec<policy::WeightedService>,
    /// Requests owed to each part beyond those that it was given.
    owed: Vec<f64>,
}

impl TrafficSplitter {
    /// Service of the next request of a route: the part that is owed most.
    pub fn next_service(&mut self, route: &policy::Route) -> model::ServiceId {
        if let [only] = route.weighted_services.as_slice() {
            return only.service.clone();
        }
        let given = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| Given::new(route));
        if given.parts != route.weighted_services {
            *given = Given::new(route);
        }
        given.next_service()
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }
}

impl Given {
    fn new(route: &policy::Route) -> Given {
        Given {
            owed: vec![0.0; route.weighted_services.len()],
            parts: route.weighted_services.clone(),
        }
    }

    fn next_service(&mut self) -> model::ServiceId {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        for (owed, part) in self.owed.iter_mut().zip(&self.parts) {
            *owed += part.weight / total;
        }
        let most = (0..self.owed.len())
            .max_by(|a, b| self.owed[*a].total_cmp(&self.owed[*b]))
            .unwrap_or(0);
        self.owed[most] -= 1.0;
        self.parts[most].service.clone()
    }
}
