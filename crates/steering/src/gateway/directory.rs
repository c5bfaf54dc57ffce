//! Look-ups: which hosts a caller should use.

use std::{collections, net, time};

use super::members;
use crate::model;

/// Time between two steps of the shares.
const STEP: time::Duration = time::Duration::from_millis(500);

/// Part of the permitted shift that the shares use: callers follow with random delays.
const USED_SHIFT: f64 = 0.5;

/// Window of the permitted shift.
const SHIFT_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Part of a name's demand from which a route's regions bind its look-ups; a few requests that only
/// test a route do not.
const BOUND_SHARE: f64 = 0.02;

/// Golden ratio: its multiples, without their whole parts, are spread evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_8;

/// Who asks.
#[derive(Clone, Debug)]
pub struct Client {
    /// Address.
    pub address: net::IpAddr,
    /// Data centre next to it.
    pub data_centre: model::DataCentreId,
}

/// Room and demand of each data centre for the services of one name.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Slots of usable backend servers.
    pub capacity: collections::BTreeMap<model::DataCentreId, f64>,
    /// Requests a second from the callers of each data centre.
    pub demand: collections::BTreeMap<model::DataCentreId, f64>,
    /// Regions that callers of other regions may be sent to; nothing where they may go anywhere.
    pub bound: Option<collections::BTreeSet<model::RegionId>>,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
}

impl Spread {
    /// Whether callers of a data centre may be sent to another.
    fn allows(&self, from: &str, to: &str) -> bool {
        let (from, to) = (self.regions.get(from), self.regions.get(to));
        let is_bound = |region| self.bound.as_ref().is_none_or(|bound| bound.contains(region));
        from == to || to.is_some_and(is_bound)
    }
}

/// Shares of each data centre in the callers of another.
type Shares = collections::BTreeMap<model::DataCentreId, f64>;

#[derive(Debug)]
struct Name {
    shares: collections::BTreeMap<model::DataCentreId, Shares>,
    stepped: model::Time,
}

/// Divides the callers of each data centre between all of them, by name.
#[derive(Debug)]
pub struct Directory {
    max_shift: f64,
    names: collections::BTreeMap<String, Name>,
}

impl Directory {
    /// A directory that moves at most `max_shift` of a region's callers in two seconds.
    pub fn new(max_shift: f64) -> Directory {
        Directory {
            max_shift,
            names: collections::BTreeMap::new(),
        }
    }

    /// Moves the shares of a name towards those that its room and demand call for.
    pub fn step(&mut self, name: &str, spread: &Spread, now: model::Time) {
        let target = targets(spread);
        let Some(known) = self.names.get_mut(name) else {
            let shares = target;
            self.names.insert(name.to_string(), Name { shares, stepped: now });
            return;
        };
        if now < known.stepped + STEP {
            return;
        }
        let passed = (now - known.stepped).min(SHIFT_WINDOW);
        let most = self.max_shift * USED_SHIFT * passed.div_duration_f64(SHIFT_WINDOW);
        known.stepped = now;
        for (data_centre, wanted) in target {
            match known.shares.get_mut(&data_centre) {
                Some(shares) => approach(shares, &wanted, most),
                None => {
                    known.shares.insert(data_centre, wanted);
                }
            }
        }
    }

    /// Data centre for a caller; callers are spread evenly and keep their place.
    pub fn choose(&self, name: &str, client: &Client) -> model::DataCentreId {
        let own = client.data_centre.clone();
        let Some(shares) = self.names.get(name).and_then(|name| name.shares.get(&own)) else {
            return own;
        };
        let mut place = place_of(client.address);
        let first = shares.get(&own).map(|share| (&own, *share));
        let rest = shares.iter().filter(|(data_centre, _)| **data_centre != own);
        for (data_centre, share) in first.into_iter().chain(rest.map(|(d, s)| (d, *s))) {
            if place < share {
                return data_centre.clone();
            }
            place -= share;
        }
        own
    }

    /// Shares of a name's callers of a data centre.
    pub fn shares(&self, name: &str, data_centre: &str) -> Option<&Shares> {
        self.names.get(name)?.shares.get(data_centre)
    }
}

/// Position of a caller between 0 and 1; neighbouring addresses lie far apart.
fn place_of(address: net::IpAddr) -> f64 {
    let number = match address {
        net::IpAddr::V4(address) => f64::from(u32::from(address)),
        net::IpAddr::V6(address) => (u128::from(address) % (1 << 52)) as f64,
    };
    (number * GOLDEN).fract()
}

/// Shares that load all data centres alike: each serves its own callers first, up to its part of
/// the whole demand, and what exceeds it goes to those with room.
fn targets(spread: &Spread) -> collections::BTreeMap<model::DataCentreId, Shares> {
    let total_capacity: f64 = spread.capacity.values().sum();
    let total_demand: f64 = spread.demand.values().sum();
    let fair = |data_centre: &str| {
        let capacity = spread.capacity.get(data_centre).copied().unwrap_or(0.0);
        total_demand * capacity / total_capacity
    };
    if total_capacity <= 0.0 || total_demand <= 0.0 {
        return spread
            .demand
            .keys()
            .map(|own| (own.clone(), [(own.clone(), 1.0)].into()))
            .collect();
    }
    let demand = |data_centre: &str| spread.demand.get(data_centre).copied().unwrap_or(0.0);
    let room: Shares = spread
        .capacity
        .keys()
        .map(|data_centre| (data_centre.clone(), fair(data_centre) - demand(data_centre)))
        .filter(|(_, room)| *room > 0.0)
        .collect();
    spread
        .demand
        .iter()
        .map(|(own, demand)| {
            let kept = (fair(own) / demand.max(f64::MIN_POSITIVE)).min(1.0);
            let open = room.iter().filter(|(to, _)| spread.allows(own, to));
            let total_room: f64 = open.clone().map(|(_, room)| room).sum();
            if total_room <= 0.0 {
                return (own.clone(), [(own.clone(), 1.0)].into());
            }
            let mut shares: Shares = [(own.clone(), kept)].into();
            for (data_centre, room) in open {
                *shares.entry(data_centre.clone()).or_default() +=
                    (1.0 - kept) * room / total_room;
            }
            (own.clone(), shares)
        })
        .collect()
}

/// Moves shares towards others by at most `most` in all.
fn approach(shares: &mut Shares, wanted: &Shares, most: f64) {
    let names: collections::BTreeSet<&model::DataCentreId> =
        shares.keys().chain(wanted.keys()).collect();
    let names: Vec<model::DataCentreId> = names.into_iter().cloned().collect();
    let value = |shares: &Shares, name: &str| shares.get(name).copied().unwrap_or(0.0);
    let moved: f64 = names
        .iter()
        .map(|name| (value(wanted, name) - value(shares, name)).max(0.0))
        .sum();
    let part = if moved > most { most / moved } else { 1.0 };
    for name in names {
        let current = value(shares, &name);
        let next = current + part * (value(wanted, &name) - current);
        shares.insert(name, next);
    }
}

/// Demand summed over reports.
pub fn demand_of(loads: &[&members::Load]) -> collections::BTreeMap<model::DataCentreId, f64> {
    let mut demand = collections::BTreeMap::new();
    for load in loads {
        *demand.entry(load.data_centre.clone()).or_default() += load.rate;
    }
    demand
}

/// Regions that may serve each route with a noticeable part of the demand.
pub fn bound_regions(loads: &[&members::Load]) -> Option<collections::BTreeSet<model::RegionId>> {
    let total: f64 = loads.iter().map(|load| load.rate).sum();
    let mut rates: collections::BTreeMap<&[model::RegionId], f64> = collections::BTreeMap::new();
    for load in loads.iter().filter(|load| !load.regions.is_empty()) {
        *rates.entry(&load.regions).or_default() += load.rate;
    }
    rates
        .into_iter()
        .filter(|(_, rate)| *rate > BOUND_SHARE * total)
        .map(|(regions, _)| regions.iter().cloned().collect())
        .reduce(|a: collections::BTreeSet<model::RegionId>, b| a.intersection(&b).cloned().collect())
}
