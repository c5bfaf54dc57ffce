//! Selection of the route of a request.

use std::{collections, sync};

use super::policy;
use crate::model;

/// Routes of the configuration in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    policy: Option<policy::Policy>,
    /// Routes of each host, the longest prefix first.
    hosts: collections::HashMap<String, Vec<sync::Arc<policy::Route>>>,
}

/// Result of selecting a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route of the request.
    Route(sync::Arc<policy::Route>),
    /// The configuration has no route for the request.
    NoRoute,
    /// No configuration is known yet.
    NoPolicy,
}

impl RouteTable {
    /// Puts a version in force; false, and nothing changes, where it is not newer.
    pub fn apply(&mut self, policy: policy::Policy) -> bool {
        if self
            .version()
            .is_some_and(|version| policy.version <= version)
        {
            return false;
        }
        self.hosts.clear();
        for route in &policy.routes {
            let routes = self.hosts.entry(route.host.to_lowercase()).or_default();
            routes.push(sync::Arc::new(route.clone()));
        }
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.policy = Some(policy);
        true
    }

    /// Route with the longest prefix that begins `path`; `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch {
        if self.policy.is_none() {
            return RouteMatch::NoPolicy;
        }
        self.routes(host)
            .iter()
            .find(|route| path.starts_with(&route.prefix))
            .map_or(RouteMatch::NoRoute, |route| {
                RouteMatch::Route(route.clone())
            })
    }

    /// Routes of a host.
    pub fn routes(&self, host: &str) -> &[sync::Arc<policy::Route>] {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_lowercase()));
        routes.map_or(&[], Vec::as_slice)
    }

    /// Names that have routes.
    pub fn host_names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Version in force.
    pub fn version(&self) -> Option<model::Version> {
        self.policy.as_ref().map(|policy| policy.version)
    }

    /// Configuration in force.
    pub fn policy(&self) -> Option<&policy::Policy> {
        self.policy.as_ref()
    }

    /// What the configuration in force says of a service.
    pub fn service(&self, service: &str) -> Option<&policy::Service> {
        self.policy.as_ref()?.services.get(service)
    }

    /// Bounds on what a client may send.
    pub fn limits(&self) -> policy::ClientLimits {
        self.policy
            .as_ref()
            .map_or_else(policy::ClientLimits::default, |policy| policy.limits)
    }
}
