//! Servers, owners and latencies derived from the document and the live hosts; computed once per
//! change.

use std::{collections, sync};

use super::peers;
use crate::{config, model, routing};

/// Slots of a kind of work at one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkSlots {
    /// Configured slots of all servers that the policy allows, except those whose drain has begun.
    pub slots: u32,
    /// Owning hosts with their slots.
    pub owners: Vec<(model::HostId, u32)>,
}

/// Servers and owners of each kind of work, seen from one data centre.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    owners: collections::BTreeMap<model::ServerId, model::HostId>,
    work_slots: collections::BTreeMap<(model::WorkId, model::DataCentreId), WorkSlots>,
    /// Data centres by latency from this one, grouped by equal latency.
    latency_groups: Vec<Vec<model::DataCentreId>>,
    region_slots: collections::BTreeMap<model::RegionId, u32>,
}

impl Topology {
    /// Computes the topology.  Servers in `draining`, whose drain has begun, do not count.
    pub fn new(
        doc: &sync::Arc<config::Document>,
        data_centre: &str,
        peers: &peers::Peers,
        draining: &collections::BTreeSet<model::ServerId>,
    ) -> Topology {
        let owners = owners(doc, peers);
        let mut work_slots = collections::BTreeMap::<_, WorkSlots>::new();
        for (work_id, work) in &doc.work {
            let slots = doc.services[&work.service].slots;
            let running = |(id, _): &(&model::ServerId, _)| !draining.contains(*id);
            for (id, server) in allowed_servers(doc, work_id, work).filter(running) {
                let key = (work_id.clone(), server.data_centre.clone());
                let entry = work_slots.entry(key).or_default();
                entry.slots += slots;
                if let Some(host) = owners.get(id) {
                    add_slots(&mut entry.owners, host, slots);
                }
            }
        }
        Topology {
            owners,
            work_slots,
            latency_groups: latency_groups(doc, data_centre),
            region_slots: region_slots(doc),
        }
    }

    /// Backend servers that a host owns.
    pub fn owned_by(&self, host: &str) -> impl Iterator<Item = &model::ServerId> {
        let owned = self.owners.iter().filter(move |(_, owner)| *owner == host);
        owned.map(|(server, _)| server)
    }

    /// Host that owns a backend server, if its data centre has a live host.
    pub fn owner_of(&self, server: &str) -> Option<&model::HostId> {
        self.owners.get(server)
    }

    /// Slots and owners of a kind of work at a data centre, if it has servers for the work.
    pub fn work_slots(&self, work: &str, data_centre: &str) -> Option<&WorkSlots> {
        self.work_slots
            .get(&(work.to_string(), data_centre.to_string()))
    }

    /// Data centres grouped by latency, the nearest group first.
    pub fn latency_groups(&self) -> &[Vec<model::DataCentreId>] {
        &self.latency_groups
    }

    /// Slots of all servers of a region.
    pub fn region_slots(&self, region: &str) -> u32 {
        self.region_slots.get(region).copied().unwrap_or(0)
    }
}

fn owners(
    doc: &config::Document,
    peers: &peers::Peers,
) -> collections::BTreeMap<model::ServerId, model::HostId> {
    doc.data_centres()
        .flat_map(|dc| {
            let hosts = peers.hosts_of(dc).into_iter().cloned().collect();
            routing::ownership(doc, dc, &hosts)
        })
        .collect()
}

fn allowed_servers<'a>(
    doc: &'a config::Document,
    work_id: &str,
    work: &'a config::Work,
) -> impl Iterator<Item = (&'a model::ServerId, &'a config::Server)> {
    let excluded = doc
        .policy_of(work_id)
        .map_or(&[][..], |(_, policy)| &policy.excluded_servers);
    doc.servers
        .iter()
        .filter(move |(id, s)| s.service == work.service && !excluded.contains(id))
}

fn add_slots(owners: &mut Vec<(model::HostId, u32)>, host: &str, slots: u32) {
    match owners.iter_mut().find(|(h, _)| h == host) {
        Some((_, sum)) => *sum += slots,
        None => owners.push((host.to_string(), slots)),
    }
}

fn latency_groups(doc: &config::Document, data_centre: &str) -> Vec<Vec<model::DataCentreId>> {
    let mut by_latency = collections::BTreeMap::<_, Vec<_>>::new();
    for dc in doc.data_centres() {
        let latency = doc.latency_between(data_centre, dc);
        by_latency.entry(latency).or_default().push(dc.clone());
    }
    by_latency.into_values().collect()
}

fn region_slots(doc: &config::Document) -> collections::BTreeMap<model::RegionId, u32> {
    let mut slots = collections::BTreeMap::new();
    for server in doc.servers.values() {
        if let Some(region) = doc.region_of(&server.data_centre) {
            *slots.entry(region.clone()).or_default() += doc.services[&server.service].slots;
        }
    }
    slots
}
