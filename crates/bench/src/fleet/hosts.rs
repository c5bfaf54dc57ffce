//! The entry hosts with their pools, and the choice of the owning host.

use std::{collections, sync};

use rand::Rng;
use yuccatide_steering::{config, model, pool, routing};

/// Entry hosts of all data centres.
pub struct Hosts {
    /// Pools in the order of the hosts' names.
    pub pools: Vec<pool::Pool>,
    /// Data centre of each host.
    pub data_centres: Vec<model::DataCentreId>,
    /// Host that owns each backend server.
    pub owners: collections::BTreeMap<model::ServerId, usize>,
    free: collections::BTreeMap<model::ServiceId, Vec<f64>>,
    usable: collections::BTreeMap<model::ServiceId, Vec<f64>>,
}

/// Free part of a data centre's slots below which others of its region are used too.
const SPILL_BELOW: f64 = 0.3;

impl Hosts {
    /// Nine hosts: two in each of the first three data centres, one in each other.
    pub fn new(doc: &config::Document, seed: u64, now: model::Time) -> Hosts {
        let shared = sync::Arc::new(doc.clone());
        let mut hosts = Hosts {
            pools: Vec::new(),
            data_centres: Vec::new(),
            owners: collections::BTreeMap::new(),
            free: collections::BTreeMap::new(),
            usable: collections::BTreeMap::new(),
        };
        for (i, dc) in doc.data_centres().enumerate() {
            let names = (0..if i < 3 { 2 } else { 1 }).map(|n| format!("{dc}-{n}"));
            let names = names.collect::<collections::BTreeSet<_>>();
            let owners = routing::ownership(doc, dc, &names);
            for name in &names {
                let host = hosts.pools.len();
                let owned = owners.iter().filter(|(_, owner)| *owner == name);
                let owned = owned.map(|(server, _)| server.clone());
                let owned = owned.collect::<collections::BTreeSet<_>>();
                hosts.owners.extend(owned.iter().map(|s| (s.clone(), host)));
                let seed = seed.wrapping_add(host as u64);
                let mut pool = pool::Pool::new(shared.clone(), name.clone(), seed, now);
                pool.set_owned_servers(owned, now);
                hosts.pools.push(pool);
                hosts.data_centres.push(dc.clone());
            }
        }
        hosts
    }

    /// Takes note of the free slots of each host, as hosts tell each other now and then.
    pub fn observe(&mut self, doc: &config::Document) {
        for service in doc.services.keys() {
            let capacities = self.pools.iter().map(|pool| pool.capacity(service));
            let capacities = capacities.collect::<Vec<_>>();
            let usable = capacities.iter().map(|c| c.usable_slots).collect();
            let free = capacities.iter().map(|c| {
                let used = f64::from(c.in_use + c.queued.values().sum::<u32>());
                (c.usable_slots - used).max(c.usable_slots * 0.1)
            });
            self.free.insert(service.clone(), free.collect());
            self.usable.insert(service.clone(), usable);
        }
    }

    /// Picks the owning host for a request: in the data centre of the caller, or in its region
    /// where the data centre has few free slots.
    pub fn choose(
        &self,
        doc: &config::Document,
        service: &str,
        origin: &str,
        rng: &mut impl Rng,
    ) -> usize {
        let free = &self.free[service];
        let local = self.of(free, |dc| dc == origin);
        let usable = self.of(&self.usable[service], |dc| dc == origin);
        if local.iter().sum::<f64>() >= SPILL_BELOW * usable.iter().sum::<f64>() {
            return pick(&local, rng);
        }
        let region = doc.region_of(origin);
        pick(&self.of(free, |dc| doc.region_of(dc) == region), rng)
    }

    /// The values of the hosts in some data centres, 0 for others.
    fn of(&self, values: &[f64], near: impl Fn(&str) -> bool) -> Vec<f64> {
        let hosts = self.data_centres.iter().zip(values);
        hosts
            .map(|(dc, value)| if near(dc) { *value } else { 0.0 })
            .collect()
    }
}

fn pick(weights: &[f64], rng: &mut impl Rng) -> usize {
    let mut left = rng.random_range(0.0..1.0) * weights.iter().sum::<f64>();
    let heaviest = || {
        let by_weight = |a: &usize, b: &usize| weights[*a].total_cmp(&weights[*b]);
        (0..weights.len()).max_by(by_weight).unwrap_or(0)
    };
    weights
        .iter()
        .position(|weight| {
            left -= weight;
            left < 0.0
        })
        .unwrap_or_else(heaviest)
}
