//! One customer.

use serde::{Deserialize, Serialize};

use super::key;
use crate::{model, quota};

/// A customer of the deployment, as a version of the configuration has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name; unique within a version.
    pub name: model::CustomerId,
    /// Keys that its clients send; no key belongs to two customers.
    pub keys: Vec<key::Key>,
    /// Priority class of its requests, in place of that of their routes; 0 is served first.
    pub rank: Option<u32>,
    /// Regions that may serve its requests; empty if all may.
    pub regions: Vec<model::RegionId>,
    /// Requests that it may have served, over all hosts; `None` without a bound.
    pub quota: Option<quota::Quota>,
}

impl Customer {
    /// Whether backend servers in a region may serve its requests.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|r| r == region)
    }
}
