//! Members, and what a host announces about itself.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model;

/// Identity of the local host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub host: model::HostId,
    /// Start time of this process, which tells it from earlier ones of the same name.
    pub incarnation: model::Incarnation,
    /// Data centre from the settings.
    pub data_centre: model::DataCentreId,
    /// Address that callers use.
    pub address: net::SocketAddr,
    /// Address that other hosts use.
    pub peer_address: net::SocketAddr,
    /// Name of the deployment; messages of other deployments are refused.
    pub deployment: String,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name.
    pub host: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address that other hosts use.
    pub peer_address: net::SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// What a host announces about itself beside its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attributes {
    /// Whether it has a configuration and may take requests.
    pub ready: bool,
    /// Whether it accepts no new callers because it is about to stop.
    pub leaving: bool,
    /// Relative share of the callers that it should get.
    pub weight: u16,
}

impl Default for Attributes {
    fn default() -> Attributes {
        Attributes {
            ready: false,
            leaving: false,
            weight: 100,
        }
    }
}

/// What a host announces about itself. The record with the larger incarnation, then the larger
/// revision, replaces the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name.
    pub host: model::HostId,
    /// Start of its process.
    pub incarnation: model::Incarnation,
    /// Raised by the host with each change and with each refutation of a suspicion.
    pub revision: u32,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address that callers use.
    pub address: net::SocketAddr,
    /// Address that other hosts use.
    pub peer_address: net::SocketAddr,
    /// Readiness, leaving and weight.
    pub attributes: Attributes,
}

/// Liveness of a host as other hosts observed it. A record without an observation is `Alive`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It acknowledges probes, or no host has found that it does not.
    Alive,
    /// It did not acknowledge probes and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time, announced its end, or lost its address to another
    /// host.
    Dead,
}

/// State of a member for the selection of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It acknowledges probes.
    Alive,
    /// It did not acknowledge recent probes; it may be paused.
    Suspect,
    /// It announced that it is about to stop.
    Leaving,
    /// It failed or stopped.
    Dead,
}

/// A member of the deployment as the local host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub host: model::HostId,
    /// Start of its process.
    pub incarnation: model::Incarnation,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address that callers use.
    pub address: net::SocketAddr,
    /// Address that other hosts use.
    pub peer_address: net::SocketAddr,
    /// Current state, from the observed liveness and the announced attributes.
    pub state: State,
    /// Latest configuration version that it reported to the local host; 0 if it sent no message.
    pub config_version: model::Version,
    /// Readiness, leaving and weight.
    pub attributes: Attributes,
}

impl Member {
    /// Whether callers may be sent to it.
    pub fn serves(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && self.attributes.ready
    }
}
