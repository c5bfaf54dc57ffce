//! State machine of traffic steering on an entry host.

use std::{collections, sync, time};

use rand::SeedableRng;

use super::{
    alignment, averages, flow, message, peers, plan, route, share_sync, spillover, topology,
};
use crate::{capacity, config, drain, link, model};

/// Time between two calls of [`Router::tick`].
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Capacity of this host's pool by service.
pub type Capacities = collections::BTreeMap<model::ServiceId, capacity::Capacity>;

/// Routes requests that arrive at one host, and grants capacity of its servers to other hosts.
///
/// The user of the state machine sets the document, the list of hosts and the capacities whenever
/// they change, the capacities at least once a second and the hosts at least every few seconds.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) doc: sync::Arc<config::Document>,
    pub(super) host: model::HostId,
    pub(super) data_centre: model::DataCentreId,
    pub(super) rng: rand_pcg::Pcg64,
    pub(super) peers: peers::Peers,
    pub(super) topology: topology::Topology,
    pub(super) share_sync: share_sync::ShareSync,
    pub(super) flows: collections::BTreeMap<flow::FlowKey, flow::Flow>,
    pub(super) spillover: collections::BTreeMap<model::ServiceId, spillover::Spillover>,
    pub(super) held_grants: capacity::HeldGrants,
    pub(super) issued_grants: capacity::IssuedGrants,
    pub(super) drains: collections::BTreeMap<String, (config::Drain, drain::Plan)>,
    pub(super) routed_requests: collections::HashMap<model::RequestId, route::RoutedRequest>,
    pub(super) accepted_requests: collections::HashMap<model::RequestId, route::AcceptedRequest>,
    /// Number of requests sent to each host since its last report.
    pub(super) sent_since_report: collections::BTreeMap<model::HostId, u32>,
    pub(super) slot_times: collections::BTreeMap<model::WorkId, averages::MeanSlotTime>,
    pub(super) response_bytes: collections::BTreeMap<model::WorkId, averages::ResponseBytesBound>,
    /// Bytes of responses sent to each other region, over the window of [`link::RankedWindow`].
    pub(super) response_windows: collections::BTreeMap<model::RegionId, link::RankedWindow>,
    /// Time at which this host last sent a report.
    pub(super) last_report_sent: Option<model::Time>,
    pub(super) alignment: alignment::Alignment,
    /// Flow whose shares were in the last report.
    pub(super) last_reported_flow: Option<flow::FlowKey>,
    pub(super) started: model::Time,
    draining_servers: collections::BTreeSet<model::ServerId>,
}

impl Router {
    /// Creates the state of a host that has just started.  It is ready once it has a list of hosts
    /// and the shares of its peers.
    pub fn new(
        doc: sync::Arc<config::Document>,
        host: impl Into<model::HostId>,
        data_centre: impl Into<model::DataCentreId>,
        incarnation: model::Incarnation,
        seed: u64,
        now: model::Time,
    ) -> Router {
        let mut router = Router {
            doc,
            host: host.into(),
            data_centre: data_centre.into(),
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            peers: peers::Peers::default(),
            topology: topology::Topology::default(),
            share_sync: share_sync::ShareSync::default(),
            flows: collections::BTreeMap::new(),
            spillover: collections::BTreeMap::new(),
            held_grants: capacity::HeldGrants::default(),
            issued_grants: capacity::IssuedGrants::new(incarnation),
            drains: collections::BTreeMap::new(),
            routed_requests: collections::HashMap::new(),
            accepted_requests: collections::HashMap::new(),
            sent_since_report: collections::BTreeMap::new(),
            slot_times: collections::BTreeMap::new(),
            response_bytes: collections::BTreeMap::new(),
            response_windows: collections::BTreeMap::new(),
            last_report_sent: None,
            alignment: alignment::Alignment::default(),
            last_reported_flow: None,
            started: now,
            draining_servers: collections::BTreeSet::new(),
        };
        router.plan_drains(now);
        router
    }

    /// Applies a new version of the document.
    pub fn set_document(&mut self, doc: sync::Arc<config::Document>, now: model::Time) {
        let changes_targets = self.doc.policies != doc.policies || self.doc.drains != doc.drains;
        self.doc = doc;
        if changes_targets {
            self.flows.values_mut().for_each(flow::Flow::allow_reversal);
        }
        let doc = sync::Arc::clone(&self.doc);
        self.flows
            .retain(|(work, home), _| doc.work.contains_key(work) && doc.region_of(home).is_some());
        self.plan_drains(now);
        self.refresh_topology(now);
    }

    /// Replaces the list of live hosts, which includes this one.  For the first list of a starting
    /// host, returns the requests for shares.
    pub fn set_members(
        &mut self,
        members: &[peers::Peer],
        now: model::Time,
    ) -> Vec<message::Action> {
        self.peers.set(members, now);
        self.refresh_topology(now);
        self.share_sync
            .begin(&self.doc, &self.peers, &self.host, &self.data_centre, now)
            .into_iter()
            .map(|to| message::Action::Send {
                to,
                message: message::Message::SharesAsk,
            })
            .collect()
    }

    /// Updates the usable slots, slots in use and waiting requests of the servers that this host
    /// owns.
    pub fn set_own_capacity(&mut self, capacities: &Capacities, now: model::Time) {
        capacities.iter().for_each(|(service, capacity)| {
            self.issued_grants.set_capacity(service, *capacity, now)
        });
    }

    /// Servers and owners, as derived from the document and the live hosts.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Whether requests may be routed.
    pub fn is_ready(&self) -> bool {
        self.share_sync.is_done()
    }

    /// Processes a message from another host; returns the responses to send.
    pub fn on_message(
        &mut self,
        from: &str,
        message: message::Message,
        now: model::Time,
    ) -> Vec<message::Action> {
        let data_centre = self.peers.data_centre_of(from).cloned();
        match message {
            message::Message::Ask(data_centre, requests) => {
                let requests = requests.into_iter();
                requests.for_each(|request| self.on_grant_request(from, &data_centre, request));
            }
            message::Message::Grant(grants) => {
                for grant in grants {
                    if let Some(dc) = &data_centre {
                        self.held_grants.on_grant(dc, from, grant, now);
                    }
                }
            }
            message::Message::Report(mut report) => {
                self.sent_since_report.remove(from);
                if let Some(shares) = report.shares.take() {
                    self.alignment.on_shares(&self.host, from, shares, now);
                }
                self.peers.record_report(from, report, now);
            }
            message::Message::SharesAsk => {
                return vec![message::Action::Send {
                    to: from.to_string(),
                    message: message::Message::Shares(self.shares(now)),
                }];
            }
            message::Message::Shares(flows) => {
                let is_own_data_centre = data_centre.as_ref() == Some(&self.data_centre);
                self.share_sync
                    .on_shares(from, is_own_data_centre, &self.data_centre, flows);
                self.finish_share_sync(now);
            }
        }
        Vec::new()
    }

    /// Shares in force, for a host that copies them; none while this host is starting.
    pub fn shares(&self, now: model::Time) -> Vec<message::FlowShares> {
        let flows = self.flows.iter().filter(|_| self.is_ready());
        flows
            .map(|((work, home), flow)| message::FlowShares {
                work: work.clone(),
                origin: home.clone(),
                shares: flow.shares.clone(),
                moves: flow.move_log.ages(now),
            })
            .collect()
    }

    pub(super) fn finish_share_sync(&mut self, now: model::Time) {
        for received in self.share_sync.finish(now) {
            let key = (received.work.clone(), received.origin.clone());
            let flow = flow::Flow::new(&received.origin, now).with_shares(received, now);
            self.flows.insert(key, flow);
        }
    }

    /// Queues a request for a grant; the response is sent with the next tick.  The message names the
    /// data centre of the requester, which may be too new for the list of hosts.
    pub(super) fn on_grant_request(
        &mut self,
        from: &str,
        data_centre: &str,
        request: capacity::GrantRequest,
    ) {
        let Some(work) = self.doc.work.get(&request.work) else {
            return;
        };
        let Some(region) = self.doc.region_of(data_centre) else {
            return;
        };
        let is_other_region = Some(region) != self.doc.region_of(&self.data_centre);
        let requester = capacity::Requester {
            host: from.to_string(),
            region: is_other_region.then(|| region.clone()),
            service: work.service.clone(),
            rank: work.rank,
        };
        self.issued_grants.enqueue(requester, request);
    }

    /// Bytes per second on the link with each other region: at most so many of requests to this
    /// host, by its grants, and as many of the responses that it sends.
    pub(super) fn link_rate(&self) -> u64 {
        let Some(region) = self.doc.region_of(&self.data_centre) else {
            return 0;
        };
        let owned_slots = self
            .topology
            .owned_by(&self.host)
            .map(|id| self.doc.services[&self.doc.servers[id].service].slots)
            .sum();
        link::owner_link_rate(
            &self.doc.link,
            owned_slots,
            self.topology.region_slots(region),
        )
    }

    /// Why a data centre may not serve a kind of work; none if it may.
    pub(super) fn exclusion_cause(
        &self,
        work: &str,
        data_centre: &str,
        now: model::Time,
    ) -> Option<plan::Cause> {
        let region = self.doc.region_of(data_centre);
        let allowed = region.is_some_and(|region| self.doc.allows_region(work, region));
        let served = self.topology.work_slots(work, data_centre).is_some();
        if !self.peers.has_live_host(data_centre) && data_centre != self.data_centre {
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

    /// Utilization of the servers that a host owns, 1 if all slots are in use.  Includes requests
    /// sent since the last report of the host.
    pub(super) fn utilization(&self, host: &str, service: &str, now: model::Time) -> f64 {
        const DEFAULT_UTILIZATION: f64 = 0.5;
        let capacity = match host == self.host {
            true => self.issued_grants.capacity(service, now),
            false => self.peers.load(host, service, now).map(|l| l.capacity),
        };
        let sent = self.sent_since_report.get(host).copied().unwrap_or(0);
        capacity.map_or(DEFAULT_UTILIZATION, |c| {
            (f64::from(c.in_use) + f64::from(c.queued) + f64::from(sent))
                / f64::from(c.slots).max(0.5)
        })
    }

    fn plan_drains(&mut self, now: model::Time) {
        let doc = sync::Arc::clone(&self.doc);
        let old = std::mem::take(&mut self.drains);
        let planned = |name: &String, drain: &config::Drain| {
            let unchanged = old.get(name).filter(|(d, _)| d == drain);
            unchanged.map_or_else(|| drain::plan(&doc, drain, now), |(_, plan)| *plan)
        };
        self.drains = doc
            .drains
            .iter()
            .map(|(name, drain)| (name.clone(), (drain.clone(), planned(name, drain))))
            .collect();
    }

    /// Recomputes the topology if a drain of a server has begun.
    pub(super) fn update_draining_servers(&mut self, now: model::Time) {
        if self.servers_being_drained(now) != self.draining_servers {
            self.refresh_topology(now);
        }
    }

    fn servers_being_drained(&self, now: model::Time) -> collections::BTreeSet<model::ServerId> {
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
        self.draining_servers = self.servers_being_drained(now);
        self.topology = topology::Topology::new(
            &self.doc,
            &self.data_centre,
            &self.peers,
            &self.draining_servers,
        );
    }
}
