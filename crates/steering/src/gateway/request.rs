//! Requests in the dispatcher.

use std::sync;

use super::{policy, server_set};
use crate::{customers, model};

/// Recognises a request that is sent again; equal for all its attempts, on all hosts.
pub type Fingerprint = u128;

/// A request that waits for a backend server or is in progress at one.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route that was selected for it.
    pub route: sync::Arc<policy::Route>,
    /// Customer whose key it carries; `None` on a public route, and without customers.
    pub customer: Option<sync::Arc<customers::Customer>>,
    /// Service that serves it.
    pub service: model::ServiceId,
    /// Hash of the object that it refers to, if any.
    pub object_hash: Option<u64>,
    /// Arrival time.
    pub arrived: model::Time,
    /// Earlier of the client's deadline and the timeout of its route.
    pub deadline: model::Time,
    /// Whether it seems to be sent again by the client after a refusal.
    pub is_client_retry: bool,
    /// Backend servers that were tried and must not get it again.
    pub tried_servers: Vec<server_set::ServerIndex>,
}

impl Request {
    /// Time by which it should get its response to meet the objective of its route.
    pub fn objective(&self) -> model::Time {
        self.arrived + self.route.objective
    }

    /// Priority class; that of the customer goes before that of the route.
    pub fn rank(&self) -> u32 {
        let customer = self.customer.as_ref();
        customer
            .and_then(|customer| customer.rank)
            .unwrap_or(self.route.rank)
    }

    /// Whether backend servers in a region may serve it: both route and customer must allow that.
    pub fn allows(&self, region: &str) -> bool {
        let customer = self.customer.as_ref();
        self.route.allows(region) && customer.is_none_or(|customer| customer.allows(region))
    }
}
