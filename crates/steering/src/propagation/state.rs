//! State machine that keeps the configuration of one host current.

use std::{collections, mem, net, sync};

use rand::SeedableRng;
use xxhash_rust::xxh3;

use super::{call, message, platform, pull, start, submit};
use crate::{config, membership, model};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform and pass the response to [`Follower::on_response`] with the same number.
    Platform {
        /// Number of the call.
        call: call::CallId,
        /// The call.
        request: call::Request,
    },
    /// Send a message to a host; it may be lost.
    Send {
        /// Address that other hosts use.
        to: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Put a document in force; its version is never below the one in force.
    Apply(sync::Arc<config::StoredConfig>),
    /// The host is ready: it checked peers and platform and has a configuration; returned once.
    Ready,
    /// Return the result of a submission to the operator.
    Submitted {
        /// Number of the submission.
        submission: submit::SubmissionId,
        /// Its result.
        result: submit::SubmitResult,
    },
    /// An event to log and count.
    Notice(Notice),
}

/// Events for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The platform holds an older version than the one in force; it is written back.
    StoreBehind {
        /// Version in the platform; 0 if the object is missing.
        stored: model::Version,
        /// Version in force.
        current: model::Version,
    },
    /// The platform holds another document with the version in force; the document of the
    /// platform is put in force.
    Diverged {
        /// The version.
        version: model::Version,
    },
    /// A call to the platform failed or found no object.
    PlatformFailed,
    /// A document or a message of another deployment was dropped.
    OtherDeployment,
    /// Changes from a peer did not lead to the document whose hash the peer sent.
    HashMismatch {
        /// The peer.
        host: model::HostId,
    },
}

/// Identity of the local host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name.
    pub host: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address that other hosts use.
    pub peer_address: net::SocketAddr,
    /// Name of the deployment; documents and messages of others are refused.
    pub deployment: String,
}

/// Another live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Peer {
    pub host: model::HostId,
    pub data_centre: model::DataCentreId,
    pub peer_address: net::SocketAddr,
    /// Whether it watches the platform for its data centre.
    pub watcher: bool,
}

/// A document in force.
#[derive(Clone, Debug)]
pub(super) struct Current {
    pub stored: sync::Arc<config::StoredConfig>,
    pub hash: [u8; 32],
}

impl Current {
    pub(super) fn new(stored: sync::Arc<config::StoredConfig>) -> Current {
        let hash = stored.document.hash();
        Current { stored, hash }
    }

    pub(super) fn version(&self) -> model::Version {
        self.stored.document.version
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let (first, _) = self.hash.split_first_chunk().expect("a hash has 32 bytes");
        u64::from_le_bytes(*first)
    }
}

/// State machine that keeps the configuration of one host current.
///
/// `tick` has to be called about every 50 ms.
pub struct Follower {
    pub(super) identity: Identity,
    pub(super) deployment: u64,
    pub(super) current: Option<Current>,
    pub(super) peers: Vec<Peer>,
    pub(super) watcher: bool,
    pub(super) platform: platform::Platform,
    pub(super) pull: Option<pull::Pull>,
    pub(super) start: start::Start,
    pub(super) submissions: collections::BTreeMap<submit::SubmissionId, submit::Submission>,
    pub(super) next_submission: submit::SubmissionId,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) actions: Vec<Action>,
}

impl Follower {
    /// The follower of a starting host; `seed` seeds the random choices.
    pub fn new(identity: Identity, seed: u64, now: model::Time) -> Follower {
        let mut rng =
            rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ xxh3::xxh3_64(identity.host.as_bytes()) ^ 1);
        Follower {
            deployment: xxh3::xxh3_64(identity.deployment.as_bytes()),
            current: None,
            peers: Vec::new(),
            watcher: false,
            platform: platform::Platform::default(),
            pull: None,
            start: start::Start::new(&mut rng, now),
            submissions: collections::BTreeMap::new(),
            next_submission: 1,
            rng,
            actions: Vec::new(),
            identity,
        }
    }

    /// Replaces the known members.
    pub fn update_members(
        &mut self,
        members: impl Iterator<Item = membership::Member>,
        now: model::Time,
    ) -> Vec<Action> {
        let live = members
            .filter(|m| m.state != membership::State::Dead)
            .collect::<Vec<_>>();
        let mut watchers = collections::BTreeSet::new();
        for data_centre in live
            .iter()
            .map(|m| &m.data_centre)
            .collect::<collections::BTreeSet<_>>()
        {
            let hosts = live
                .iter()
                .filter(|m| m.data_centre == *data_centre)
                .map(|m| (m.host.as_str(), m.state));
            watchers.extend(membership::watchers(hosts, data_centre));
        }
        self.watcher = watchers.contains(self.identity.host.as_str());
        self.peers = live
            .iter()
            .filter(|m| m.host != self.identity.host)
            .map(|m| Peer {
                host: m.host.clone(),
                data_centre: m.data_centre.clone(),
                peer_address: m.peer_address,
                watcher: watchers.contains(m.host.as_str()),
            })
            .collect();
        self.tick(now)
    }

    /// Handles expired timers and starts the calls and messages that are due.
    pub fn tick(&mut self, now: model::Time) -> Vec<Action> {
        self.expire_calls(now);
        self.expire_pull(now);
        self.advance_start(now);
        self.watch(now);
        self.advance_submissions(now);
        mem::take(&mut self.actions)
    }

    /// Handles the response to a call to the platform.
    pub fn on_response(
        &mut self,
        call: call::CallId,
        response: call::Response,
        now: model::Time,
    ) -> Vec<Action> {
        self.handle_response(call, response, now);
        self.tick(now)
    }

    /// Handles a message from another host.
    pub fn on_message(&mut self, message: message::Message, now: model::Time) -> Vec<Action> {
        if message.deployment != self.deployment {
            return vec![Action::Notice(Notice::OtherDeployment)];
        }
        self.handle_message(message, now);
        self.tick(now)
    }

    /// Handles a higher version that a host reported in a message of another kind.
    pub fn on_higher_version(
        &mut self,
        peer_address: net::SocketAddr,
        version: model::Version,
        now: model::Time,
    ) -> Vec<Action> {
        self.pull_from(peer_address, version, now);
        mem::take(&mut self.actions)
    }

    /// Submits a patch for an operator; the result comes as [`Action::Submitted`].
    pub fn submit(
        &mut self,
        patch: config::Patch,
        author: String,
        now: model::Time,
    ) -> (submit::SubmissionId, Vec<Action>) {
        let id = self.begin_submission(patch, author, now);
        (id, self.tick(now))
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> model::Version {
        self.current.as_ref().map_or(0, Current::version)
    }

    /// Document in force, with its latest changes.
    pub fn stored(&self) -> Option<&sync::Arc<config::StoredConfig>> {
        self.current.as_ref().map(|c| &c.stored)
    }

    /// Whether the host checked peers and platform and has a configuration.
    pub fn is_ready(&self) -> bool {
        self.start.is_done()
    }

    /// Whether this host watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.watcher
    }

    pub(super) fn notice(&mut self, notice: Notice) {
        self.actions.push(Action::Notice(notice));
    }

    /// Puts a document in force if it is newer, and propagates it.
    pub(super) fn adopt(&mut self, stored: sync::Arc<config::StoredConfig>) {
        if stored.document.deployment != self.identity.deployment {
            self.notice(Notice::OtherDeployment);
            return;
        }
        let base = self.version();
        if stored.document.version > base {
            self.put_in_force(stored);
            self.propagate(base);
        }
    }

    pub(super) fn put_in_force(&mut self, stored: sync::Arc<config::StoredConfig>) {
        self.current = Some(Current::new(stored.clone()));
        self.actions.push(Action::Apply(stored));
    }
}
