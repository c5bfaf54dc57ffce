//! Answers to look-ups.

use std::net;

use serde::{Deserialize, Serialize};
use yuccatide_steering::model;

/// Which entry hosts a caller should use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Entry hosts, the preferred one first.
    pub hosts: Vec<Host>,
    /// How long the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// Site that the caller belongs to.
    pub site: model::SiteId,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub host: model::HostId,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Start of its process.
    pub incarnation: model::Incarnation,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// First part of an idempotency key whose home is the host; a token is appended.
    pub key_prefix: String,
}
