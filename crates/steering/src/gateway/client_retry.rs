//! Recognition of clients that come back after a refusal.

use std::{collections, time};

use super::policy;
use crate::model;

/// Part of a route's usual time to answer below which a request is taken to be a repeated one: its
/// client has spent the rest on a refusal and the pause after it.
const RETURNED: f64 = 0.9;

/// The usual time to answer that clients of each route begin with.
#[derive(Debug, Default)]
pub struct ClientRetryDetector {
    usual: collections::HashMap<model::WorkId, time::Duration>,
}

impl ClientRetryDetector {
    /// Whether a request that has `left` to be answered seems to be a repeated one.
    pub fn is_client_retry(&mut self, route: &policy::Route, left: time::Duration) -> bool {
        let usual = self.usual.entry(route.name.clone()).or_default();
        *usual = (*usual).max(left);
        left < usual.mul_f64(RETURNED)
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.usual.retain(|name, _| names.contains(name.as_str()));
    }
}
