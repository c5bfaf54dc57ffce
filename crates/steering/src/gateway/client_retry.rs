//! Detection of requests that clients send again after a refusal.

use std::{collections, time};

use super::policy;
use crate::model;

/// Part of a route's usual time limit below which a request is taken for a client retry: its client
/// has spent the rest on a refusal and the pause after it.
const MAX_CLIENT_RETRY_TIME_SHARE: f64 = 0.9;

/// Detects client retries by the time that is left until their deadline.
#[derive(Debug, Default)]
pub struct ClientRetryDetector {
    /// Usual time limit of each route's clients: the longest one that they have sent.
    usual_time_limits: collections::HashMap<model::WorkId, time::Duration>,
}

impl ClientRetryDetector {
    /// Whether a request with `left` until its deadline is taken for a client retry.
    pub fn is_client_retry(&mut self, route: &policy::Route, left: time::Duration) -> bool {
        let usual = self
            .usual_time_limits
            .entry(route.name.clone())
            .or_default();
        *usual = (*usual).max(left);
        left < usual.mul_f64(MAX_CLIENT_RETRY_TIME_SHARE)
    }

    /// Drops the state of routes that the configuration no longer has.
    pub fn retain(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.usual_time_limits
            .retain(|name, _| names.contains(name.as_str()));
    }
}
