//! A request that waits for a backend server.

use std::sync;

use super::{policy, server_set};
use crate::model;

/// A request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route.
    pub route: sync::Arc<policy::Route>,
    /// Service that serves it.
    pub service: model::ServiceId,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// When it arrived.
    pub arrived: model::Time,
    /// When its client or its route stops waiting.
    pub deadline: model::Time,
    /// Whether its client seems to have come back after a refusal.
    pub is_client_retry: bool,
    /// Backend servers that it must not be sent to again.
    pub tried_servers: Vec<server_set::ServerIndex>,
}

impl Request {
    /// When an answer loses its full value.
    pub fn objective(&self) -> model::Time {
        self.arrived + self.route.objective
    }
}
