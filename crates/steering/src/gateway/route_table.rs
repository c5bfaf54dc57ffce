//! Route selection by host name and path prefix, and the customers of the same version.

use std::{collections, sync};

use super::policy;
use crate::{customers, model};

/// Routes and customers of the active configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    policy: Option<policy::Policy>,
    /// Routes of each host name, the longest prefix first.
    hosts: collections::HashMap<String, Vec<sync::Arc<policy::Route>>>,
    customers: Option<sync::Arc<customers::CustomerTable>>,
}

/// Result of a route selection.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The selected route.
    Route(sync::Arc<policy::Route>),
    /// The configuration has no matching route.
    NoRoute,
    /// No configuration is known yet.
    NoPolicy,
}

impl RouteTable {
    /// Activates a configuration if its version is newer than the active one; returns whether it
    /// was activated.  One with an invalid part is not activated at all.
    pub fn apply(&mut self, policy: policy::Policy) -> Result<bool, policy::InvalidPolicy> {
        if self
            .version()
            .is_some_and(|version| policy.version <= version)
        {
            return Ok(false);
        }
        policy.check()?;
        let customers = customers::CustomerTable::new(&policy.customers)?;
        self.customers = (!policy.customers.is_empty()).then(|| sync::Arc::new(customers));
        self.hosts.clear();
        for route in &policy.routes {
            let routes = self.hosts.entry(route.host.to_lowercase()).or_default();
            routes.push(sync::Arc::new(route.clone()));
        }
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.policy = Some(policy);
        Ok(true)
    }

    /// Selects the route with the longest matching path prefix; `host` may include a port.
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

    /// Routes of a host name, which may include a port.
    pub fn routes(&self, host: &str) -> &[sync::Arc<policy::Route>] {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_lowercase()));
        routes.map_or(&[], Vec::as_slice)
    }

    /// Customers of the active configuration; `None` if it has none, so that requests carry no keys.
    pub fn customers(&self) -> Option<&sync::Arc<customers::CustomerTable>> {
        self.customers.as_ref()
    }

    /// Host names that have routes, in lower case.
    pub fn host_names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Version of the active configuration.
    pub fn version(&self) -> Option<model::Version> {
        self.policy.as_ref().map(|policy| policy.version)
    }

    /// The active configuration.
    pub fn policy(&self) -> Option<&policy::Policy> {
        self.policy.as_ref()
    }

    /// Settings of a service in the active configuration.
    pub fn service(&self, service: &str) -> Option<&policy::Service> {
        self.policy.as_ref()?.services.get(service)
    }

    /// Bounds on what a client may send; defaults until a configuration is known.
    pub fn limits(&self) -> policy::ClientLimits {
        self.policy
            .as_ref()
            .map_or_else(policy::ClientLimits::default, |policy| policy.limits)
    }
}
