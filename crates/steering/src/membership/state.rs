//! The membership state machine of one host.

use std::{collections, mem, net};

use rand::SeedableRng;
use xxhash_rust::xxh3;

use super::{entry, gossip, member, message, probe, relay, timing};
use crate::model;

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a host; it may be lost.
    Send {
        /// Address that other hosts use.
        to: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// The members or their states changed.
    Changed,
    /// A host reported a higher configuration version than the local one.
    HigherVersion {
        /// The host.
        host: model::HostId,
        /// Its address for other hosts.
        peer_address: net::SocketAddr,
        /// Its version.
        version: model::Version,
    },
    /// An event to log and count.
    Notice(Notice),
}

/// Events for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A host of the data centre did not acknowledge this host's probes.
    Suspected(model::HostId),
    /// A host was marked dead.
    Died(model::HostId),
    /// This host refuted a suspicion or its death with a new revision.
    Refuted,
    /// A newer process has this host's name or address; this one must stop.
    Superseded {
        /// Name of the newer process.
        host: model::HostId,
        /// Its incarnation.
        incarnation: model::Incarnation,
    },
    /// A host took the address of an older one.
    AddressTaken {
        /// The older host.
        host: model::HostId,
        /// The newer host.
        by: model::HostId,
    },
    /// A message of another deployment was dropped.
    OtherDeployment(model::HostId),
    /// Summaries from a data centre have stopped.
    DataCentreSilent(model::DataCentreId),
    /// Summaries from a data centre have resumed.
    DataCentreHeard(model::DataCentreId),
}

/// Whether summaries arrive from another data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reach {
    pub counter: u64,
    pub silent: bool,
}

/// Derived values that stay valid until a member changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    /// Digest over the live hosts of each data centre.
    pub digests: Option<collections::BTreeMap<model::DataCentreId, u64>>,
    /// Hosts to probe.
    pub successors: Option<Vec<(model::HostId, net::SocketAddr)>>,
    /// Relays of each data centre.
    pub relays: collections::BTreeMap<model::DataCentreId, Vec<(model::HostId, net::SocketAddr)>>,
}

/// State machine that tracks the members of the deployment for one host.
///
/// `tick` has to be called about every 50 ms.
pub struct Membership {
    pub(super) identity: member::Identity,
    pub(super) deployment: u64,
    pub(super) record: member::Record,
    pub(super) superseded: bool,
    pub(super) joined: bool,
    pub(super) config_version: model::Version,
    pub(super) entries: collections::BTreeMap<model::HostId, entry::Entry>,
    pub(super) reach: collections::BTreeMap<model::DataCentreId, Reach>,
    pub(super) listed: collections::BTreeMap<model::HostId, member::ListedHost>,
    pub(super) seeds: Vec<net::SocketAddr>,
    pub(super) gossip: gossip::Gossip,
    pub(super) probes: probe::Probes,
    pub(super) relay: relay::Relay,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) actions: Vec<Action>,
    pub(super) members_changed: bool,
    pub(super) cache: Cache,
    pub(super) suspects: collections::BTreeSet<model::HostId>,
    pub(super) next_sync: model::Time,
    pub(super) next_join: model::Time,
    pub(super) join_attempts: u32,
    last_tick: model::Time,
    next_prune: model::Time,
}

impl Membership {
    /// Creates the membership of a starting host.
    ///
    /// `seeds` are addresses of hosts from the settings; `seed` seeds the random number generator.
    pub fn new(
        identity: member::Identity,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
        now: model::Time,
    ) -> Membership {
        let record = member::Record {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            revision: 0,
            data_centre: identity.data_centre.clone(),
            address: identity.address,
            peer_address: identity.peer_address,
            attributes: member::Attributes::default(),
        };
        Membership {
            deployment: xxh3::xxh3_64(identity.deployment.as_bytes()),
            record,
            superseded: false,
            joined: false,
            config_version: 0,
            entries: collections::BTreeMap::new(),
            reach: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            seeds: seeds
                .into_iter()
                .filter(|a| *a != identity.peer_address)
                .collect(),
            gossip: gossip::Gossip::default(),
            probes: probe::Probes::new(now),
            relay: relay::Relay::default(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ xxh3::xxh3_64(identity.host.as_bytes())),
            actions: Vec::new(),
            members_changed: false,
            cache: Cache::default(),
            suspects: collections::BTreeSet::new(),
            next_sync: now + timing::SYNC_INTERVAL,
            next_join: now,
            join_attempts: 0,
            last_tick: now,
            next_prune: now + timing::TOMBSTONE_RETENTION,
            identity,
        }
    }

    /// Replaces the platform's list of hosts, which may be outdated and only provides addresses at
    /// which to look for members.
    ///
    /// Announces that this host is leaving when its own entry in the list changes to leaving.
    pub fn set_listed_hosts(
        &mut self,
        list: Vec<member::ListedHost>,
        now: model::Time,
    ) -> Vec<Action> {
        let leaving = |l: &member::ListedHost| l.host == self.identity.host && l.leaving;
        let previous = self.listed.values().find(|l| l.host == self.identity.host);
        let starts_leaving = previous.is_some_and(|l| !l.leaving) && list.iter().any(leaving);
        self.listed = list.into_iter().map(|l| (l.host.clone(), l)).collect();
        if starts_leaving {
            self.update_attributes(|a| a.leaving = true, now);
        }
        self.finish_event(now)
    }

    /// Handles expired timers and sends the messages that are due.
    pub fn tick(&mut self, now: model::Time) -> Vec<Action> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap >= timing::PAUSE_DETECTION_GAP {
            self.discard_probes_after_pause(gap);
        }
        if !self.superseded {
            self.expire_probes(now);
            self.expire_suspicions(now);
            self.probe_round(now);
            self.join(now);
            self.sync(now);
            self.relay_summaries(now);
        }
        if now >= self.next_prune {
            self.prune_tombstones(now);
        }
        self.finish_event(now)
    }

    /// Handles a message from another host.
    pub fn on_message(&mut self, message: message::Message, now: model::Time) -> Vec<Action> {
        if message.deployment != self.deployment {
            let host = message.sender.host;
            return vec![Action::Notice(Notice::OtherDeployment(host))];
        }
        let sender = message.sender;
        self.on_sender(&sender, message.config_version);
        for update in message.updates {
            self.apply(update, now);
        }
        if !self.superseded {
            self.dispatch(&sender, message.body, now);
        }
        self.finish_event(now)
    }

    /// Announces that this host accepts no new callers because it is about to stop.
    pub fn leave(&mut self, now: model::Time) -> Vec<Action> {
        self.set_leaving(true, now)
    }

    /// Announces whether this host is leaving, and accepts no new callers.
    pub fn set_leaving(&mut self, leaving: bool, now: model::Time) -> Vec<Action> {
        if self.record.attributes.leaving != leaving {
            self.update_attributes(|a| a.leaving = leaving, now);
        }
        self.finish_event(now)
    }

    /// Announces that this host is dead, immediately before the process ends.
    pub fn stop(&mut self, now: model::Time) -> Vec<Action> {
        let update = message::Update::Verdict {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            revision: self.record.revision,
            status: member::Status::Dead,
        };
        self.relay.record_update(update.clone(), now);
        self.gossip.push(update, false);
        self.gossip_round(now);
        self.send_final_summaries(now);
        self.superseded = true;
        mem::take(&mut self.actions)
    }

    /// Announces whether this host may take requests.
    pub fn set_ready(&mut self, ready: bool, now: model::Time) -> Vec<Action> {
        if self.record.attributes.ready != ready {
            self.update_attributes(|a| a.ready = ready, now);
        }
        self.finish_event(now)
    }

    /// Sets the configuration version that messages carry.
    pub fn set_config_version(&mut self, version: model::Version) {
        self.config_version = version;
    }

    /// All known hosts, the local one included.
    pub fn members(&self) -> impl Iterator<Item = member::Member> {
        let me = entry::Entry {
            record: self.record.clone(),
            status: match self.superseded {
                true => member::Status::Dead,
                false => member::Status::Alive,
            },
            changed_at: self.last_tick,
            config_version: self.config_version,
            ring: 0,
        };
        let me = me.to_member();
        [me].into_iter()
            .chain(self.entries.values().map(entry::Entry::to_member))
    }

    /// Whether the local data centre receives no summaries from another one.
    pub fn is_silent(&self, data_centre: &str) -> bool {
        self.reach.get(data_centre).is_some_and(|r| r.silent)
    }

    /// Whether a newer process took this host's name or address.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether a member table was received from another host.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    fn update_attributes(
        &mut self,
        change: impl FnOnce(&mut member::Attributes),
        now: model::Time,
    ) {
        change(&mut self.record.attributes);
        self.republish(self.record.revision.saturating_add(1), now);
    }

    /// Queues the record of this host with a new revision for other hosts.
    pub(super) fn republish(&mut self, revision: u32, now: model::Time) {
        self.record.revision = revision;
        let update = message::Update::Record(self.record.clone());
        self.relay.record_update(update.clone(), now);
        self.gossip.push(update, false);
        self.mark_changed();
    }

    /// Records that a member changed, and drops the derived values.
    pub(super) fn mark_changed(&mut self) {
        self.members_changed = true;
        self.cache = Cache::default();
    }

    /// Records the configuration version of a sender, and requests the record of an unknown one.
    fn on_sender(&mut self, sender: &message::Sender, version: model::Version) {
        match self.entries.get_mut(&sender.host) {
            Some(entry) if entry.record.incarnation == sender.incarnation => {
                entry.config_version = version;
            }
            Some(entry) if entry.record.incarnation > sender.incarnation => return,
            _ if sender.host != self.identity.host => {
                self.send(&sender.host, sender.peer_address, message::Body::Identify);
            }
            _ => {}
        }
        if version > self.config_version {
            self.actions.push(Action::HigherVersion {
                host: sender.host.clone(),
                peer_address: sender.peer_address,
                version,
            });
        }
    }

    fn dispatch(&mut self, sender: &message::Sender, body: message::Body, now: model::Time) {
        match body {
            message::Body::Gossip => {}
            message::Body::Identify => self.identify(sender),
            message::Body::Ping { seq, host } => self.on_ping(sender, seq, &host),
            message::Body::PingRequest {
                seq,
                host,
                peer_address,
            } => self.on_ping_request(sender, seq, host, peer_address, now),
            message::Body::Ack { seq, host } => self.on_ack(seq, host),
            message::Body::Sync { digests, reach } => self.on_sync(sender, &digests, reach),
            message::Body::Pull { data_centre } => self.on_pull(sender, data_centre),
            message::Body::Table {
                complete,
                exchange,
                members,
            } => self.on_table(sender, complete, exchange, members, now),
            message::Body::Summary {
                data_centre,
                digest,
                wants_answer,
            } => self.on_summary(sender, data_centre, digest, wants_answer, now),
            message::Body::Heard { ages_ms } => self.on_summary_ages(ages_ms, now),
        }
    }

    /// Sends a message with piggybacked updates, among them the receiver's own suspicion or death,
    /// so that it can refute that.
    pub(super) fn send(&mut self, host: &str, to: net::SocketAddr, body: message::Body) {
        let local = self.entries.get(host).map(|e| {
            let remote = e.record.data_centre != self.identity.data_centre;
            let not_alive = e.status != member::Status::Alive;
            (remote, not_alive.then(|| e.to_update()))
        });
        let mut updates = match &local {
            Some((false, _)) => self.gossip.take(1),
            _ => Vec::new(),
        };
        updates.extend(local.and_then(|(_, not_alive)| not_alive));
        self.send_with(to, body, updates);
    }

    pub(super) fn send_with(
        &mut self,
        to: net::SocketAddr,
        body: message::Body,
        updates: Vec<message::Update>,
    ) {
        let message = message::Message {
            deployment: self.deployment,
            sender: message::Sender {
                host: self.identity.host.clone(),
                incarnation: self.identity.incarnation,
                peer_address: self.identity.peer_address,
            },
            config_version: self.config_version,
            updates,
            body,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn notice(&mut self, notice: Notice) {
        self.actions.push(Action::Notice(notice));
    }

    /// Ends an event: starts a gossip round if one is due, and returns the collected actions.
    fn finish_event(&mut self, now: model::Time) -> Vec<Action> {
        if !self.superseded && self.gossip.is_due(now) {
            self.gossip_round(now);
        }
        if mem::take(&mut self.members_changed) {
            self.actions.push(Action::Changed);
        }
        mem::take(&mut self.actions)
    }

    fn prune_tombstones(&mut self, now: model::Time) {
        self.next_prune = now + timing::TOMBSTONE_RETENTION / 8;
        self.entries
            .retain(|_, e| e.is_live() || now < e.changed_at + timing::TOMBSTONE_RETENTION);
    }
}
