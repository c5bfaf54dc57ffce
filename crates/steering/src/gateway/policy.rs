//! The operators' configuration as the gateway uses it.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{customers, model, numbers};

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidPolicy {
    /// Two customers have a key in common.
    #[error(transparent)]
    DuplicateKey(#[from] customers::DuplicateKey),
    /// A duration is longer than [`numbers::MAX_DURATION`].
    #[error("{0} has a duration that is too long")]
    Duration(String),
    /// A weight, rate or quota is not finite, or is negative.
    #[error("{0} has a weight, rate or quota that can't be used")]
    Number(String),
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Version number; larger numbers are newer.
    pub version: model::Version,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<model::ServiceId, Service>,
    /// Customers; without any, requests carry no keys.
    #[serde(default)]
    pub customers: Vec<customers::Customer>,
    /// Bounds on what a client may send.
    pub limits: ClientLimits,
}

/// A set of requests, selected by host name and path prefix, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name; unique within a version.
    pub name: model::WorkId,
    /// Value of the `Host` header that selects the route.
    pub host: String,
    /// Path prefix that selects the route; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may safely be executed more than once.
    pub is_idempotent: bool,
    /// Longest time that a client waits for a response.
    pub timeout: time::Duration,
    /// Latency objective: time within which a request should get its response.
    pub objective: time::Duration,
    /// Largest number of backend servers that may receive one request; unreachable ones do not
    /// count.
    pub attempts: u32,
    /// Priority class; 0 is served first.
    pub rank: u32,
    /// Services that the requests are divided between; never empty.
    pub weighted_services: Vec<WeightedService>,
    /// Whether requests for the same object should go to the same backend server.
    pub has_affinity: bool,
    /// Regions that may serve the requests; empty if all may.
    pub regions: Vec<model::RegionId>,
    /// Whether requests need no key of a customer.
    #[serde(default)]
    pub is_public: bool,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: model::ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path at which a backend server tells its status.
    pub health_check: String,
    /// Largest number of connections to one backend server, summed over all hosts.
    pub max_connections: usize,
    /// Time that a backend server is cold after its start.
    pub warmup: time::Duration,
    /// Largest request rate of a cold backend server per second, summed over all hosts.
    pub warmup_rate: f64,
}

/// Bounds on the size of a client's requests and on the time that it may take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body in bytes.
    pub max_body_bytes: u64,
    /// Time-out for receiving a request's headers.
    pub header_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

impl Default for ClientLimits {
    /// Bounds that apply until a configuration is known.
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

impl Policy {
    /// Checks that all numbers lie within the bounds of what calculates with them.
    pub fn check(&self) -> Result<(), InvalidPolicy> {
        let mut services = self.services.iter();
        self.routes.iter().try_for_each(Route::check)?;
        services.try_for_each(|(name, service)| service.check(name))?;
        self.customers.iter().try_for_each(check_customer)?;
        self.limits.check()
    }

    /// Names of all routes.
    pub fn route_names(&self) -> collections::HashSet<&str> {
        self.routes
            .iter()
            .map(|route| route.name.as_str())
            .collect()
    }
}

impl Route {
    fn check(&self) -> Result<(), InvalidPolicy> {
        let weights = self.weighted_services.iter().map(|part| part.weight);
        check_numbers(&self.name, weights)?;
        check_durations(&self.name, [self.timeout, self.objective])
    }

    /// Whether backend servers in a region may serve the requests.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|r| r == region)
    }

    /// Regions that may serve a customer's requests; empty if all may, `None` if none may.
    pub fn regions_for(
        &self,
        customer: Option<&customers::Customer>,
    ) -> Option<Vec<model::RegionId>> {
        let others = customer.map_or(&[][..], |customer| &customer.regions);
        if others.is_empty() {
            return Some(self.regions.clone());
        }
        let allowed = others.iter().filter(|region| self.allows(region));
        let regions: Vec<model::RegionId> = allowed.cloned().collect();
        (!regions.is_empty()).then_some(regions)
    }
}

impl Service {
    fn check(&self, name: &str) -> Result<(), InvalidPolicy> {
        check_numbers(name, [self.warmup_rate])?;
        check_durations(name, [self.warmup])
    }
}

impl ClientLimits {
    fn check(&self) -> Result<(), InvalidPolicy> {
        check_durations("limits", [self.header_timeout, self.idle_timeout])
    }
}

fn check_customer(customer: &customers::Customer) -> Result<(), InvalidPolicy> {
    let quota = customer.quota.iter();
    check_numbers(&customer.name, quota.flat_map(|q| [q.rate, q.burst]))
}

fn check_durations(
    owner: &str,
    durations: impl IntoIterator<Item = time::Duration>,
) -> Result<(), InvalidPolicy> {
    let mut durations = durations.into_iter();
    match durations.all(|duration| duration <= numbers::MAX_DURATION) {
        true => Ok(()),
        false => Err(InvalidPolicy::Duration(owner.to_string())),
    }
}

fn check_numbers(owner: &str, numbers: impl IntoIterator<Item = f64>) -> Result<(), InvalidPolicy> {
    let mut numbers = numbers.into_iter();
    match numbers.all(|number| number.is_finite() && number >= 0.0) {
        true => Ok(()),
        false => Err(InvalidPolicy::Number(owner.to_string())),
    }
}
