//! The state machine of the arrival side.

use std::{collections, sync, time};

use rand::SeedableRng;

use super::{alignment, averages, flow, heat, message, peers, plan, route, takeover, topology};
use crate::{capacity, config, drain, link, model};

/// Time between two calls of [`Router::tick`].
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Capacity of the pool of this host, by service.
pub type Capacities = collections::BTreeMap<model::ServiceId, capacity::Capacity>;

/// Routes requests that arrive at one host, and grants the capacity of its servers to others.
///
/// The document and the lists of hosts and capacities are set as they change, at least once a
/// second for the capacities and every few seconds for the hosts.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) doc: sync::Arc<config::Document>,
    pub(super) host: model::HostId,
    pub(super) data_centre: model::DataCentreId,
    pub(super) rng: rand_pcg::Pcg64,
    pub(super) peers: peers::Peers,
    pub(super) topology: topology::Topology,
    pub(super) takeover: takeover::Takeover,
    pub(super) flows: collections::BTreeMap<flow::FlowKey, flow::Flow>,
    pub(super) heat: collections::BTreeMap<model::ServiceId, heat::Heat>,
    pub(super) held_grants: capacity::HeldGrants,
    pub(super) issued_grants: capacity::IssuedGrants,
    pub(super) drains: collections::BTreeMap<String, (config::Drain, drain::Plan)>,
    pub(super) sent: collections::HashMap<model::RequestId, route::Sent>,
    pub(super) accepted: collections::HashMap<model::RequestId, route::Accepted>,
    /// Requests sent to each host since its last report.
    pub(super) sent_to: collections::BTreeMap<model::HostId, u32>,
    pub(super) slot_times: collections::BTreeMap<model::WorkId, averages::SlotTime>,
    pub(super) response_bytes: collections::BTreeMap<model::WorkId, averages::AnswerBytes>,
    /// Bytes of answers sent to each other region.
    pub(super) answers: collections::BTreeMap<model::RegionId, link::RankedWindow>,
    pub(super) reported: Option<model::Time>,
    pub(super) alignment: alignment::Alignment,
    /// Flow whose shares were reported last.
    pub(super) reported_flow: Option<flow::FlowKey>,
    pub(super) started: model::Time,
    stopping: collections::BTreeSet<model::ServerId>,
}

impl Router {
    /// A host that has just started; it is ready once it has a list of hosts and the shares of
    /// its peers.
    pub fn new(
        doc: sync::Arc<config::Document>,
        host: impl Into<model::HostId>,
        data_centre: impl Into<model::DataCentreId>,
        incarnation: model::Incarnation,
        seed: u64,
        now: model::Time,
    ) -> Router {
        let mut steer = Router {
            doc,
            host: host.into(),
            data_centre: data_centre.into(),
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            peers: peers::Peers::default(),
            topology: topology::Topology::default(),
            takeover: takeover::Takeover::default(),
            flows: collections::BTreeMap::new(),
            heat: collections::BTreeMap::new(),
            held_grants: capacity::HeldGrants::default(),
            issued_grants: capacity::IssuedGrants::new(incarnation),
            drains: collections::BTreeMap::new(),
            sent: collections::HashMap::new(),
            accepted: collections::HashMap::new(),
            sent_to: collections::BTreeMap::new(),
            slot_times: collections::BTreeMap::new(),
            response_bytes: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            reported: None,
            alignment: alignment::Alignment::default(),
            reported_flow: None,
            started: now,
            stopping: collections::BTreeSet::new(),
        };
        steer.plan_drains(now);
        steer
    }

    /// Puts a document in force.
    pub fn set_document(&mut self, doc: sync::Arc<config::Document>, now: model::Time) {
        let moved = self.doc.policies != doc.policies || self.doc.drains != doc.drains;
        self.doc = doc;
        if moved {
            self.flows.values_mut().for_each(flow::Flow::release);
        }
        let doc = sync::Arc::clone(&self.doc);
        self.flows.retain(|(work, origin), _| {
            doc.work.contains_key(work) && doc.region_of(origin).is_some()
        });
        self.plan_drains(now);
        self.refresh_topology(now);
    }

    /// Replaces the list of live hosts, this one included, and returns the first messages of a
    /// starting host.
    pub fn set_members(
        &mut self,
        members: &[peers::Peer],
        now: model::Time,
    ) -> Vec<message::Action> {
        self.peers.set(members, now);
        self.refresh_topology(now);
        self.takeover
            .begin(&self.doc, &self.peers, &self.host, &self.data_centre, now)
            .into_iter()
            .map(|to| message::Action::Send {
                to,
                message: message::Message::SharesAsk,
            })
            .collect()
    }

    /// Takes in the use of the servers that this host owns.
    pub fn set_local_capacity(&mut self, capacities: &Capacities, now: model::Time) {
        capacities.iter().for_each(|(service, capacity)| {
            self.issued_grants.set_capacity(service, *capacity, now)
        });
    }

    /// Servers and owners by the document and the live hosts.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Whether requests may be routed.
    pub fn is_ready(&self) -> bool {
        self.takeover.is_done()
    }

    /// Takes in a message of another host.
    pub fn on_message(
        &mut self,
        from: &str,
        message: message::Message,
        now: model::Time,
    ) -> Vec<message::Action> {
        let data_centre = self.peers.data_centre_of(from).cloned();
        match message {
            message::Message::Ask(data_centre, asks) => {
                let each = asks.into_iter();
                each.for_each(|ask| self.on_ask(from, &data_centre, ask));
            }
            message::Message::Grant(grants) => {
                for grant in grants {
                    if let Some(dc) = &data_centre {
                        self.held_grants.on_grant(dc, from, grant, now);
                    }
                }
            }
            message::Message::Report(mut report) => {
                self.sent_to.remove(from);
                if let Some(shares) = report.shares.take() {
                    self.alignment.on_shares(&self.host, from, shares, now);
                }
                self.peers.on_report(from, report, now);
            }
            message::Message::SharesAsk => {
                return vec![message::Action::Send {
                    to: from.to_string(),
                    message: message::Message::Shares(self.shares(now)),
                }];
            }
            message::Message::Shares(flows) => {
                let near = data_centre.as_ref() == Some(&self.data_centre);
                self.takeover
                    .on_shares(from, near, &self.data_centre, flows);
                self.finish_takeover(now);
            }
        }
        Vec::new()
    }

    /// Shares in force, for a host that takes them over; none from a host that is starting.
    pub fn shares(&self, now: model::Time) -> Vec<message::FlowShares> {
        let flows = self.flows.iter().filter(|_| self.is_ready());
        flows
            .map(|((work, origin), flow)| message::FlowShares {
                work: work.clone(),
                origin: origin.clone(),
                shares: flow.shares.clone(),
                moves: flow.log.ages(now),
            })
            .collect()
    }

    pub(super) fn finish_takeover(&mut self, now: model::Time) {
        for taken in self.takeover.finish(now) {
            let key = (taken.work.clone(), taken.origin.clone());
            let flow = flow::Flow::new(&taken.origin, now).with_shares(taken, now);
            self.flows.insert(key, flow);
        }
    }

    /// Queues a request for capacity; the answer leaves with the next tick.  The asker may have
    /// started after the list of hosts was made.
    pub(super) fn on_ask(&mut self, from: &str, data_centre: &str, ask: capacity::GrantRequest) {
        let Some(work) = self.doc.work.get(&ask.work) else {
            return;
        };
        let Some(region) = self.doc.region_of(data_centre) else {
            return;
        };
        let foreign = Some(region) != self.doc.region_of(&self.data_centre);
        let asker = capacity::Requester {
            host: from.to_string(),
            region: foreign.then(|| region.clone()),
            service: work.service.clone(),
            rank: work.rank,
        };
        self.issued_grants.enqueue(asker, ask);
    }

    /// Bytes per second that this host may let through on the link with another region, each
    /// way, for requests and for answers.
    pub(super) fn link_part(&self) -> u64 {
        let Some(region) = self.doc.region_of(&self.data_centre) else {
            return 0;
        };
        let owned = self
            .topology
            .owned_by(&self.host)
            .map(|id| self.doc.services[&self.doc.servers[id].service].slots)
            .sum();
        link::owner_link_rate(&self.doc.link, owned, self.topology.region_slots(region))
    }

    /// Why a data centre may not serve a kind of work, if so.
    pub(super) fn barred(
        &self,
        work: &str,
        data_centre: &str,
        now: model::Time,
    ) -> Option<plan::Cause> {
        let region = self.doc.region_of(data_centre);
        let allowed = region.is_some_and(|region| self.doc.allows_region(work, region));
        let served = self.topology.site(work, data_centre).is_some();
        if !self.peers.is_present(data_centre) && data_centre != self.data_centre {
            Some(plan::Cause::Lost)
        } else if !allowed || !served {
            Some(plan::Cause::Policy)
        } else if self.is_draining(data_centre, now) {
            Some(plan::Cause::Drain)
        } else {
            None
        }
    }

    fn is_draining(&self, data_centre: &str, now: model::Time) -> bool {
        self.drains.values().any(|(drain, plan)| {
            now >= plan.begin
                && matches!(&drain.target, config::DrainTarget::DataCentre(dc) if dc == data_centre)
        })
    }

    /// Use of the servers that a host owns, 1 where all slots are taken; what was sent since
    /// its last report counts.
    pub(super) fn use_of(&self, host: &str, service: &str, now: model::Time) -> f64 {
        const UNKNOWN_USE: f64 = 0.5;
        let capacity = match host == self.host {
            true => self.issued_grants.capacity(service, now),
            false => self.peers.load(host, service, now).map(|l| l.capacity),
        };
        let sent = self.sent_to.get(host).copied().unwrap_or(0);
        capacity.map_or(UNKNOWN_USE, |c| {
            f64::from(c.in_use + c.queued + sent) / f64::from(c.slots).max(0.5)
        })
    }

    fn plan_drains(&mut self, now: model::Time) {
        let doc = sync::Arc::clone(&self.doc);
        let old = std::mem::take(&mut self.drains);
        let planned = |name: &String, drain: &config::Drain| {
            let kept = old.get(name).filter(|(d, _)| d == drain);
            kept.map_or_else(|| drain::plan(&doc, drain, now), |(_, plan)| *plan)
        };
        self.drains = doc
            .drains
            .iter()
            .map(|(name, drain)| (name.clone(), (drain.clone(), planned(name, drain))))
            .collect();
    }

    /// Works the topology out again if a planned stop of a server has begun.
    pub(super) fn note_stops(&mut self, now: model::Time) {
        if self.begun_stops(now) != self.stopping {
            self.refresh_topology(now);
        }
    }

    fn begun_stops(&self, now: model::Time) -> collections::BTreeSet<model::ServerId> {
        self.drains
            .values()
            .filter(|(_, plan)| now >= plan.begin)
            .filter_map(|(drain, _)| match &drain.target {
                config::DrainTarget::Server(id) => Some(id.clone()),
                _ => None,
            })
            .collect()
    }

    fn refresh_topology(&mut self, now: model::Time) {
        self.stopping = self.begun_stops(now);
        self.topology =
            topology::Topology::new(&self.doc, &self.data_centre, &self.peers, &self.stopping);
    }
}
