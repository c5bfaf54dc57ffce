//! Look-ups: which hosts a caller should use.

use std::{collections, net, time};

use super::{members, targets};
use crate::model;

/// Part of the permitted shift that the shares use: callers follow with random delays.
const USED_SHIFT: f64 = 0.5;

/// Window of the permitted shift.
const SHIFT_WINDOW: time::Duration = time::Duration::from_secs(2);

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
    /// Slots of each service's usable backend servers, by data centre.
    pub capacity:
        collections::BTreeMap<model::ServiceId, collections::BTreeMap<model::DataCentreId, f64>>,
    /// Demand, as the hosts report it.
    pub loads: Vec<members::Load>,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
}

/// Shares of each data centre in the callers of a region.
pub(super) type Shares = collections::BTreeMap<model::DataCentreId, f64>;

#[derive(Debug)]
struct Name {
    shares: collections::BTreeMap<model::RegionId, Shares>,
    regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    stepped: model::Time,
    has_traffic: bool,
}

/// Divides the callers of each region between data centres, by name.
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

    /// Takes a changed bound on moves.
    pub fn set_max_shift(&mut self, max_shift: f64) {
        self.max_shift = max_shift;
    }

    /// Moves the shares of a name towards those that its room and demand call for.
    pub fn step(&mut self, name: &str, spread: &Spread, now: model::Time) {
        let current = self.names.get(name).map(|known| &known.shares);
        let Some(wanted) = targets::targets(spread, current) else {
            return;
        };
        let known = self.names.entry(name.to_string()).or_insert_with(|| Name {
            shares: wanted.clone(),
            regions: spread.regions.clone(),
            stepped: now,
            has_traffic: false,
        });
        let passed = (now - known.stepped).min(SHIFT_WINDOW);
        known.stepped = now;
        // Without traffic nothing moves with the shares.
        let most = match spread.loads.is_empty() && !known.has_traffic {
            true => 1.0,
            false => self.max_shift * USED_SHIFT * passed.div_duration_f64(SHIFT_WINDOW),
        };
        known.has_traffic |= !spread.loads.is_empty();
        for (region, wanted) in wanted {
            match known.shares.get_mut(&region) {
                Some(shares) => approach(shares, &wanted, &spread.regions, most),
                None => {
                    known.shares.insert(region, wanted);
                }
            }
        }
    }

    /// Data centres for a caller, the best one first; callers are spread evenly and keep their
    /// place.
    pub fn choose(&self, name: &str, client: &Client) -> Vec<model::DataCentreId> {
        let own = &client.data_centre;
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
