//! Which hosts are alive, and what they report to each other.
//!
//! Hosts of one data centre send each other beats.  The host with the smallest name among the
//! living ones of a data centre also sends a summary of them to the other data centres; who
//! receives one passes it on within its own.  Traffic between data centres thus grows with their
//! number and not with that of the hosts.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use crate::model;

/// Time between beats within a data centre.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Time between summaries to other data centres.
pub const SUMMARY_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Silence after which a host of the same data centre counts as dead: several lost beats.
const BEAT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Silence after which the hosts of another data centre count as dead: several lost summaries.
const SUMMARY_TIMEOUT: time::Duration = time::Duration::from_millis(3200);

/// Silence after which another host of a silent data centre is sent summaries.
const ROTATE: time::Duration = time::Duration::from_millis(1500);

/// A host of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub host: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for other hosts.
    pub peers: net::SocketAddr,
}

/// What a host tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub member: Member,
    /// Whether it takes requests; false while it stops.
    pub is_ready: bool,
    /// Its requests in progress at each backend server, by a hash of the server's name.
    pub in_flight: Vec<(u64, u32)>,
    /// Demand that it receives.
    pub loads: Vec<Load>,
    /// Blocks of callers and the data centre next to each, as far as it knows.
    pub blocks: Vec<(net::IpAddr, model::DataCentreId)>,
    /// Shares that its look-ups use; none until it has seen traffic.
    pub shares: Vec<LookupShares>,
    /// Revision of the newest change of each kind of object that it knows of.
    pub newest: collections::BTreeMap<String, u64>,
}

/// Demand for one service from the callers of one data centre, of routes that the same regions may
/// serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Service.
    pub service: model::ServiceId,
    /// Data centre of the callers.
    pub data_centre: model::DataCentreId,
    /// Regions that may serve the requests; empty where all may.
    pub regions: Vec<model::RegionId>,
    /// Slots that the requests take up at backend servers that have their objects in the cache.
    pub slots: f64,
}

/// Shares of each data centre in the callers of a region, for one name, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupShares {
    /// Name that callers look up.
    pub name: String,
    /// Region of the callers.
    pub region: model::RegionId,
    /// Share of each data centre that has one.
    pub shares: Vec<(model::DataCentreId, u16)>,
}

/// What the hosts of a data centre tell others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Its living hosts that take requests.
    pub members: Vec<Member>,
    /// Demand that they receive.
    pub loads: Vec<Load>,
    /// Blocks of callers and the data centre next to each, as far as the sender knows.
    pub blocks: Vec<(net::IpAddr, model::DataCentreId)>,
    /// Shares that its look-ups use; none until it has seen traffic.
    pub shares: Vec<LookupShares>,
    /// Revision of the newest change of each kind of object that it knows of.
    pub newest: collections::BTreeMap<String, u64>,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a host of the same data centre.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Of another data centre; `relay` asks the receiver to pass it on.
    Summary {
        /// The summary.
        summary: Summary,
        /// Whether the receiver passes it on within its data centre.
        relay: bool,
    },
}

#[derive(Clone, Debug)]
struct Heard<T> {
    value: T,
    at: model::Time,
}

/// Hosts that a host knows.
#[derive(Debug)]
pub struct Members {
    own: Member,
    known: collections::BTreeMap<model::HostId, Member>,
    beats: collections::BTreeMap<model::HostId, Heard<Heartbeat>>,
    summaries: collections::BTreeMap<model::DataCentreId, Heard<Summary>>,
    /// Host of each other data centre that summaries are sent to.
    contacts: collections::BTreeMap<model::DataCentreId, Heard<model::HostId>>,
}

impl Members {
    /// Only the own host is known.
    pub fn new(own: Member) -> Members {
        let known = [(own.host.clone(), own.clone())].into();
        Members {
            own,
            known,
            beats: collections::BTreeMap::new(),
            summaries: collections::BTreeMap::new(),
            contacts: collections::BTreeMap::new(),
        }
    }

    /// The own host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Takes a host that is registered.
    pub fn upsert(&mut self, member: Member) {
        if member.host != self.own.host {
            self.known.insert(member.host.clone(), member);
        }
    }

    /// Takes a message; returns the messages to pass on.
    pub fn receive(
        &mut self,
        message: Message,
        now: model::Time,
    ) -> Vec<(net::SocketAddr, Message)> {
        match message {
            Message::Heartbeat(beat) => {
                self.take_beat(beat, now);
                Vec::new()
            }
            Message::Summary { summary, relay } => self.take_summary(summary, relay, now),
        }
    }

    fn take_beat(&mut self, beat: Heartbeat, now: model::Time) {
        if beat.member.host == self.own.host || beat.member.data_centre != self.own.data_centre {
            return;
        }
        self.upsert(beat.member.clone());
        self.beats.insert(
            beat.member.host.clone(),
            Heard {
                value: beat,
                at: now,
            },
        );
    }

    fn take_summary(
        &mut self,
        summary: Summary,
        relay: bool,
        now: model::Time,
    ) -> Vec<(net::SocketAddr, Message)> {
        if summary.data_centre == self.own.data_centre {
            return Vec::new();
        }
        summary
            .members
            .iter()
            .cloned()
            .for_each(|member| self.upsert(member));
        let passed_on = Message::Summary {
            summary: summary.clone(),
            relay: false,
        };
        self.summaries.insert(
            summary.data_centre.clone(),
            Heard {
                value: summary,
                at: now,
            },
        );
        if !relay {
            return Vec::new();
        }
        self.neighbours()
            .map(|member| (member.peers, passed_on.clone()))
            .collect()
    }

    /// Beats to send to the hosts of the own data centre.
    pub fn heartbeats(&self, beat: &Heartbeat) -> Vec<(net::SocketAddr, Message)> {
        self.neighbours()
            .map(|member| (member.peers, Message::Heartbeat(beat.clone())))
            .collect()
    }

    /// Summaries to send to other data centres; none unless this host speaks for its own.
    pub fn summaries(
        &mut self,
        beat: &Heartbeat,
        now: model::Time,
    ) -> Vec<(net::SocketAddr, Message)> {
        let speaks = self
            .live_heartbeats(now)
            .all(|other| self.own.host < other.member.host);
        if !speaks {
            return Vec::new();
        }
        let message = Message::Summary {
            summary: self.summary(beat, now),
            relay: true,
        };
        let data_centres: collections::BTreeSet<model::DataCentreId> = self
            .known
            .values()
            .map(|member| member.data_centre.clone())
            .filter(|data_centre| *data_centre != self.own.data_centre)
            .collect();
        data_centres
            .into_iter()
            .filter_map(|data_centre| self.contact(&data_centre, now))
            .map(|address| (address, message.clone()))
            .collect()
    }

    fn summary(&self, beat: &Heartbeat, now: model::Time) -> Summary {
        let own = beat.is_ready.then(|| self.own.clone());
        let ready = self.live_heartbeats(now).filter(|beat| beat.is_ready);
        let all = self.live_heartbeats(now).chain([beat]);
        Summary {
            data_centre: self.own.data_centre.clone(),
            members: own
                .into_iter()
                .chain(ready.map(|beat| beat.member.clone()))
                .collect(),
            loads: sum_loads(all.flat_map(|beat| &beat.loads)),
            blocks: beat.blocks.clone(),
            shares: beat.shares.clone(),
            newest: beat.newest.clone(),
        }
    }

    /// Address in another data centre that summaries go to; another host's after a silence.
    fn contact(&mut self, data_centre: &str, now: model::Time) -> Option<net::SocketAddr> {
        let mut hosts: Vec<&Member> = self
            .known
            .values()
            .filter(|member| member.data_centre == data_centre)
            .collect();
        let alive = self.summaries.get(data_centre);
        let is_silent = alive.is_none_or(|heard| now > heard.at + ROTATE);
        if let Some(heard) = alive.filter(|_| !is_silent) {
            let living = |member: &&Member| heard.value.members.contains(member);
            if hosts.iter().any(living) {
                hosts.retain(living);
            }
        }
        let current = self.contacts.get(data_centre);
        let position = current
            .and_then(|contact| hosts.iter().position(|member| member.host == contact.value));
        let due = current.is_none_or(|contact| is_silent && now > contact.at + SUMMARY_INTERVAL);
        let next = match (position, due) {
            (Some(at), false) => at,
            (Some(at), true) => (at + 1) % hosts.len(),
            (None, _) => 0,
        };
        let chosen = (*hosts.get(next)?).clone();
        if position != Some(next) || due {
            let value = chosen.host.clone();
            self.contacts
                .insert(data_centre.to_string(), Heard { value, at: now });
        }
        Some(chosen.peers)
    }

    /// Other living hosts of the own data centre, as they last described themselves.
    pub fn live_heartbeats(&self, now: model::Time) -> impl Iterator<Item = &Heartbeat> {
        self.beats
            .values()
            .filter(move |heard| now <= heard.at + BEAT_TIMEOUT)
            .map(|heard| &heard.value)
    }

    /// Other data centres, as their hosts last described them.
    pub fn live_summaries(&self, now: model::Time) -> impl Iterator<Item = &Summary> {
        self.summaries
            .values()
            .filter(move |heard| now <= heard.at + SUMMARY_TIMEOUT)
            .map(|heard| &heard.value)
    }

    /// Living hosts of a data centre that take requests.
    pub fn ready_members(
        &self,
        data_centre: &str,
        own_ready: bool,
        now: model::Time,
    ) -> Vec<Member> {
        if data_centre != self.own.data_centre {
            return self
                .live_summaries(now)
                .filter(|summary| summary.data_centre == data_centre)
                .flat_map(|summary| summary.members.iter().cloned())
                .collect();
        }
        let own = own_ready.then(|| self.own.clone());
        let others = self.live_heartbeats(now).filter(|beat| beat.is_ready);
        own.into_iter()
            .chain(others.map(|beat| beat.member.clone()))
            .collect()
    }

    /// Hosts of the own data centre that may send to its backend servers, this one included.
    pub fn live_host_count(&self, now: model::Time) -> usize {
        1 + self.live_heartbeats(now).count()
    }

    /// All hosts that are known, alive or not.
    pub fn known_host_count(&self) -> usize {
        self.known.len()
    }

    fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|member| {
            member.host != self.own.host && member.data_centre == self.own.data_centre
        })
    }
}

/// Sums loads of the same kind.
pub fn sum_loads<'a>(loads: impl Iterator<Item = &'a Load>) -> Vec<Load> {
    let mut sums: collections::BTreeMap<_, f64> = collections::BTreeMap::new();
    for load in loads {
        *sums
            .entry((&load.service, &load.data_centre, &load.regions))
            .or_default() += load.slots;
    }
    sums.into_iter()
        .map(|((service, data_centre, regions), slots)| Load {
            service: service.clone(),
            data_centre: data_centre.clone(),
            regions: regions.clone(),
            slots,
        })
        .collect()
}
