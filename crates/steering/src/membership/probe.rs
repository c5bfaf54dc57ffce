//! Probes within a data centre: each host probes its successors on a hash ring.

use std::{collections, net};

use rand::seq::IteratorRandom;

use super::{entry, member, message, state, timing};
use crate::model;

/// A probe that has not been acknowledged.
#[derive(Clone, Debug)]
struct Probe {
    host: model::HostId,
    sent: model::Time,
    indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: message::Sender,
    seq: u64,
    sent: model::Time,
}

/// Outstanding probes.
#[derive(Clone, Debug)]
pub(super) struct Probes {
    next_seq: u64,
    next_round: model::Time,
    pending: collections::BTreeMap<u64, Probe>,
    relayed: collections::BTreeMap<u64, RelayedProbe>,
}

impl Probes {
    pub(super) fn new(now: model::Time) -> Probes {
        Probes {
            next_seq: 1,
            next_round: now,
            pending: collections::BTreeMap::new(),
            relayed: collections::BTreeMap::new(),
        }
    }

    fn allocate_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn is_pending(&self, host: &str) -> bool {
        self.pending.values().any(|p| p.host == host)
    }
}

impl state::Membership {
    /// Discards the pending probes after this host was paused, and extends the suspicions by the
    /// pause: they expired only because this host did not run.
    pub(super) fn discard_probes_after_pause(&mut self, gap: model::Time) {
        self.probes.pending.clear();
        self.probes.relayed.clear();
        self.entries
            .values_mut()
            .filter(|e| e.status == member::Status::Suspect)
            .for_each(|e| e.changed_at += gap);
    }

    /// Starts a round of probes if one is due.
    pub(super) fn probe_round(&mut self, now: model::Time) {
        if now < self.probes.next_round {
            return;
        }
        self.probes.next_round = now + timing::PROBE_INTERVAL;
        self.probe_successors(now);
    }

    /// Probes the successors that have no pending probe.
    fn probe_successors(&mut self, now: model::Time) {
        for (host, address) in self.successors() {
            if !self.probes.is_pending(&host) {
                let seq = self.probes.allocate_seq();
                let probe = Probe {
                    host: host.clone(),
                    sent: now,
                    indirect: false,
                };
                self.probes.pending.insert(seq, probe);
                let body = message::Body::Ping {
                    seq,
                    host: host.clone(),
                };
                self.send(&host, address, body);
            }
        }
    }

    fn successors(&mut self) -> Vec<(model::HostId, net::SocketAddr)> {
        if self.cache.successors.is_none() {
            self.cache.successors = Some(self.compute_successors());
        }
        self.cache.successors.clone().unwrap_or_default()
    }

    /// The next hosts on the ring, up to and including the
    /// [`timing::PROBED_SUCCESSOR_COUNT`]th alive one.
    fn compute_successors(&self) -> Vec<(model::HostId, net::SocketAddr)> {
        let start = entry::ring_position(&self.identity.host);
        let mut ring = self
            .entries
            .values()
            .filter(|e| e.is_live() && e.record.data_centre == self.identity.data_centre)
            .collect::<Vec<_>>();
        ring.sort_by_key(|e| e.ring.wrapping_sub(start));
        let mut alive = 0;
        ring.into_iter()
            .take_while(|e| {
                let wanted = alive < timing::PROBED_SUCCESSOR_COUNT;
                alive += usize::from(e.status == member::Status::Alive);
                wanted
            })
            .map(|e| (e.record.host.clone(), e.record.peer_address))
            .collect()
    }

    /// Requests indirect probes of hosts that did not acknowledge the direct one, and suspects
    /// those that acknowledge neither.
    pub(super) fn expire_probes(&mut self, now: model::Time) {
        self.probes
            .relayed
            .retain(|_, r| now < r.sent + timing::INDIRECT_PROBE_TIMEOUT);
        let direct = self
            .probes
            .pending
            .iter_mut()
            .filter(|(_, p)| !p.indirect && now >= p.sent + timing::DIRECT_PROBE_TIMEOUT)
            .map(|(seq, p)| {
                p.indirect = true;
                (*seq, p.host.clone())
            })
            .collect::<Vec<_>>();
        for (seq, host) in direct {
            self.probe_indirectly(seq, &host);
        }
        let expired = self
            .probes
            .pending
            .extract_if(.., |_, p| now >= p.sent + timing::INDIRECT_PROBE_TIMEOUT)
            .map(|(_, p)| p.host)
            .collect::<Vec<_>>();
        for host in &expired {
            self.suspect(host, now);
        }
    }

    fn probe_indirectly(&mut self, seq: u64, host: &str) {
        let Some(target) = self.entries.get(host) else {
            return;
        };
        let peer_address = target.record.peer_address;
        let body = message::Body::PingRequest {
            seq,
            host: host.to_string(),
            peer_address,
        };
        let proxies = self.entries.values().filter(|e| {
            e.status == member::Status::Alive
                && e.record.data_centre == self.identity.data_centre
                && e.record.host != host
        });
        let proxies = proxies
            .map(|e| (e.record.host.clone(), e.record.peer_address))
            .choose_multiple(&mut self.rng, timing::INDIRECT_PROBE_COUNT);
        for (proxy, address) in proxies {
            self.send(&proxy, address, body.clone());
        }
    }

    fn suspect(&mut self, host: &str, now: model::Time) {
        let Some(entry) = self.entries.get(host) else {
            return;
        };
        if entry.status != member::Status::Alive {
            return;
        }
        let observed = (entry.record.incarnation, entry.record.revision);
        self.apply_verdict(host, observed, member::Status::Suspect, now);
        self.notice(state::Notice::Suspected(host.to_string()));
        self.probe_successors(now);
    }

    /// Marks hosts dead that did not refute a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: model::Time) {
        let entries = &self.entries;
        let status = |host: &model::HostId| entries.get(host).map(|e| e.status);
        self.suspects
            .retain(|host| status(host) == Some(member::Status::Suspect));
        let expired = self
            .suspects
            .iter()
            .filter_map(|host| self.entries.get(host))
            .filter(|e| now >= e.changed_at + timing::SUSPICION_TIMEOUT)
            .map(|e| e.record.clone())
            .collect::<Vec<_>>();
        for record in expired {
            let observed = (record.incarnation, record.revision);
            self.apply_verdict(&record.host, observed, member::Status::Dead, now);
        }
    }

    pub(super) fn on_ping(&mut self, sender: &message::Sender, seq: u64, host: &str) {
        let body = message::Body::Ack {
            seq,
            host: self.identity.host.clone(),
        };
        if host == self.identity.host {
            self.send(&sender.host, sender.peer_address, body);
        } else {
            let own = message::Update::Record(self.record.clone());
            self.send_with(sender.peer_address, body, vec![own]);
        }
    }

    pub(super) fn on_ping_request(
        &mut self,
        sender: &message::Sender,
        seq: u64,
        host: model::HostId,
        peer_address: net::SocketAddr,
        now: model::Time,
    ) {
        let relayed_seq = self.probes.allocate_seq();
        let relayed = RelayedProbe {
            requester: sender.clone(),
            seq,
            sent: now,
        };
        self.probes.relayed.insert(relayed_seq, relayed);
        let body = message::Body::Ping {
            seq: relayed_seq,
            host: host.clone(),
        };
        self.send(&host, peer_address, body);
    }

    pub(super) fn on_ack(&mut self, seq: u64, host: model::HostId) {
        if let Some(relayed) = self.probes.relayed.remove(&seq) {
            let body = message::Body::Ack {
                seq: relayed.seq,
                host,
            };
            let requester = relayed.requester;
            self.send(&requester.host, requester.peer_address, body);
        } else if self
            .probes
            .pending
            .get(&seq)
            .is_some_and(|p| p.host == host)
        {
            self.probes.pending.remove(&seq);
        }
    }

    pub(super) fn identify(&mut self, sender: &message::Sender) {
        let own = message::Update::Record(self.record.clone());
        self.send_with(sender.peer_address, message::Body::Gossip, vec![own]);
    }
}
