//! Explanation of the routing of a request.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model;

/// Routing decisions for a request that is not sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explain {
    /// Address of the client.
    pub client: net::IpAddr,
    /// Kind of work.
    pub work: model::WorkId,
    /// Site of the client's block, or the default site.
    pub site: model::SiteId,
    /// Configuration version on which the decisions are based.
    pub version: model::Version,
    /// Entry hosts that a look-up returns, the preferred one first.
    pub hosts: Vec<model::HostId>,
    /// Data centres that were considered.
    pub candidates: Vec<Candidate>,
    /// The decisions in order.
    pub steps: Vec<Step>,
}

/// A data centre that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Current share of this client's traffic of the work that goes there, 0 to 1.
    pub share: f64,
    /// Share that goes there after the shift in progress, 0 to 1.
    pub target: f64,
    /// Reason for the share.
    pub reason: String,
}

/// A decision in the routing of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Routing stage that makes the decision.
    pub stage: String,
    /// Decision and its reason.
    pub decision: String,
}
