//! Membership by gossip: which hosts are alive, and the state that they exchange.
//!
//! Hosts of one data centre send heartbeats to each other.  The live host with the smallest name in
//! a data centre also sends a summary to one host of each other data centre, which relays it within
//! its own.  Traffic between data centres therefore grows with the number of data centres and not
//! with that of hosts.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::{messages, send_shares, store_readers, store_revision, store_view};
use crate::model;

/// Interval between heartbeats within a data centre.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Interval between introductions to the seeds.
const INTRODUCTION_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Time after the start of a host for which it introduces itself to the seeds.
const INTRODUCTION_TIME: time::Duration = time::Duration::from_millis(2400);

/// Other hosts of the data centre named in a heartbeat, so that hosts which know only some of them
/// learn of the rest.
const CONTACTS_PER_HEARTBEAT: usize = 2;

/// Interval between summaries to other data centres.
pub const SUMMARY_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Largest number of live hosts that get a heartbeat in one interval; the others get it in the next
/// ones, so that the messages of a host don't grow with its data centre.
const MAX_HEARTBEATS_PER_INTERVAL: usize = 8;

/// Shortest time without a heartbeat after which a host of the same data centre counts as dead.
const MIN_HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Number of lost heartbeats in a row after which a host of the same data centre counts as dead.
const MAX_LOST_HEARTBEATS: u32 = 5;

/// Time without a summary after which the hosts of another data centre count as dead: several lost
/// summaries.
const SUMMARY_TIMEOUT: time::Duration = time::Duration::from_millis(3200);

/// Time without a summary from a data centre after which summaries go to another of its hosts.
const RECIPIENT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

#[derive(Clone, Debug)]
struct Received<T> {
    value: T,
    at: model::Time,
}

/// The hosts that a host knows, and the newest messages received from them.
#[derive(Debug)]
pub struct Members {
    own: messages::Member,
    /// Addresses of hosts in the settings; these hosts may be down or replaced.
    seeds: Vec<net::SocketAddr>,
    last_introduction: Option<model::Time>,
    /// Whether a seed has named the hosts of the own data centre.
    is_introduced: bool,
    /// Live host that was named last in a heartbeat.
    last_contact: Option<model::HostId>,
    known: collections::BTreeMap<model::HostId, messages::Member>,
    heartbeats: collections::BTreeMap<model::HostId, Received<messages::Heartbeat>>,
    summaries: collections::BTreeMap<model::DataCentreId, Received<messages::Summary>>,
    /// Host of each other data centre that summaries are sent to, and the time of its selection.
    recipients: collections::BTreeMap<model::DataCentreId, Received<model::HostId>>,
    /// Live host of the own data centre that got the last heartbeat.
    last_live_recipient: Option<model::HostId>,
    /// Silent host of the own data centre that got the last heartbeat.
    last_silent_recipient: Option<model::HostId>,
}

impl Members {
    /// Creates a membership that contains only the own host.
    pub fn new(own: messages::Member) -> Members {
        let known = [(own.host.clone(), own.clone())].into();
        Members {
            own,
            seeds: Vec::new(),
            last_introduction: None,
            is_introduced: false,
            last_contact: None,
            known,
            heartbeats: collections::BTreeMap::new(),
            summaries: collections::BTreeMap::new(),
            recipients: collections::BTreeMap::new(),
            last_live_recipient: None,
            last_silent_recipient: None,
        }
    }

    /// Sets the addresses of hosts in the settings.
    pub fn with_seeds(mut self, seeds: Vec<net::SocketAddr>) -> Members {
        self.seeds = seeds;
        self
    }

    /// Returns the own host.
    pub fn own(&self) -> &messages::Member {
        &self.own
    }

    /// Adds or updates a host.
    pub fn upsert(&mut self, member: messages::Member) {
        if member.host != self.own.host {
            self.known.insert(member.host.clone(), member);
        }
    }

    /// Adds or updates a host as the store has it.  The entry may be that of an earlier process of it:
    /// what a live host says of itself goes before.
    pub fn upsert_registered(&mut self, member: messages::Member, now: model::Time) {
        let is_heard = self
            .live_heartbeats(now)
            .any(|heartbeat| heartbeat.member.host == member.host);
        if !is_heard {
            self.upsert(member);
        }
    }

    /// Adds a host that another one has named; what a host says of itself goes before it.
    fn learn(&mut self, member: messages::Member) {
        self.known.entry(member.host.clone()).or_insert(member);
    }

    /// Handles a message; returns the message to forward, if any.
    pub fn receive(
        &mut self,
        message: messages::Message,
        now: model::Time,
    ) -> Option<messages::Outgoing> {
        match message {
            messages::Message::Heartbeat(heartbeat) => {
                self.handle_heartbeat(heartbeat, now);
                None
            }
            messages::Message::Summary { summary, relay } => {
                self.handle_summary(summary, relay, now)
            }
            messages::Message::Introduction(member) => self.handle_introduction(member),
            messages::Message::Contacts(members) => {
                self.is_introduced = true;
                members.into_iter().for_each(|member| self.learn(member));
                None
            }
            messages::Message::StoreReport { .. } | messages::Message::Quota(_) => None,
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: messages::Heartbeat, now: model::Time) {
        if heartbeat.member.host == self.own.host
            || heartbeat.member.data_centre != self.own.data_centre
        {
            return;
        }
        self.upsert(heartbeat.member.clone());
        let contacts = heartbeat.contacts.iter().cloned();
        contacts.for_each(|member| self.learn(member));
        self.heartbeats.insert(
            heartbeat.member.host.clone(),
            Received {
                value: heartbeat,
                at: now,
            },
        );
    }

    fn handle_summary(
        &mut self,
        summary: messages::Summary,
        relay: bool,
        now: model::Time,
    ) -> Option<messages::Outgoing> {
        if summary.data_centre == self.own.data_centre {
            return None;
        }
        summary
            .members
            .iter()
            .cloned()
            .for_each(|member| self.upsert(member));
        let relayed = messages::Message::Summary {
            summary: summary.clone(),
            relay: false,
        };
        self.summaries.insert(
            summary.data_centre.clone(),
            Received {
                value: summary,
                at: now,
            },
        );
        relay.then(|| messages::Outgoing {
            to: self.local_peers().map(|member| member.peers).collect(),
            message: relayed,
        })
    }

    fn handle_introduction(&mut self, member: messages::Member) -> Option<messages::Outgoing> {
        if member.host == self.own.host {
            return None;
        }
        self.upsert(member.clone());
        let contacts = self
            .known
            .values()
            .filter(|known| known.data_centre == member.data_centre && known.host != member.host);
        Some(messages::Outgoing {
            to: vec![member.peers],
            message: messages::Message::Contacts(contacts.cloned().collect()),
        })
    }

    /// Returns the introduction to the seeds if one is due: at short intervals after the start of
    /// the host at `started`, and for as long as no other host is heard of.
    pub fn introduction_to_send(
        &mut self,
        started: model::Time,
        now: model::Time,
    ) -> Option<messages::Outgoing> {
        let is_alone =
            self.live_heartbeats(now).next().is_none() && self.live_summaries(now).next().is_none();
        let is_due = self
            .last_introduction
            .is_none_or(|last| now >= last + INTRODUCTION_INTERVAL);
        if !is_due || !(is_alone || now < started + INTRODUCTION_TIME) {
            return None;
        }
        self.last_introduction = Some(now);
        let own = self.own.peers;
        Some(messages::Outgoing {
            to: self.seeds.iter().copied().filter(|s| *s != own).collect(),
            message: messages::Message::Introduction(self.own.clone()),
        })
    }

    /// Whether a seed has named the hosts of the own data centre, and one of them is live or there
    /// is no other.
    pub fn is_introduced(&self, now: model::Time) -> bool {
        let is_heard = self.live_heartbeats(now).next().is_some();
        self.is_introduced && (is_heard || self.local_peers().next().is_none())
    }

    /// Live hosts of the own data centre to name in the next heartbeat, in turn.
    pub fn contacts_to_send(&mut self, now: model::Time) -> Vec<messages::Member> {
        let live: Vec<&messages::Member> = self
            .live_heartbeats(now)
            .map(|heartbeat| &heartbeat.member)
            .collect();
        let contacts: Vec<messages::Member> =
            next_in_turn(&live, &self.last_contact, CONTACTS_PER_HEARTBEAT)
                .into_iter()
                .cloned()
                .collect();
        self.last_contact = contacts.last().map(|member| member.host.clone());
        contacts
    }

    /// The host that has the newest configuration in force, as far as this one has heard, with its
    /// version.  Of another data centre it is the one that sends the summaries.
    pub fn newest_version(&self, now: model::Time) -> Option<(model::Version, net::SocketAddr)> {
        let local = self
            .live_heartbeats(now)
            .filter_map(|heartbeat| Some((heartbeat.version?, heartbeat.member.peers)));
        let remote = self
            .live_summaries(now)
            .filter_map(|summary| Some((summary.version?, summary.members.first()?.peers)));
        local.chain(remote).max_by_key(|(version, _)| *version)
    }

    /// Addresses of the hosts that this one reads the store from, preferred first; none if it
    /// reads the store itself.
    pub fn store_sources(&self, now: model::Time) -> Vec<net::SocketAddr> {
        let live: Vec<&messages::Member> = self
            .live_heartbeats(now)
            .map(|heartbeat| &heartbeat.member)
            .collect();
        let names = live.iter().map(|member| member.host.as_str());
        store_readers::sources(&self.own.host, names.chain([self.own.host.as_str()]))
            .iter()
            .filter_map(|host| live.iter().find(|member| member.host == *host))
            .map(|member| member.peers)
            .collect()
    }

    /// Place of this host in the order in which hosts verify what is known of the store: first the
    /// one with the smallest name of each data centre, by name, then the others of its own.
    pub fn verifier_rank(&self, now: model::Time) -> store_view::VerifierRank {
        let first_hosts = self
            .live_summaries(now)
            .filter_map(|summary| summary.members.iter().map(|member| &member.host).min());
        let before_own = self
            .live_heartbeats(now)
            .filter(|other| other.member.host < self.own.host)
            .count();
        let rank = match before_own {
            0 => first_hosts.filter(|host| **host < self.own.host).count(),
            _ => first_hosts.count() + before_own,
        };
        store_view::VerifierRank::try_from(rank).unwrap_or(store_view::VerifierRank::MAX)
    }

    /// Addresses that reports of the store go to: a host of each other data centre, whose heartbeats
    /// then contain them; none unless this host has the smallest name of its data centre.
    pub fn store_report_recipients(&mut self, now: model::Time) -> Vec<net::SocketAddr> {
        match self.is_summary_sender(now) {
            true => self.other_data_centre_recipients(now),
            false => Vec::new(),
        }
    }

    /// Revision of the newest change of a kind that a host of the own data centre has read, with the
    /// newest era that it knows.
    pub fn position_of(
        &self,
        peers: net::SocketAddr,
        kind: &str,
        now: model::Time,
    ) -> Option<store_revision::StoreRevision> {
        let mut live = self.live_heartbeats(now);
        let heartbeat = live.find(|heartbeat| heartbeat.member.peers == peers)?;
        Some(store_revision::StoreRevision {
            era: heartbeat.store.era,
            revision: *heartbeat.store_checks.read.get(kind)?,
        })
    }

    /// Returns the addresses of the other hosts of the own data centre that get a heartbeat in this
    /// interval: the live ones in turn, and silent ones with the sends that are left, at least one.
    pub fn heartbeat_recipients(&mut self, now: model::Time) -> Vec<net::SocketAddr> {
        let live: collections::BTreeSet<&model::HostId> = self
            .live_heartbeats(now)
            .map(|heartbeat| &heartbeat.member.host)
            .collect();
        let (live, silent): (Vec<&messages::Member>, Vec<&messages::Member>) = self
            .local_peers()
            .partition(|member| live.contains(&member.host));
        let silent_count = MAX_HEARTBEATS_PER_INTERVAL
            .saturating_sub(live.len())
            .max(1);
        let live = next_in_turn(
            &live,
            &self.last_live_recipient,
            MAX_HEARTBEATS_PER_INTERVAL,
        );
        let silent = next_in_turn(&silent, &self.last_silent_recipient, silent_count);
        let recipients = live.iter().chain(&silent).map(|member| member.peers);
        let recipients = recipients.collect();
        let host = |member: &&messages::Member| member.host.clone();
        let (last_live, last_silent) = (live.last().map(host), silent.last().map(host));
        self.last_live_recipient = last_live;
        self.last_silent_recipient = last_silent;
        recipients
    }

    /// Returns the summary to send to other data centres; `None` unless this host has the smallest
    /// name of the live hosts in its data centre.
    pub fn summary_to_send(
        &mut self,
        heartbeat: &messages::Heartbeat,
        now: model::Time,
    ) -> Option<messages::Outgoing> {
        if !self.is_summary_sender(now) {
            return None;
        }
        let message = messages::Message::Summary {
            summary: self.summary(heartbeat, now),
            relay: true,
        };
        let to = self.other_data_centre_recipients(now);
        Some(messages::Outgoing { to, message })
    }

    /// Whether this host has the smallest name of the live hosts in its data centre.
    fn is_summary_sender(&self, now: model::Time) -> bool {
        self.live_heartbeats(now)
            .all(|other| self.own.host < other.member.host)
    }

    /// Address of one host in each other data centre.
    fn other_data_centre_recipients(&mut self, now: model::Time) -> Vec<net::SocketAddr> {
        let data_centres: collections::BTreeSet<model::DataCentreId> = self
            .known
            .values()
            .map(|member| member.data_centre.clone())
            .filter(|data_centre| *data_centre != self.own.data_centre)
            .collect();
        data_centres
            .into_iter()
            .filter_map(|data_centre| self.recipient(&data_centre, now))
            .collect()
    }

    fn summary(&self, heartbeat: &messages::Heartbeat, now: model::Time) -> messages::Summary {
        let own = heartbeat.is_ready.then(|| self.own.clone());
        let ready = self
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.is_ready);
        let all = self.live_heartbeats(now).chain([heartbeat]);
        messages::Summary {
            data_centre: self.own.data_centre.clone(),
            members: own
                .into_iter()
                .chain(ready.map(|heartbeat| heartbeat.member.clone()))
                .collect(),
            loads: sum_loads(all.flat_map(|heartbeat| &heartbeat.loads)),
            blocks: heartbeat.blocks.clone(),
            shares: heartbeat.shares.clone(),
            store: heartbeat.store.clone(),
            version: heartbeat.version,
            limits: heartbeat.limits.clone(),
            leaving: heartbeat.leaving.clone(),
            crashes: heartbeat.crashes.clone(),
        }
    }

    /// Returns the address in another data centre that summaries go to.  While none arrive from
    /// there, the recipient changes to the next host at intervals of [`SUMMARY_INTERVAL`].
    fn recipient(&mut self, data_centre: &str, now: model::Time) -> Option<net::SocketAddr> {
        let mut hosts: Vec<&messages::Member> = self
            .known
            .values()
            .filter(|member| member.data_centre == data_centre)
            .collect();
        let latest = self.summaries.get(data_centre);
        let is_silent = latest.is_none_or(|received| now > received.at + RECIPIENT_TIMEOUT);
        if let Some(received) = latest.filter(|_| !is_silent) {
            let is_live = |member: &&messages::Member| received.value.members.contains(member);
            if hosts.iter().any(is_live) {
                hosts.retain(is_live);
            }
        }
        let current = self.recipients.get(data_centre);
        let position = current.and_then(|recipient| {
            hosts
                .iter()
                .position(|member| member.host == recipient.value)
        });
        let due =
            current.is_none_or(|recipient| is_silent && now > recipient.at + SUMMARY_INTERVAL);
        let next = match (position, due) {
            (Some(at), false) => at,
            (Some(at), true) => (at + 1) % hosts.len(),
            // Different data centres send to different hosts, which share the work of relaying.
            (None, _) => hash(&self.own.data_centre) % hosts.len().max(1),
        };
        let chosen = (*hosts.get(next)?).clone();
        if position != Some(next) || due {
            let value = chosen.host.clone();
            self.recipients
                .insert(data_centre.to_string(), Received { value, at: now });
        }
        Some(chosen.peers)
    }

    /// Newest heartbeats of the other live hosts of the own data centre.
    pub fn live_heartbeats(&self, now: model::Time) -> impl Iterator<Item = &messages::Heartbeat> {
        let timeout = self.heartbeat_timeout();
        self.heartbeats
            .values()
            .filter(move |received| now <= received.at + timeout)
            .map(|received| &received.value)
    }

    /// Time without a heartbeat after which a host of the own data centre counts as dead.
    fn heartbeat_timeout(&self) -> time::Duration {
        let intervals = self
            .local_peers()
            .count()
            .div_ceil(MAX_HEARTBEATS_PER_INTERVAL);
        let interval = HEARTBEAT_INTERVAL * u32::try_from(intervals).unwrap_or(u32::MAX);
        MIN_HEARTBEAT_TIMEOUT.max(interval * MAX_LOST_HEARTBEATS)
    }

    /// Newest summaries of the other data centres that have live hosts.
    pub fn live_summaries(&self, now: model::Time) -> impl Iterator<Item = &messages::Summary> {
        self.summaries
            .values()
            .filter(move |received| now <= received.at + SUMMARY_TIMEOUT)
            .map(|received| &received.value)
    }

    /// Live hosts of a data centre that accept requests.
    pub fn ready_members(
        &self,
        data_centre: &str,
        is_own_ready: bool,
        now: model::Time,
    ) -> Vec<messages::Member> {
        if data_centre != self.own.data_centre {
            return self
                .live_summaries(now)
                .filter(|summary| summary.data_centre == data_centre)
                .flat_map(|summary| summary.members.iter().cloned())
                .collect();
        }
        let own = is_own_ready.then(|| self.own.clone());
        let others = self
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.is_ready);
        own.into_iter()
            .chain(others.map(|heartbeat| heartbeat.member.clone()))
            .collect()
    }

    /// Live hosts of all data centres, this one included, with their data centres.
    pub fn live_hosts(&self, now: model::Time) -> send_shares::KnownHosts {
        let local = self.live_heartbeats(now).map(|heartbeat| &heartbeat.member);
        let remote = self
            .live_summaries(now)
            .flat_map(|summary| &summary.members);
        let hosts = local
            .chain(remote)
            .map(|member| (&member.data_centre, member.host.as_str()));
        send_shares::KnownHosts::new(&self.own.host, hosts)
    }

    /// Other known hosts of all data centres, and whether each is live.
    pub fn peers(&self, now: model::Time) -> impl Iterator<Item = (&messages::Member, bool)> {
        let local = self.live_heartbeats(now).map(|heartbeat| &heartbeat.member);
        let remote = self
            .live_summaries(now)
            .flat_map(|summary| &summary.members);
        let live: collections::HashSet<&model::HostId> =
            local.chain(remote).map(|member| &member.host).collect();
        let others = self
            .known
            .values()
            .filter(|member| member.host != self.own.host);
        others.map(move |member| (member, live.contains(&member.host)))
    }

    /// Whether the settings name no other host.
    pub fn has_no_seeds(&self) -> bool {
        self.seeds.iter().all(|seed| *seed == self.own.peers)
    }

    /// Number of live hosts in the own data centre, including this one.
    pub fn live_host_count(&self, now: model::Time) -> usize {
        1 + self.live_heartbeats(now).count()
    }

    /// Number of known hosts in all data centres, alive or not.
    pub fn known_host_count(&self) -> usize {
        self.known.len()
    }

    fn local_peers(&self) -> impl Iterator<Item = &messages::Member> {
        self.known.values().filter(|member| {
            member.host != self.own.host && member.data_centre == self.own.data_centre
        })
    }
}

/// Up to `count` members in turn, starting after the host `last`; `members` are ordered by host.
fn next_in_turn<'a>(
    members: &[&'a messages::Member],
    last: &Option<model::HostId>,
    count: usize,
) -> Vec<&'a messages::Member> {
    let start = members.partition_point(|member| Some(&member.host) <= last.as_ref());
    let (before, after) = members.split_at(start);
    after.iter().chain(before).take(count).copied().collect()
}

fn hash(text: &str) -> usize {
    xxh3::xxh3_64(text.as_bytes()) as usize
}

/// Sums the loads that have the same service, data centre and regions.
pub fn sum_loads<'a>(loads: impl Iterator<Item = &'a messages::Load>) -> Vec<messages::Load> {
    let mut sums: collections::BTreeMap<_, f64> = collections::BTreeMap::new();
    for load in loads {
        *sums
            .entry((&load.service, &load.data_centre, &load.regions))
            .or_default() += load.slots;
    }
    sums.into_iter()
        .map(|((service, data_centre, regions), slots)| messages::Load {
            service: service.clone(),
            data_centre: data_centre.clone(),
            regions: regions.clone(),
            slots,
        })
        .collect()
}
