//! One host of a fleet.

use std::{collections, net, time};

use yuccatide_steering::{membership, model, propagation};

use super::{meter, network};

/// One host with its state machines and what they reported.
pub struct Host {
    /// Where it stands.
    pub place: network::Place,
    /// Its name.
    pub name: model::HostId,
    /// Address for other hosts.
    pub peer_address: net::SocketAddr,
    /// Whether its process runs.
    pub up: bool,
    /// Number of its process start.
    pub start: u64,
    /// Membership.
    pub membership: membership::Membership,
    /// Configuration.
    pub follower: propagation::Follower,
    /// Messages and bytes.
    pub meter: meter::Meter,
    /// When each version came in force in this process.
    pub applied: collections::BTreeMap<model::Version, time::Duration>,
    /// Versions in the order in which they came in force in this process.
    pub history: Vec<model::Version>,
    /// When this process got ready.
    pub ready: Option<time::Duration>,
    /// Results of submissions.
    pub results: collections::BTreeMap<propagation::SubmissionId, propagation::SubmitResult>,
    /// Notices of the membership.
    pub notices: Vec<membership::Notice>,
    /// Notices of the follower.
    pub config_notices: Vec<propagation::Notice>,
    pub(super) dirty: bool,
    pub(super) paused_until: time::Duration,
    pub(super) next_hand_over: time::Duration,
}

impl Host {
    /// State of another host as this one sees it.
    pub fn sees(&self, name: &str) -> Option<membership::State> {
        self.membership
            .members()
            .find(|m| m.host == name)
            .map(|m| m.state)
    }

    /// Number of hosts that this one takes to be alive, itself included.
    pub fn live(&self) -> usize {
        self.membership
            .members()
            .filter(|m| m.state != membership::State::Dead)
            .count()
    }
}
