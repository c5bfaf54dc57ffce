//! Exchange of summaries between data centres through a few relay hosts of each.

use std::{collections, net};

use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

use super::{member, message, rendezvous, state, timing};
use crate::model;

/// State of the exchange with other data centres.
#[derive(Clone, Debug, Default)]
pub(super) struct Relay {
    next_round: model::Time,
    round: usize,
    /// Start of the current uninterrupted period in which this host is a relay.
    relay_since: Option<model::Time>,
    last_summaries: collections::BTreeMap<model::DataCentreId, model::Time>,
    last_pulls: collections::BTreeMap<model::DataCentreId, model::Time>,
    /// Latest changes in the local data centre.
    changes: collections::VecDeque<(model::Time, message::Update)>,
}

impl Relay {
    /// Stores a change in the local data centre for the next summaries.
    pub(super) fn record_update(&mut self, update: message::Update, now: model::Time) {
        self.changes.push_back((now, update));
        if self.changes.len() > timing::UPDATES_PER_MESSAGE {
            self.changes.pop_front();
        }
    }

    fn recent_updates(&self) -> Vec<message::Update> {
        self.changes.iter().map(|(_, u)| u.clone()).collect()
    }

    fn expire_changes(&mut self, now: model::Time) {
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| now > *at + timing::SUMMARY_REPEAT_DURATION)
        {
            self.changes.pop_front();
        }
    }
}

/// Hosts of a data centre that exchange summaries with other data centres. Rendezvous hashing
/// selects them from the live hosts; leaving hosts are selected only if there are too few others.
pub fn relays<'a>(
    hosts: impl Iterator<Item = (&'a str, member::State)>,
    data_centre: &str,
) -> Vec<&'a str> {
    top_hosts(hosts, data_centre, timing::RELAY_COUNT)
}

/// Hosts of a data centre that watch the platform; other hosts than its relays if there are enough.
pub fn watchers<'a>(
    hosts: impl Iterator<Item = (&'a str, member::State)>,
    data_centre: &str,
) -> Vec<&'a str> {
    let mut ranked = top_hosts(
        hosts,
        data_centre,
        timing::RELAY_COUNT + timing::WATCHER_COUNT,
    );
    let skipped = ranked.len().saturating_sub(timing::WATCHER_COUNT);
    ranked.drain(..skipped);
    ranked
}

fn top_hosts<'a>(
    hosts: impl Iterator<Item = (&'a str, member::State)>,
    data_centre: &str,
    count: usize,
) -> Vec<&'a str> {
    let key = xxh3::xxh3_64(data_centre.as_bytes());
    let live = hosts.filter(|(_, state)| *state != member::State::Dead);
    rendezvous::top_candidates(live, count, |(host, state)| {
        let is_staying = *state != member::State::Leaving;
        (
            is_staying,
            rendezvous::score(key, rendezvous::candidate_hash(host)),
        )
    })
    .into_iter()
    .map(|(host, _)| host)
    .collect()
}

impl state::Membership {
    /// Sends summaries if this host is a relay and a round is due.
    pub(super) fn relay_summaries(&mut self, now: model::Time) {
        if now < self.relay.next_round {
            return;
        }
        self.relay.next_round = now + timing::SUMMARY_INTERVAL;
        self.relay.round += 1;
        self.relay.expire_changes(now);
        let own = self.relays_of(&self.identity.data_centre.clone());
        let Some(index) = own.iter().position(|(host, _)| *host == self.identity.host) else {
            self.relay.relay_since = None;
            return;
        };
        self.relay.relay_since.get_or_insert(now);
        self.detect_silence(now);
        self.send_summary_ages(&own, now);
        self.send_summaries(index, now);
    }

    /// Sends summaries outside the interval, before the process ends.
    pub(super) fn send_final_summaries(&mut self, now: model::Time) {
        if self.relay.relay_since.is_some() {
            self.send_summaries(0, now);
        }
    }

    fn relays_of(&mut self, data_centre: &str) -> Vec<(model::HostId, net::SocketAddr)> {
        if !self.cache.relays.contains_key(data_centre) {
            let relays = self.compute_relays(data_centre);
            self.cache.relays.insert(data_centre.to_string(), relays);
        }
        self.cache.relays[data_centre].clone()
    }

    fn compute_relays(&self, data_centre: &str) -> Vec<(model::HostId, net::SocketAddr)> {
        let me = (self.identity.data_centre == data_centre).then(|| {
            let state = match self.record.attributes.leaving {
                true => member::State::Leaving,
                false => member::State::Alive,
            };
            (self.identity.host.as_str(), state)
        });
        let others = self
            .entries
            .values()
            .filter(|e| e.record.data_centre == data_centre)
            .map(|e| (e.record.host.as_str(), e.state()));
        relays(others.chain(me), data_centre)
            .into_iter()
            .map(|host| {
                let entry = self.entries.get(host);
                let address = entry.map_or(self.identity.peer_address, |e| e.record.peer_address);
                (host.to_string(), address)
            })
            .collect()
    }

    fn other_data_centres(&self) -> collections::BTreeSet<model::DataCentreId> {
        let known = self.entries.values().map(|e| &e.record.data_centre);
        let listed = self.listed.values().map(|l| &l.data_centre);
        let names = known.chain(listed).collect::<collections::BTreeSet<_>>();
        names
            .into_iter()
            .filter(|dc| **dc != self.identity.data_centre)
            .cloned()
            .collect()
    }

    fn send_summaries(&mut self, index: usize, now: model::Time) {
        for data_centre in self.other_data_centres() {
            let last_summary = self.relay.last_summaries.get(&data_centre).copied();
            let is_lost = last_summary.is_none_or(|at| now > at + timing::SILENCE_TIMEOUT);
            let relays = self.relays_of(&data_centre);
            let usual = (!relays.is_empty())
                .then(|| relays[(index + self.relay.round) % relays.len()].clone());
            let target = match is_lost && self.relay.round.is_multiple_of(2) {
                true => self.random_host(&data_centre).or(usual),
                false => usual.or_else(|| self.random_host(&data_centre)),
            };
            if let Some((_, to)) = target {
                self.send_summary(to, is_lost);
            }
        }
    }

    /// A random host of another data centre, including dead hosts and those that are only listed.
    fn random_host(&mut self, data_centre: &str) -> Option<(model::HostId, net::SocketAddr)> {
        let known = self
            .entries
            .values()
            .filter(|e| e.record.data_centre == data_centre)
            .map(|e| (e.record.host.clone(), e.record.peer_address));
        let listed = self
            .listed
            .values()
            .filter(|l| l.data_centre == data_centre)
            .map(|l| (l.host.clone(), l.peer_address));
        known.chain(listed).choose(&mut self.rng)
    }

    fn send_summary(&mut self, to: net::SocketAddr, wants_answer: bool) {
        let data_centre = self.identity.data_centre.clone();
        let body = message::Body::Summary {
            digest: self.digest(&data_centre),
            data_centre,
            wants_answer,
        };
        let updates = self.relay.recent_updates();
        self.send_with(to, body, updates);
    }

    pub(super) fn on_summary(
        &mut self,
        sender: &message::Sender,
        data_centre: model::DataCentreId,
        digest: u64,
        wants_answer: bool,
        now: model::Time,
    ) {
        if data_centre == self.identity.data_centre {
            return;
        }
        self.record_summary(&data_centre, now);
        if digest != self.digest(&data_centre) && self.may_pull(&data_centre, now) {
            let body = message::Body::Pull {
                data_centre: Some(data_centre),
            };
            self.send(&sender.host, sender.peer_address, body);
        }
        if wants_answer {
            self.send_summary(sender.peer_address, false);
        }
    }

    fn may_pull(&mut self, data_centre: &str, now: model::Time) -> bool {
        let last = self.relay.last_pulls.get(data_centre).copied();
        let due = last.is_none_or(|at| now >= at + timing::SUMMARY_INTERVAL);
        if due {
            self.relay.last_pulls.insert(data_centre.to_string(), now);
        }
        due
    }

    fn record_summary(&mut self, data_centre: &str, at: model::Time) {
        let last = self
            .relay
            .last_summaries
            .entry(data_centre.to_string())
            .or_default();
        *last = at.max(*last);
        let reach = self.reach.get(data_centre).copied().unwrap_or_default();
        if reach.silent {
            self.apply_reach(
                data_centre.to_string(),
                reach.counter.saturating_add(1),
                false,
            );
        }
    }

    fn detect_silence(&mut self, now: model::Time) {
        let since = self.relay.relay_since.unwrap_or(now);
        for data_centre in self.other_data_centres() {
            let last_summary = self.relay.last_summaries.get(&data_centre).copied();
            let last = last_summary.unwrap_or_default().max(since);
            let reach = self.reach.get(&data_centre).copied().unwrap_or_default();
            if !reach.silent && now > last + timing::SILENCE_TIMEOUT {
                self.apply_reach(data_centre, reach.counter.saturating_add(1), true);
            }
        }
    }

    /// Sends the ages of the latest summaries to the other relays of the data centre.
    fn send_summary_ages(&mut self, own: &[(model::HostId, net::SocketAddr)], now: model::Time) {
        let ages_ms = self
            .relay
            .last_summaries
            .iter()
            .map(|(dc, at)| (dc.clone(), now.saturating_sub(*at).as_millis() as u32))
            .collect::<Vec<_>>();
        let others = own.iter().filter(|(host, _)| *host != self.identity.host);
        for (host, to) in others.cloned().collect::<Vec<_>>() {
            let body = message::Body::Heard {
                ages_ms: ages_ms.clone(),
            };
            self.send(&host, to, body);
        }
    }

    pub(super) fn on_summary_ages(
        &mut self,
        ages_ms: Vec<(model::DataCentreId, u32)>,
        now: model::Time,
    ) {
        for (data_centre, age_ms) in ages_ms {
            let age = model::Time::from_millis(u64::from(age_ms));
            if age <= timing::SILENCE_TIMEOUT {
                self.record_summary(&data_centre, now.saturating_sub(age));
            }
        }
    }
}
