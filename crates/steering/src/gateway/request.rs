//! Requests in the dispatcher.

use std::sync;

use super::{policy, server_set};
use crate::model;

/// Recognises a request that is sent again; equal for all its attempts, on all hosts.
pub type Fingerprint = u128;

/// A request that waits for a backend server or is in progress at one.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route that was selected for it.
    pub route: sync::Arc<policy::Route>,
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
}
