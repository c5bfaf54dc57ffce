//! The configuration document.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use sha2::Digest;

use crate::{model, numbers};

/// Complete operator configuration of one version.
///
/// A document is replaced only by the document of a later version.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version number.
    pub version: model::Version,
    /// Name of the deployment; hosts of other deployments are rejected.
    pub deployment: String,
    /// Regions with their data centres.
    pub regions: collections::BTreeMap<model::RegionId, Region>,
    /// One-way network latencies.
    pub latency: Latency,
    /// Capacity of the link between each pair of regions, in each direction.
    pub link: Link,
    /// Services that backend servers run.
    pub services: collections::BTreeMap<model::ServiceId, Service>,
    /// Backend servers.
    pub servers: collections::BTreeMap<model::ServerId, Server>,
    /// Kinds of work.
    pub work: collections::BTreeMap<model::WorkId, Work>,
    /// Policies by name; work without a policy may run anywhere.
    #[serde(default)]
    pub policies: collections::BTreeMap<String, Policy>,
    /// Shift cap of work without a cap in a policy.
    pub shift: ShiftCap,
    /// Drains (planned stops) by name.
    #[serde(default)]
    pub drains: collections::BTreeMap<String, Drain>,
    /// Sites that client blocks belong to.
    #[serde(default)]
    pub sites: collections::BTreeMap<model::SiteId, Site>,
    /// Site of clients outside all blocks.
    pub default_site: model::SiteId,
    /// Chunks of the client block table, in the order of their first block.
    #[serde(default)]
    pub blocks: Vec<BlockChunk>,
    /// Teams and their operators' tokens.
    #[serde(default)]
    pub teams: collections::BTreeMap<model::TeamId, Team>,
    /// How long callers may cache the response to a look-up.
    #[serde(rename = "lookup_ttl_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub lookup_ttl: time::Duration,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Data centres of the region.
    pub data_centres: collections::BTreeMap<model::DataCentreId, DataCentre>,
}

/// A data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {}

/// One-way network latencies.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between data centres of one region.
    #[serde(rename = "between_data_centres_us")]
    #[serde_as(as = "numbers::Bounded<serde_with::DurationMicroSeconds<u64>>")]
    pub between_data_centres: time::Duration,
    /// Between regions.
    #[serde(rename = "between_regions_us")]
    #[serde_as(as = "numbers::Bounded<serde_with::DurationMicroSeconds<u64>>")]
    pub between_regions: time::Duration,
    /// Between a client and its home data centre.
    #[serde(rename = "to_clients_us")]
    #[serde_as(as = "numbers::Bounded<serde_with::DurationMicroSeconds<u64>>")]
    pub to_clients: time::Duration,
}

/// Capacity of the link between two regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Capacity in each direction in bits per second.
    pub bits_per_second: u64,
    /// Share of the capacity that this system may use, 0 to 1; the rest is for other traffic.
    pub share: f64,
}

/// A service that backend servers run.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one backend server runs concurrently.
    #[serde_as(as = "numbers::Bounded<serde_with::Same>")]
    pub slots: u32,
    /// Connections that one backend server accepts.
    #[serde_as(as = "numbers::Bounded<serde_with::Same>")]
    pub connections: u32,
    /// Slot utilization above which a backend server gets no requests, 0 to 1.
    pub target_use: f64,
    /// Duration of the ramp of a cold backend server from one slot to all.
    #[serde(rename = "slow_start_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub slow_start: time::Duration,
    /// Age after which a load report is ignored.
    #[serde(rename = "report_max_age_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub report_max_age: time::Duration,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Service that it runs.
    pub service: model::ServiceId,
    /// Data centre in which it is located.
    pub data_centre: model::DataCentreId,
    /// Address of its HTTP port.
    pub address: net::SocketAddr,
}

/// A kind of work.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Service that runs it.
    pub service: model::ServiceId,
    /// Priority rank.
    pub rank: model::Rank,
    /// Whether a request can safely run more than once.
    pub idempotent: bool,
    /// Deadline after arrival for a response, if the caller sets none.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub deadline: time::Duration,
    /// Share of the service's slots that is guaranteed to this work, 0 to 1.
    pub guaranteed_share: f64,
    /// Largest number of waiting requests per slot of the service.
    #[serde_as(as = "numbers::Bounded<serde_with::Same>")]
    pub queue_per_slot: u32,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Largest ratio of retries and hedged attempts to first attempts, 0 to 1.
    pub retry_share: f64,
    /// Delay after which an idempotent request is hedged with an attempt elsewhere; 0 for never.
    #[serde(rename = "hedge_after_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub hedge_after: time::Duration,
    /// How long the result of a non-idempotent request is retained for repeated requests.
    #[serde(rename = "result_retention_s")]
    #[serde_as(as = "numbers::Bounded<DurationSeconds<u64>>")]
    pub result_retention: time::Duration,
}

/// Restricts where kinds of work may run and how fast their traffic may shift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Team that may change the policy.
    pub team: model::TeamId,
    /// Kinds of work to which it applies; a kind of work has at most one policy.
    pub work: Vec<model::WorkId>,
    /// Regions that may serve the work; empty for all.
    #[serde(default)]
    pub regions: Vec<model::RegionId>,
    /// Backend servers that may not serve the work.
    #[serde(default)]
    pub excluded_servers: Vec<model::ServerId>,
    /// Shift cap of the work; absent for the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<ShiftCap>,
}

/// Bound on the rate at which a shift moves traffic.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftCap {
    /// Largest share of the traffic of a kind of work that may move per interval, 0 to 1.
    pub share: f64,
    /// Length of an interval.
    #[serde(rename = "interval_ms")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub interval: time::Duration,
}

/// A drain: a planned stop.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What is drained.
    pub target: DrainTarget,
    /// Time by which it must be empty, in seconds since the Unix epoch; absent for as soon as
    /// possible.
    #[serde(
        rename = "empty_by_unix_s",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    #[serde_as(as = "Option<DurationSeconds<u64>>")]
    pub empty_by: Option<model::Time>,
}

/// Target of a drain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An entry host.
    Host(model::HostId),
    /// A backend server.
    Server(model::ServerId),
    /// All backend servers of a data centre.
    DataCentre(model::DataCentreId),
}

/// A site: clients with the same order of preferred data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Data centres whose entry hosts the clients use, the preferred one first.
    pub data_centres: Vec<model::DataCentreId>,
}

/// A chunk of the client block table, stored as a separate object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockChunk {
    /// SHA-256 of the chunk's encoded bytes in hexadecimal; also the name of its object.
    pub sha256: String,
    /// Number of blocks in the chunk.
    pub blocks: u32,
}

/// A team and its operators' tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Tokens that authenticate members of the team.
    pub tokens: Vec<Token>,
    /// Whether the team may change everything, not only drains and its own policies.
    #[serde(default)]
    pub administrator: bool,
}

/// An operator's token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Name of the operator that uses it, for the log.
    pub name: String,
    /// SHA-256 of the token in hexadecimal.
    pub sha256: String,
}

impl Document {
    /// Parses a document from JSON text that may contain comments.
    pub fn from_json(
        text: &str,
    ) -> Result<Document, serde_path_to_error::Error<serde_json::Error>> {
        let stripped = json_comments::StripComments::new(text.as_bytes());
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_reader(stripped))
    }

    /// Region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&model::RegionId> {
        self.regions
            .iter()
            .find(|(_, region)| region.data_centres.contains_key(data_centre))
            .map(|(id, _)| id)
    }

    /// Names of all data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &model::DataCentreId> {
        self.regions.values().flat_map(|r| r.data_centres.keys())
    }

    /// Name and policy that apply to a kind of work.
    pub fn policy_of(&self, work: &str) -> Option<(&String, &Policy)> {
        self.policies
            .iter()
            .find(|(_, policy)| policy.work.iter().any(|w| w == work))
    }

    /// Shift cap of a kind of work.
    pub fn shift_cap(&self, work: &str) -> ShiftCap {
        self.policy_of(work)
            .and_then(|(_, policy)| policy.shift)
            .unwrap_or(self.shift)
    }

    /// Whether the policy of a kind of work allows a region.
    pub fn allows_region(&self, work: &str, region: &str) -> bool {
        self.policy_of(work).is_none_or(|(_, policy)| {
            policy.regions.is_empty() || policy.regions.iter().any(|r| r == region)
        })
    }

    /// One-way latency between two data centres; zero within a data centre.
    pub fn latency_between(&self, a: &str, b: &str) -> time::Duration {
        if a == b {
            time::Duration::ZERO
        } else if self.region_of(a) == self.region_of(b) {
            self.latency.between_data_centres
        } else {
            self.latency.between_regions
        }
    }

    /// SHA-256 of the document's JSON form.
    pub fn hash(&self) -> [u8; 32] {
        let json = serde_json::to_vec(self).expect("a document can be serialized as JSON");
        sha2::Sha256::digest(json).into()
    }
}
