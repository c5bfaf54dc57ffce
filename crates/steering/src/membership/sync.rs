//! Gossip rounds, joining, and comparison of member tables.

use std::{collections, net};

use rand::{Rng, seq::IteratorRandom};
use xxhash_rust::xxh3;

use super::{member, message, state, timing};
use crate::model;

/// Largest multiple of the join interval between attempts while no host replies.
const MAX_JOIN_BACKOFF_FACTOR: u32 = 10;
/// Hosts contacted in one attempt to join.
const JOIN_TARGET_COUNT: usize = 2;

impl state::Membership {
    /// Sends queued updates to a few random hosts of the data centre.
    pub(super) fn gossip_round(&mut self, now: model::Time) {
        let receivers = self
            .live_peers()
            .into_iter()
            .map(|(_, address)| address)
            .choose_multiple(&mut self.rng, timing::GOSSIP_TARGET_COUNT);
        let updates = self.gossip.take(receivers.len().max(1) as u32);
        self.gossip.schedule(updates.len(), receivers.len(), now);
        for to in receivers {
            self.send_with(to, message::Body::Gossip, updates.clone());
        }
    }

    /// Requests the members until a member table has been received.
    pub(super) fn join(&mut self, now: model::Time) {
        if self.joined || now < self.next_join {
            return;
        }
        self.join_attempts += 1;
        let factor = self.join_attempts.min(MAX_JOIN_BACKOFF_FACTOR);
        let pause = timing::JOIN_INTERVAL * factor;
        self.next_join = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        for to in self.join_candidates() {
            let own = message::Update::Record(self.record.clone());
            let body = message::Body::Pull { data_centre: None };
            self.send_with(to, body, vec![own]);
        }
    }

    /// Addresses to join through: known hosts, seeds, and listed hosts of the local data centre (of
    /// all data centres in every third attempt).
    fn join_candidates(&mut self) -> Vec<net::SocketAddr> {
        let anywhere = self.join_attempts.is_multiple_of(3);
        let listed = self
            .listed
            .values()
            .filter(|l| l.host != self.identity.host)
            .filter(|l| anywhere || l.data_centre == self.identity.data_centre)
            .map(|l| l.peer_address)
            .filter(|a| *a != self.identity.peer_address);
        let known = self.entries.values().map(|e| e.record.peer_address);
        let seeds = self.seeds.iter().copied();
        listed
            .chain(known)
            .chain(seeds)
            .choose_multiple(&mut self.rng, JOIN_TARGET_COUNT)
    }

    /// Compares member tables with a random live host of the data centre; in a quarter of the cases
    /// with a dead or unknown one, so that a healed partition is found.
    pub(super) fn sync(&mut self, now: model::Time) {
        if now < self.next_sync {
            return;
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_sync = now + timing::SYNC_INTERVAL.mul_f64(jitter);
        let dead_or_unknown = self.rng.random_ratio(1, 4);
        let target = match dead_or_unknown {
            true => self.dead_or_unknown_hosts().choose(&mut self.rng),
            false => None,
        };
        let target = target.or_else(|| self.live_peers().into_iter().choose(&mut self.rng));
        let Some((host, to)) = target else {
            return;
        };
        let digests = self.digests().clone().into_iter().collect();
        let body = message::Body::Sync {
            digests,
            reach: self.reach_digest(),
        };
        self.send(&host, to, body);
    }

    /// Hosts of the data centre that are dead, or listed but unknown.
    fn dead_or_unknown_hosts(&self) -> std::vec::IntoIter<(model::HostId, net::SocketAddr)> {
        let own = &self.identity.data_centre;
        let dead = self
            .entries
            .values()
            .filter(|e| !e.is_live() && e.record.data_centre == *own)
            .map(|e| (e.record.host.clone(), e.record.peer_address));
        let listed = self
            .listed
            .values()
            .filter(|l| l.host != self.identity.host && l.data_centre == *own)
            .filter(|l| !self.entries.contains_key(&l.host))
            .map(|l| (l.host.clone(), l.peer_address));
        dead.chain(listed).collect::<Vec<_>>().into_iter()
    }

    /// Other live hosts of the data centre with their addresses.
    fn live_peers(&self) -> Vec<(model::HostId, net::SocketAddr)> {
        self.entries
            .values()
            .filter(|e| e.is_live() && e.record.data_centre == self.identity.data_centre)
            .map(|e| (e.record.host.clone(), e.record.peer_address))
            .collect()
    }

    /// Digest over the live hosts of a data centre, independent of their order.
    pub(super) fn digest(&mut self, data_centre: &str) -> u64 {
        let digests = self.digests();
        digests.get(data_centre).copied().unwrap_or(0)
    }

    /// Digests over the live hosts of all data centres.
    fn digests(&mut self) -> &collections::BTreeMap<model::DataCentreId, u64> {
        let (entries, own) = (&self.entries, &self.record);
        self.cache.digests.get_or_insert_with(|| {
            let mut digests = collections::BTreeMap::<_, u64>::new();
            let live = entries.values().filter(|e| e.is_live());
            for record in live.map(|e| &e.record).chain([own]) {
                let seed = record.incarnation.rotate_left(20) ^ u64::from(record.revision);
                let member_hash = xxh3::xxh3_64_with_seed(record.host.as_bytes(), seed);
                let digest = digests.entry(record.data_centre.clone()).or_default();
                *digest = digest.wrapping_add(member_hash);
            }
            digests
        })
    }

    pub(super) fn on_sync(
        &mut self,
        sender: &message::Sender,
        digests: &[(model::DataCentreId, u64)],
        reach: u64,
    ) {
        if reach != self.reach_digest() {
            let updates = self.reach_updates();
            self.send_with(sender.peer_address, message::Body::Gossip, updates);
        }
        // Sending one table at a time bounds the bytes; the local data centre goes first.
        let differing = self.differing_data_centres(digests);
        let own = differing
            .iter()
            .find(|dc| **dc == self.identity.data_centre);
        let first = own.or_else(|| differing.iter().choose(&mut self.rng));
        if let Some(data_centre) = first {
            self.send_table(sender, data_centre, true);
        }
    }

    /// Data centres whose digests differ from those of another host.
    fn differing_data_centres(
        &mut self,
        digests: &[(model::DataCentreId, u64)],
    ) -> Vec<model::DataCentreId> {
        let mut ours = self.digests().clone();
        let mut differing = digests
            .iter()
            .filter(|(dc, digest)| ours.remove(dc) != Some(*digest))
            .map(|(dc, _)| dc.clone())
            .collect::<Vec<_>>();
        differing.extend(ours.into_keys());
        differing
    }

    fn reach_updates(&self) -> Vec<message::Update> {
        self.reach
            .iter()
            .map(|(data_centre, reach)| message::Update::Reach {
                data_centre: data_centre.clone(),
                counter: reach.counter,
                silent: reach.silent,
            })
            .collect()
    }

    fn reach_digest(&self) -> u64 {
        let hashes = self.reach.iter().map(|(data_centre, reach)| {
            let seed = reach.counter.wrapping_mul(2) ^ u64::from(reach.silent);
            xxh3::xxh3_64_with_seed(data_centre.as_bytes(), seed)
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// Data centres of all known hosts.
    fn data_centres(&self) -> collections::BTreeSet<model::DataCentreId> {
        let known = self.entries.values().map(|e| e.record.data_centre.clone());
        known.chain([self.identity.data_centre.clone()]).collect()
    }

    pub(super) fn on_pull(&mut self, sender: &message::Sender, wanted: Option<String>) {
        if let Some(data_centre) = wanted {
            return self.send_table(sender, &data_centre, false);
        }
        for data_centre in self.data_centres() {
            self.send_table(sender, &data_centre, false);
        }
    }

    fn send_table(&mut self, receiver: &message::Sender, data_centre: &str, exchange: bool) {
        let own = (data_centre == self.identity.data_centre)
            .then(|| (self.record.clone(), member::Status::Alive));
        let members = self
            .entries
            .values()
            .filter(|e| e.record.data_centre == data_centre)
            .map(|e| (e.record.clone(), e.status))
            .chain(own)
            .collect::<Vec<_>>();
        let fits_one_message = members.len() <= timing::MEMBERS_PER_MESSAGE;
        let complete = (fits_one_message && data_centre == self.identity.data_centre)
            .then(|| data_centre.into());
        for chunk in members.chunks(timing::MEMBERS_PER_MESSAGE) {
            let body = message::Body::Table {
                complete: complete.clone(),
                exchange,
                members: chunk.to_vec(),
            };
            self.send_with(receiver.peer_address, body, Vec::new());
        }
    }

    pub(super) fn on_table(
        &mut self,
        sender: &message::Sender,
        complete: Option<model::DataCentreId>,
        exchange: bool,
        members: Vec<(member::Record, member::Status)>,
        now: model::Time,
    ) {
        self.joined = true;
        let compared = members
            .first()
            .map(|(record, _)| record.data_centre.clone());
        if let Some(data_centre) = complete.filter(|dc| *dc != self.identity.data_centre) {
            self.mark_missing_dead(&data_centre, &members, now);
        }
        for (record, status) in members {
            let observed = (record.incarnation, record.revision);
            let host = record.host.clone();
            self.apply(message::Update::Record(record), now);
            if status != member::Status::Alive {
                let verdict = message::Update::Verdict {
                    host,
                    incarnation: observed.0,
                    revision: observed.1,
                    status,
                };
                self.apply(verdict, now);
            } else {
                self.report_death_to(&host, observed);
            }
        }
        if let Some(data_centre) = compared.filter(|_| exchange) {
            self.send_table(sender, &data_centre, false);
        }
    }

    /// Tells a host that is alive elsewhere that it is dead here, so that it refutes its death.
    fn report_death_to(&mut self, host: &str, observed: (model::Incarnation, u32)) {
        let dead = self
            .entries
            .get(host)
            .filter(|e| !e.is_live() && (e.record.incarnation, e.record.revision) == observed)
            .map(|e| e.record.peer_address);
        if let Some(to) = dead {
            self.send(host, to, message::Body::Gossip);
        }
    }

    /// Marks hosts of another data centre dead that are missing from its complete table.
    fn mark_missing_dead(
        &mut self,
        data_centre: &str,
        members: &[(member::Record, member::Status)],
        now: model::Time,
    ) {
        let named = |host: &str| members.iter().any(|(record, _)| record.host == host);
        let missing = self
            .entries
            .values()
            .filter(|e| e.is_live() && e.record.data_centre == data_centre)
            .filter(|e| now >= e.changed_at + timing::SUMMARY_INTERVAL * 10)
            .filter(|e| !named(&e.record.host))
            .map(|e| e.record.clone())
            .collect::<Vec<_>>();
        for record in missing {
            let observed = (record.incarnation, record.revision);
            self.apply_verdict(&record.host, observed, member::Status::Dead, now);
        }
    }
}
