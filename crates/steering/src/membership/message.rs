//! Messages between hosts.

use std::net;

use serde::{Deserialize, Serialize};

use super::member;
use crate::model;

/// A message from one host to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Hash of the deployment's name.
    pub deployment: u64,
    /// Host that sent it.
    pub sender: Sender,
    /// Configuration version in force at the sender; 0 for none.
    pub config_version: model::Version,
    /// Piggybacked changes of members.
    pub updates: Vec<Update>,
    /// Type-specific content.
    pub body: Body,
}

/// The sending host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name.
    pub host: model::HostId,
    /// Start of its process.
    pub incarnation: model::Incarnation,
    /// Address for replies.
    pub peer_address: net::SocketAddr,
}

/// A change that hosts gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// What a host announces about itself.
    Record(member::Record),
    /// What another host observed of it.
    Verdict {
        /// Host concerned.
        host: model::HostId,
        /// Its incarnation that was observed.
        incarnation: model::Incarnation,
        /// Its revision that was observed.
        revision: u32,
        /// What was observed.
        status: member::Status,
    },
    /// Whether the sender's data centre receives summaries from another one.
    Reach {
        /// The other data centre.
        data_centre: model::DataCentreId,
        /// Number of this change. A larger one replaces a smaller one; if two are equal, the one
        /// with `silent` false wins.
        counter: u64,
        /// Whether no summaries arrive from it.
        silent: bool,
    },
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats.
        seq: u64,
        /// Host that is expected at the address.
        host: model::HostId,
    },
    /// Requests that the receiver probe another host.
    PingRequest {
        /// Number that the acknowledgement repeats.
        seq: u64,
        /// Host to probe.
        host: model::HostId,
        /// Its address.
        peer_address: net::SocketAddr,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// Host that acknowledged it.
        host: model::HostId,
    },
    /// Carries updates only.
    Gossip,
    /// Requests the record of an unknown sender.
    Identify,
    /// Compares the member table with another host of the same data centre.
    Sync {
        /// Digest over the live hosts of each data centre.
        digests: Vec<(model::DataCentreId, u64)>,
        /// Digest over the reachability of data centres.
        reach: u64,
    },
    /// Requests the members of one data centre, or of all for a joining host.
    Pull {
        /// Data centre; absent for all.
        data_centre: Option<model::DataCentreId>,
    },
    /// Members and their status.
    Table {
        /// Data centre that is complete in this message, if one is.
        complete: Option<model::DataCentreId>,
        /// Whether the receiver should reply with its own table.
        exchange: bool,
        /// The members.
        members: Vec<(member::Record, member::Status)>,
    },
    /// State of a data centre for another one.
    Summary {
        /// Data centre of the sender.
        data_centre: model::DataCentreId,
        /// Digest over its live hosts.
        digest: u64,
        /// Whether the receiver should reply with a summary of its own data centre.
        wants_answer: bool,
    },
    /// Ages of the latest summaries from other data centres, sent between the relays of one data
    /// centre.
    Heard {
        /// Milliseconds since the latest summary from each data centre.
        ages_ms: Vec<(model::DataCentreId, u32)>,
    },
}
