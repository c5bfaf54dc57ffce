//! Status of a deployment, as one entry host sees it.

use std::{collections, net};

use serde::{Deserialize, Serialize};

use crate::model;

/// Status of a deployment, as one entry host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the deployment.
    pub deployment: String,
    /// Entry host that responds.
    pub host: model::HostId,
    /// Version in force at the host; 0 before it has a configuration.
    pub version: model::Version,
    /// Whether the platform responded to the latest call of the host.
    pub platform_up: bool,
    /// Data centres.
    pub data_centres: Vec<DataCentreStatus>,
    /// Entry hosts.
    pub hosts: Vec<HostStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Drains (planned stops).
    pub drains: Vec<DrainStatus>,
    /// Shares of the traffic of each kind of work that the host sends to each data centre, 0 to 1.
    #[serde(default)]
    pub shares: collections::BTreeMap<model::WorkId, collections::BTreeMap<String, f64>>,
    /// Resources that the host uses for control.
    pub control: Control,
}

/// Status of a data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name.
    pub name: model::DataCentreId,
    /// Region.
    pub region: model::RegionId,
    /// Whether the responding host receives messages from it.
    pub reachable: bool,
    /// Slots of its live backend servers.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
}

/// State of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It has no configuration yet.
    Starting,
    /// It serves callers.
    Live,
    /// It is draining.
    Leaving,
    /// It did not respond to recent probes.
    Suspect,
    /// It is considered failed.
    Dead,
}

/// Status of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name.
    pub name: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Incarnation: start of its process.
    pub incarnation: model::Incarnation,
    /// State.
    pub state: HostState,
    /// Version in force, as last reported by the host.
    pub version: model::Version,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It gets requests.
    Live,
    /// It gets fewer requests until its caches are warm.
    Cold,
    /// It gets no new requests because it is draining.
    Leaving,
    /// It gets no requests because its attempts fail.
    Ejected,
    /// Its state is unknown.
    Unknown,
}

/// Status of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name.
    pub name: model::ServerId,
    /// Service.
    pub service: model::ServiceId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Entry host that sends requests to it.
    pub owner: Option<model::HostId>,
    /// State.
    pub state: ServerState,
    /// Usable slots.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
}

/// Status of a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Name of the drain.
    pub name: String,
    /// Time by which it must be empty, in seconds since the Unix epoch; absent for as soon as
    /// possible.
    pub empty_by_unix_s: Option<u64>,
    /// Whether the whole target already gets no new requests.
    pub closed: bool,
    /// Requests in progress on the target.
    pub in_progress: u32,
}

/// Resources that the responding host uses for control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Control {
    /// CPU use as a share of one core, 0 to 1.
    pub core_share: f64,
    /// Resident memory of the process in bytes.
    pub resident_bytes: u64,
    /// Bytes sent and received per second.
    pub bytes_per_second: f64,
    /// Calls to the platform per second.
    pub platform_calls_per_second: f64,
}
