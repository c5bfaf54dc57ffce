//! Look-ups: distribution of callers over data centres.

use std::{collections, net, time};

use super::{messages, target_shares};
use crate::model;

/// Share of `max_shift` that is used; the rest covers callers that follow earlier changes with
/// random delays.
const USED_SHIFT_SHARE: f64 = 0.5;

/// Time window that `max_shift` refers to.
const SHIFT_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Time in use after which shares have settled and are sent to other hosts.  In this time at most
/// `max_shift` * `SETTLING_TIME` / `SHIFT_WINDOW` of a region's callers may move to other regions:
/// three quarters with a `max_shift` of 0.15.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(10);

/// Ratio of demand to capacity above which there is traffic; below it there are only tests of
/// routes.
const MIN_TRAFFIC_UTILIZATION: f64 = 0.02;

/// Fractional part of the golden ratio: the fractional parts of its multiples are distributed
/// evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_8;

/// A client that looks up a name.
#[derive(Clone, Debug)]
pub struct Client {
    /// IP address.
    pub address: net::IpAddr,
    /// Data centre nearest to it.
    pub data_centre: model::DataCentreId,
}

/// Capacity and demand of each data centre for the services of one name.
#[derive(Clone, Debug, Default)]
pub struct CapacityAndDemand {
    /// Total slots of the usable backend servers of each service, by data centre.
    pub capacity:
        collections::BTreeMap<model::ServiceId, collections::BTreeMap<model::DataCentreId, f64>>,
    /// Demand reported by the hosts.
    pub loads: Vec<messages::Load>,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
}

impl CapacityAndDemand {
    /// Whether the demand exceeds that of mere tests of routes.
    pub(super) fn has_traffic(&self) -> bool {
        let demand: f64 = self.loads.iter().map(|load| load.slots).sum();
        let capacity: f64 = self
            .capacity
            .values()
            .flat_map(|slots| slots.values())
            .sum();
        demand > MIN_TRAFFIC_UTILIZATION * capacity
    }
}

/// Share of the callers of a region that each data centre gets.
pub(super) type Shares = collections::BTreeMap<model::DataCentreId, f64>;

#[derive(Debug)]
struct NameState {
    shares: collections::BTreeMap<model::RegionId, Shares>,
    regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    last_update: model::Time,
    /// Whether a look-up has returned the shares.
    was_looked_up: bool,
    /// Time since which the shares are in use: since the first traffic at this host, or since shares
    /// of another host were adopted.
    in_use_since: Option<model::Time>,
}

/// Divides the callers of each region between data centres, by name.
#[derive(Debug)]
pub struct LookupBalancer {
    max_shift: f64,
    names: collections::BTreeMap<String, NameState>,
}

impl LookupBalancer {
    /// Creates a balancer that moves at most `max_shift` of a region's callers to other regions
    /// within two seconds.
    pub fn new(max_shift: f64) -> LookupBalancer {
        LookupBalancer {
            max_shift,
            names: collections::BTreeMap::new(),
        }
    }

    /// Changes `max_shift`.
    pub fn set_max_shift(&mut self, max_shift: f64) {
        self.max_shift = max_shift;
    }

    /// Moves the shares of a name towards the target shares for its capacity and demand.
    pub fn update_shares(&mut self, name: &str, input: &CapacityAndDemand, now: model::Time) {
        // Before there is traffic the current shares are ignored, so that all hosts compute the
        // same ones.
        let state = self.names.get(name);
        let current = state
            .filter(|state| state.in_use_since.is_some() || state.was_looked_up)
            .map(|state| &state.shares);
        let Some(target) = target_shares::target_shares(input, current) else {
            return;
        };
        let state = self
            .names
            .entry(name.to_string())
            .or_insert_with(|| NameState {
                shares: target.clone(),
                regions: input.regions.clone(),
                last_update: now,
                was_looked_up: false,
                in_use_since: None,
            });
        let elapsed = now.saturating_sub(state.last_update).min(SHIFT_WINDOW);
        state.last_update = now;
        if state.in_use_since.is_none() && input.has_traffic() {
            state.in_use_since = Some(now);
        }
        // As long as no look-up has returned the shares and there is no traffic, changing them
        // moves no callers.
        let max_shift = match state.in_use_since.is_some() || state.was_looked_up {
            false => 1.0,
            true => self.max_shift * USED_SHIFT_SHARE * elapsed.div_duration_f64(SHIFT_WINDOW),
        };
        for (region, target) in target {
            match state.shares.get_mut(&region) {
                Some(shares) => move_shares(shares, &target, &input.regions, max_shift),
                None => {
                    state.shares.insert(region, target);
                }
            }
        }
    }

    /// Adopts the shares of another host for names whose shares are not in use at this host yet, so
    /// that the start of a host moves no callers.
    pub fn adopt_shares(
        &mut self,
        received: &[messages::LookupShares],
        regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
        now: model::Time,
    ) {
        let is_not_in_use = |names: &collections::BTreeMap<String, NameState>, name: &str| {
            names
                .get(name)
                .is_none_or(|state| state.in_use_since.is_none())
        };
        let adopted: Vec<&messages::LookupShares> = received
            .iter()
            .filter(|entry| is_not_in_use(&self.names, &entry.name))
            .collect();
        for entry in adopted {
            let state = self
                .names
                .entry(entry.name.clone())
                .or_insert_with(|| NameState {
                    shares: collections::BTreeMap::new(),
                    regions: regions.clone(),
                    last_update: now,
                    was_looked_up: false,
                    in_use_since: None,
                });
            state.in_use_since = Some(now);
            let total: f64 = entry
                .shares
                .iter()
                .map(|(_, share)| f64::from(*share))
                .sum();
            let shares = entry
                .shares
                .iter()
                .map(|(data_centre, share)| (data_centre.clone(), f64::from(*share) / total));
            state.shares.insert(entry.region.clone(), shares.collect());
        }
    }

    /// Shares of all names that have settled, to be sent to other hosts.
    pub fn settled_shares(&self, now: model::Time) -> Vec<messages::LookupShares> {
        let has_settled = |state: &NameState| {
            state
                .in_use_since
                .is_some_and(|at| now > at + SETTLING_TIME)
        };
        self.names
            .iter()
            .filter(|(_, state)| has_settled(state))
            .flat_map(|(name, state)| state.shares.iter().map(move |(r, s)| (name, r, s)))
            .map(|(name, region, shares)| messages::LookupShares {
                name: name.clone(),
                region: region.clone(),
                shares: to_thousandths(shares),
            })
            .filter(|entry| !entry.shares.is_empty())
            .collect()
    }

    /// Ranks the data centres for a caller: first the one that its address is assigned to, then all
    /// with a share by decreasing share, then the nearest one.  A data centre may occur more than
    /// once.  Callers are distributed evenly by their address, so that a caller keeps its data
    /// centre while the shares stay the same.
    pub fn rank_data_centres(&mut self, name: &str, client: &Client) -> Vec<model::DataCentreId> {
        let own = &client.data_centre;
        if let Some(state) = self.names.get_mut(name) {
            state.was_looked_up = true;
        }
        let shares = self
            .names
            .get(name)
            .and_then(|name| name.shares.get(name.regions.get(own)?));
        let Some(shares) = shares else {
            return vec![own.clone()];
        };
        let mut position = position_of(client.address);
        let mut ranked: Vec<(&model::DataCentreId, f64)> = shares
            .iter()
            .filter(|(_, share)| **share > 0.0)
            .map(|(data_centre, share)| (data_centre, *share))
            .collect();
        let chosen = ranked.iter().position(|(_, share)| {
            position -= share;
            position < 0.0
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

    /// Current shares of a name for the callers of a region.
    pub fn shares(
        &self,
        name: &str,
        region: &str,
    ) -> Option<&collections::BTreeMap<model::DataCentreId, f64>> {
        self.names.get(name)?.shares.get(region)
    }
}

/// Converts shares to thousandths and drops those that round to zero.
fn to_thousandths(shares: &Shares) -> Vec<(model::DataCentreId, u16)> {
    shares
        .iter()
        .map(|(data_centre, share)| (data_centre.clone(), (share * 1000.0).round() as u16))
        .filter(|(_, share)| *share > 0)
        .collect()
}

/// Maps an address to a position between 0 and 1; adjacent addresses get distant positions.
fn position_of(address: net::IpAddr) -> f64 {
    let number = match address {
        net::IpAddr::V4(address) => f64::from(u32::from(address)),
        net::IpAddr::V6(address) => (u128::from(address) % (1 << 52)) as f64,
    };
    (number * GOLDEN_RATIO_FRACTION).fract()
}

/// Moves shares towards the target: by at most `max_shift` between regions, and at once within a
/// region.
fn move_shares(
    shares: &mut Shares,
    target: &Shares,
    regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
    max_shift: f64,
) {
    let (current_by_region, target_by_region) =
        (by_region(shares, regions), by_region(target, regions));
    let moved: f64 = target_by_region
        .iter()
        .map(|(region, share)| {
            (share - current_by_region.get(region).copied().unwrap_or(0.0)).max(0.0)
        })
        .sum();
    let fraction = if moved > max_shift {
        max_shift / moved
    } else {
        1.0
    };
    let mut next = Shares::new();
    let all: collections::BTreeSet<&String> = current_by_region
        .keys()
        .chain(target_by_region.keys())
        .collect();
    for region in all {
        let current_share = current_by_region.get(region).copied().unwrap_or(0.0);
        let target_share = target_by_region.get(region).copied().unwrap_or(0.0);
        let total = current_share + fraction * (target_share - current_share);
        // A region's share is divided between its data centres as in the target, or as now if the
        // target has nothing for the region.
        let (distribution, sum) = match target_share > 0.0 {
            true => (target, target_share),
            false => (&*shares, current_share),
        };
        for (data_centre, share) in distribution {
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
