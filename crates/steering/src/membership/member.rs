//! Members and what a host says of itself.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model;

/// Identity of the local host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub host: model::HostId,
    /// Start of this process.
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

/// A host as the platform lists it, or as the settings name it.
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
    /// Whether it takes no new callers because it is about to stop.
    pub leaving: bool,
    /// Relative part of the callers that it should get.
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

/// What a host says of itself; a record with a larger incarnation, then revision, replaces another.
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
    /// What else it announces.
    pub attributes: Attributes,
}

/// What other hosts observed of a record's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It answers, or nobody found otherwise.
    Alive,
    /// It did not answer and has not refuted that yet.
    Suspect,
    /// It did not refute in time, or another host took its address.
    Dead,
}

/// State of a member for those who choose hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer lately; it may be paused.
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
    /// State.
    pub state: State,
    /// Latest configuration version that it told the local host; 0 if it never talked to it.
    pub config_version: model::Version,
    /// What else it announces.
    pub attributes: Attributes,
}

impl Member {
    /// Whether callers may be sent to it.
    pub fn serves(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && self.attributes.ready
    }
}
