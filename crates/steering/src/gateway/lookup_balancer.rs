//! Look-ups: which hosts a caller should use.

use std::{collections, net, time};

use super::{members, target_shares};
use crate::model;

/// Part of the permitted shift that the shares use: callers follow with random delays.
const USED_SHIFT: f64 = 0.5;

/// Window of the permitted shift.
const SHIFT_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Time with traffic after which shares have settled: the bound on moves lets three quarters of a
/// region's callers move in it.
const SETTLED: time::Duration = time::Duration::from_secs(10);

/// Demand relative to the capacity from which there is traffic, and not only tests of routes.
const TRAFFIC: f64 = 0.02;

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
pub struct CapacityAndDemand {
    /// Slots of each service's usable backend servers, by data centre.
    pub capacity:
        collections::BTreeMap<model::ServiceId, collections::BTreeMap<model::DataCentreId, f64>>,
    /// Demand, as the hosts report it.
    pub loads: Vec<members::Load>,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
}

impl CapacityAndDemand {
    /// Whether the demand is more than tests of routes.
    pub(super) fn has_traffic(&self) -> bool {
        let demand: f64 = self.loads.iter().map(|load| load.slots).sum();
        let capacity: f64 = self
            .capacity
            .values()
            .flat_map(|slots| slots.values())
            .sum();
        demand > TRAFFIC * capacity
    }
}

/// Shares of each data centre in the callers of a region.
pub(super) type Shares = collections::BTreeMap<model::DataCentreId, f64>;

#[derive(Debug)]
struct Name {
    shares: collections::BTreeMap<model::RegionId, Shares>,
    regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    stepped: model::Time,
    /// Whether callers have been told of the shares.
    is_asked: bool,
    /// Since when there is traffic.
    traffic_since: Option<model::Time>,
}

/// Divides the callers of each region between data centres, by name.
#[derive(Debug)]
pub struct LookupBalancer {
    max_shift: f64,
    names: collections::BTreeMap<String, Name>,
}

impl LookupBalancer {
    /// A directory that moves at most `max_shift` of a region's callers in two seconds.
    pub fn new(max_shift: f64) -> LookupBalancer {
        LookupBalancer {
            max_shift,
            names: collections::BTreeMap::new(),
        }
    }

    /// Takes a changed bound on moves.
    pub fn set_max_shift(&mut self, max_shift: f64) {
        self.max_shift = max_shift;
    }

    /// Moves the shares of a name towards those that its room and demand call for.
    pub fn update_shares(&mut self, name: &str, spread: &CapacityAndDemand, now: model::Time) {
        // Before there is traffic nothing is worth keeping: all hosts come to the same shares.
        let known = self.names.get(name);
        let current = known
            .filter(|known| known.traffic_since.is_some() || known.is_asked)
            .map(|known| &known.shares);
        let Some(wanted) = target_shares::targets(spread, current) else {
            return;
        };
        let known = self.names.entry(name.to_string()).or_insert_with(|| Name {
            shares: wanted.clone(),
            regions: spread.regions.clone(),
            stepped: now,
            is_asked: false,
            traffic_since: None,
        });
        let passed = (now - known.stepped).min(SHIFT_WINDOW);
        known.stepped = now;
        if known.traffic_since.is_none() && spread.has_traffic() {
            known.traffic_since = Some(now);
        }
        // Before callers are told of the shares nothing moves with them.
        let most = match known.traffic_since.is_some() || known.is_asked {
            false => 1.0,
            true => self.max_shift * USED_SHIFT * passed.div_duration_f64(SHIFT_WINDOW),
        };
        for (region, wanted) in wanted {
            match known.shares.get_mut(&region) {
                Some(shares) => approach(shares, &wanted, &spread.regions, most),
                None => {
                    known.shares.insert(region, wanted);
                }
            }
        }
    }

    /// Takes the shares that another host uses, where this one has seen no traffic yet: callers
    /// must not be moved because a host started.
    pub fn adopt_shares(
        &mut self,
        told: &[members::LookupShares],
        regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
        now: model::Time,
    ) {
        let is_new = |names: &collections::BTreeMap<String, Name>, name: &str| {
            names
                .get(name)
                .is_none_or(|known| known.traffic_since.is_none())
        };
        let told: Vec<&members::LookupShares> = told
            .iter()
            .filter(|told| is_new(&self.names, &told.name))
            .collect();
        for told in told {
            let known = self.names.entry(told.name.clone()).or_insert_with(|| Name {
                shares: collections::BTreeMap::new(),
                regions: regions.clone(),
                stepped: now,
                is_asked: false,
                traffic_since: None,
            });
            known.traffic_since = Some(now);
            let total: f64 = told.shares.iter().map(|(_, share)| f64::from(*share)).sum();
            let shares = told
                .shares
                .iter()
                .map(|(data_centre, share)| (data_centre.clone(), f64::from(*share) / total));
            known.shares.insert(told.region.clone(), shares.collect());
        }
    }

    /// The shares in use, for other hosts; none until they have settled.
    pub fn settled_shares(&self, now: model::Time) -> Vec<members::LookupShares> {
        let has_settled = |known: &Name| known.traffic_since.is_some_and(|at| now > at + SETTLED);
        self.names
            .iter()
            .filter(|(_, known)| has_settled(known))
            .flat_map(|(name, known)| known.shares.iter().map(move |(r, s)| (name, r, s)))
            .map(|(name, region, shares)| members::LookupShares {
                name: name.clone(),
                region: region.clone(),
                shares: thousandths(shares),
            })
            .filter(|told| !told.shares.is_empty())
            .collect()
    }

    /// Data centres for a caller, the best one first; callers are spread evenly and keep their
    /// place.
    pub fn rank_data_centres(&mut self, name: &str, client: &Client) -> Vec<model::DataCentreId> {
        let own = &client.data_centre;
        if let Some(known) = self.names.get_mut(name) {
            known.is_asked = true;
        }
        let shares = self
            .names
            .get(name)
            .and_then(|name| name.shares.get(name.regions.get(own)?));
        let Some(shares) = shares else {
            return vec![own.clone()];
        };
        let mut place = place_of(client.address);
        let mut ranked: Vec<(&model::DataCentreId, f64)> = shares
            .iter()
            .filter(|(_, share)| **share > 0.0)
            .map(|(data_centre, share)| (data_centre, *share))
            .collect();
        let chosen = ranked.iter().position(|(_, share)| {
            place -= share;
            place < 0.0
        });
        let chosen = ranked
            .get(chosen.unwrap_or(0))
            .map(|(data_centre, _)| (*data_centre).clone());
        ranked.sort_by(|a, b| b.1.total_cmp(&a.1));
        chosen
            .into_iter()
            .chain(
                ranked
                    .into_iter()
                    .map(|(data_centre, _)| data_centre.clone()),
            )
            .chain([own.clone()])
            .collect()
    }

    /// Shares of a name's callers of a region.
    pub fn shares(
        &self,
        name: &str,
        region: &str,
    ) -> Option<&collections::BTreeMap<model::DataCentreId, f64>> {
        self.names.get(name)?.shares.get(region)
    }
}

/// Shares in thousandths, without those that round to none.
fn thousandths(shares: &Shares) -> Vec<(model::DataCentreId, u16)> {
    shares
        .iter()
        .map(|(data_centre, share)| (data_centre.clone(), (share * 1000.0).round() as u16))
        .filter(|(_, share)| *share > 0)
        .collect()
}

/// Position of a caller between 0 and 1; neighbouring addresses lie far apart.
fn place_of(address: net::IpAddr) -> f64 {
    let number = match address {
        net::IpAddr::V4(address) => f64::from(u32::from(address)),
        net::IpAddr::V6(address) => (u128::from(address) % (1 << 52)) as f64,
    };
    (number * GOLDEN).fract()
}

/// Moves shares towards others: by at most `most` between regions, and at once within them.
fn approach(
    shares: &mut Shares,
    wanted: &Shares,
    regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
    most: f64,
) {
    let (current, target) = (by_region(shares, regions), by_region(wanted, regions));
    let moved: f64 = target
        .iter()
        .map(|(region, share)| (share - current.get(region).copied().unwrap_or(0.0)).max(0.0))
        .sum();
    let part = if moved > most { most / moved } else { 1.0 };
    let mut next = Shares::new();
    let all: collections::BTreeSet<&String> = current.keys().chain(target.keys()).collect();
    for region in all {
        let has = current.get(region).copied().unwrap_or(0.0);
        let wants = target.get(region).copied().unwrap_or(0.0);
        let total = has + part * (wants - has);
        // Within the region the wanted division holds; where nothing is wanted, the present one.
        let (division, sum) = match wants > 0.0 {
            true => (wanted, wants),
            false => (&*shares, has),
        };
        for (data_centre, share) in division {
            if regions.get(data_centre) == Some(region) && sum > 0.0 {
                next.insert(data_centre.clone(), total * share / sum);
            }
        }
    }
    *shares = next;
}

fn by_region(
    shares: &Shares,
    regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
) -> collections::BTreeMap<model::RegionId, f64> {
    let mut sums = collections::BTreeMap::new();
    for (data_centre, share) in shares {
        if let Some(region) = regions.get(data_centre) {
            *sums.entry(region.clone()).or_insert(0.0) += share;
        }
    }
    sums
}
