//! Messages between hosts: what they tell each other of themselves and of what they have seen.

use std::net;

use serde::{Deserialize, Serialize};

use super::{crash_book, signal_book, store_revision, store_view};
use crate::{model, quota};

/// A host of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub host: model::HostId,
    /// Data centre that it runs in.
    pub data_centre: model::DataCentreId,
    /// Address for requests of callers.
    pub callers: net::SocketAddr,
    /// Address for messages of other hosts.
    pub peers: net::SocketAddr,
}

/// State of a host, sent regularly to the other hosts of its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Whether it accepts requests; false while it shuts down.
    pub is_ready: bool,
    /// Number of requests that it has in progress at each backend server, by the hash of the
    /// server's name.
    pub in_flight: Vec<(u64, u32)>,
    /// Demand that it receives.
    pub loads: Vec<Load>,
    /// Known address blocks of callers, with the data centre nearest to each.
    pub blocks: Vec<(net::IpAddr, model::DataCentreId)>,
    /// Shares used by its look-ups, of names whose shares have been in use for the settling time.
    pub shares: Vec<LookupShares>,
    /// How far the store has come, as far as the sender knows.
    pub store: store_revision::StoreProgress,
    /// How old that knowledge is, and what the sender has read.
    pub store_checks: store_view::StoreChecks,
    /// Version of the configuration in force.
    pub version: Option<model::Version>,
    /// Limits that backend servers have named.
    pub limits: Vec<signal_book::SignalNews<f64>>,
    /// Backend servers that have said that they leave.
    pub leaving: Vec<signal_book::SignalNews<()>>,
    /// Requests that were in progress at backend servers that crashed.
    pub crashes: Vec<crash_book::CrashReport>,
    /// Some other live hosts of its data centre, in turn.
    pub contacts: Vec<Member>,
}

/// Demand for one service from the callers of one data centre, for routes that are restricted to
/// the same regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Service.
    pub service: model::ServiceId,
    /// Data centre nearest to the callers.
    pub data_centre: model::DataCentreId,
    /// Regions that may serve the requests; empty where all may.
    pub regions: Vec<model::RegionId>,
    /// Number of slots that the requests occupy if all objects are cached.
    pub slots: f64,
}

/// Share of the callers of a region that look-ups of one name direct to each data centre, in
/// thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupShares {
    /// Name that callers look up.
    pub name: String,
    /// Region of the callers.
    pub region: model::RegionId,
    /// Non-zero share of each data centre.
    pub shares: Vec<(model::DataCentreId, u16)>,
}

/// Aggregated state of the hosts of a data centre, sent to other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Data centre that the summary describes.
    pub data_centre: model::DataCentreId,
    /// Its live hosts that accept requests.
    pub members: Vec<Member>,
    /// Demand that they receive.
    pub loads: Vec<Load>,
    /// Address blocks of callers known to the sender, with the data centre nearest to each.
    pub blocks: Vec<(net::IpAddr, model::DataCentreId)>,
    /// Shares used by its look-ups, of names whose shares have been in use for the settling time.
    pub shares: Vec<LookupShares>,
    /// How far the store has come, as far as the sender knows.
    pub store: store_revision::StoreProgress,
    /// Version of the configuration in force.
    pub version: Option<model::Version>,
    /// Limits that backend servers have named.
    pub limits: Vec<signal_book::SignalNews<f64>>,
    /// Backend servers that have said that they leave.
    pub leaving: Vec<signal_book::SignalNews<()>>,
    /// Requests that were in progress at backend servers that crashed.
    pub crashes: Vec<crash_book::CrashReport>,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat of a host of the same data centre.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Summary of another data centre.
    Summary {
        /// The summary.
        summary: Summary,
        /// Whether the receiver forwards it to the other hosts of its data centre.
        relay: bool,
    },
    /// A host that has just started and asks for the hosts of its data centre.
    Introduction(Member),
    /// Hosts of the receiver's data centre, in response to an introduction.
    Contacts(Vec<Member>),
    /// What a host of another data centre has just learned of the store.
    StoreReport {
        /// How far the store has come.
        progress: store_revision::StoreProgress,
        /// How old that knowledge is.
        checks: store_view::StoreChecks,
    },
    /// Tokens of customers' quotas.
    Quota(quota::Message),
}

/// A message and the hosts that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Addresses of the receivers.
    pub to: Vec<net::SocketAddr>,
    /// The message.
    pub message: Message,
}
