//! Target shares of data centres, computed from capacity and demand.
//!
//! The callers of a region request the same objects, and each data centre that serves them has to
//! load these objects into its caches first.  The callers of a region therefore go to as few data
//! centres as possible: data centres of the own region before those of other regions, and among
//! them first those that already serve the callers, then those with more free capacity.

use std::collections;

use super::{lookup_balancer, members};
use crate::model;

/// Utilization up to which a data centre is filled; above it queueing becomes noticeable.
const MAX_UTILIZATION: f64 = 0.7;

/// Factor on the measured demand, which assumes that all objects are cached: requests for objects
/// that are not cached occupy their slots longer.
const UNCACHED_REQUEST_FACTOR: f64 = 1.4;

/// Utilization assumed before the first measurement.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// Smallest share of a region's callers that a data centre gets while others have free capacity;
/// smaller ones do not justify loading the objects into its caches.
const MIN_SHARE: f64 = 0.25;

/// Part of a name's demand that a route must exceed for its allowed regions to restrict the look-ups
/// of the name; a few requests that only test the route do not.
const MIN_RESTRICTED_SHARE: f64 = 0.02;

/// Number of slots of each service.
type SlotsByService = collections::BTreeMap<model::ServiceId, f64>;

/// Free slots of each service in each data centre.
type FreeSlots = collections::BTreeMap<model::DataCentreId, SlotsByService>;

/// Computes the shares for the callers of each region; `None` without any usable backend server.
pub(super) fn target_shares(
    input: &lookup_balancer::CapacityAndDemand,
    current: Option<&collections::BTreeMap<model::RegionId, lookup_balancer::Shares>>,
) -> Option<collections::BTreeMap<model::RegionId, lookup_balancer::Shares>> {
    let region_demand = region_demand(input)?;
    let allowed_regions = common_allowed_regions(input);
    let mut free_slots = free_slots(input);
    let mut shares: collections::BTreeMap<model::RegionId, lookup_balancer::Shares> = region_demand
        .keys()
        .map(|region| (region.clone(), lookup_balancer::Shares::new()))
        .collect();
    // Regions serve their own callers first; the excess goes to other regions.
    for min_share in [MIN_SHARE, 0.0] {
        for is_own in [true, false] {
            for (region, demand) in &region_demand {
                let assigned = shares.entry(region.clone()).or_default();
                let fill_order = fill_order(
                    input,
                    region,
                    is_own,
                    current.and_then(|c| c.get(region)),
                    &free_slots,
                    &allowed_regions,
                );
                fill(assigned, demand, &fill_order, &mut free_slots, min_share);
            }
        }
    }
    for (region, assigned) in &mut shares {
        distribute_excess(input, region, assigned, &allowed_regions);
    }
    Some(shares)
}

/// Slots that the callers of each region need; `None` without any capacity.
fn region_demand(
    input: &lookup_balancer::CapacityAndDemand,
) -> Option<collections::BTreeMap<model::RegionId, SlotsByService>> {
    let regions: collections::BTreeSet<&model::RegionId> = input.regions.values().collect();
    let total: f64 = input
        .capacity
        .values()
        .flat_map(|slots| slots.values())
        .sum();
    if total <= 0.0 {
        return None;
    }
    let mut region_demand: collections::BTreeMap<model::RegionId, SlotsByService> = regions
        .iter()
        .map(|region| ((*region).clone(), SlotsByService::new()))
        .collect();
    if !input.has_traffic() {
        for (service, slots) in &input.capacity {
            let assumed = ASSUMED_UTILIZATION * slots.values().sum::<f64>() / regions.len() as f64;
            region_demand.values_mut().for_each(|demand| {
                demand.insert(service.clone(), assumed);
            });
        }
        return Some(region_demand);
    }
    for load in &input.loads {
        if let Some(region) = input.regions.get(&load.data_centre) {
            let demand = region_demand.entry(region.clone()).or_default();
            *demand.entry(load.service.clone()).or_default() +=
                UNCACHED_REQUEST_FACTOR * load.slots;
        }
    }
    Some(region_demand)
}

fn free_slots(input: &lookup_balancer::CapacityAndDemand) -> FreeSlots {
    let mut free_slots = FreeSlots::new();
    for (service, slots) in &input.capacity {
        for (data_centre, slots) in slots {
            let free = free_slots.entry(data_centre.clone()).or_default();
            free.insert(service.clone(), MAX_UTILIZATION * slots);
        }
    }
    free_slots
}

/// Returns the data centres of the own region or of other allowed regions, in the order in which
/// they are filled with the callers of a region.
fn fill_order(
    input: &lookup_balancer::CapacityAndDemand,
    region: &str,
    is_own: bool,
    current: Option<&lookup_balancer::Shares>,
    free_slots: &FreeSlots,
    allowed_regions: &Option<collections::BTreeSet<model::RegionId>>,
) -> Vec<model::DataCentreId> {
    let share = |name: &str| {
        current
            .and_then(|shares| shares.get(name))
            .copied()
            .unwrap_or(0.0)
    };
    let free = |name: &str| {
        free_slots
            .get(name)
            .map_or(0.0, |free| free.values().sum::<f64>())
    };
    let mut fill_order: Vec<&model::DataCentreId> = input
        .regions
        .iter()
        .filter(|(_, other)| (other.as_str() == region) == is_own)
        .filter(|(_, other)| is_own || allowed_regions.as_ref().is_none_or(|b| b.contains(*other)))
        .map(|(data_centre, _)| data_centre)
        .collect();
    fill_order.sort_by(|a, b| {
        let by_share = share(b).total_cmp(&share(a));
        by_share.then(free(b).total_cmp(&free(a)))
    });
    fill_order.into_iter().cloned().collect()
}

/// Assigns the unassigned part of a region's demand to data centres in order.
fn fill(
    assigned: &mut lookup_balancer::Shares,
    demand: &SlotsByService,
    fill_order: &[model::DataCentreId],
    free_slots: &mut FreeSlots,
    min_share: f64,
) {
    for data_centre in fill_order {
        let unassigned = 1.0 - assigned.values().sum::<f64>();
        let Some(free) = free_slots.get_mut(data_centre) else {
            continue;
        };
        let fits = demand
            .iter()
            .filter(|(_, slots)| **slots > 0.0)
            .map(|(service, slots)| free.get(service).copied().unwrap_or(0.0) / slots)
            .fold(unassigned, f64::min);
        if fits <= 0.0 || fits < min_share.min(unassigned) {
            continue;
        }
        *assigned.entry(data_centre.clone()).or_default() += fits;
        for (service, slots) in demand {
            if let Some(free) = free.get_mut(service) {
                *free -= fits * slots;
            }
        }
    }
}

/// Distributes the demand that exceeds the free capacity in proportion to the total capacity.
fn distribute_excess(
    input: &lookup_balancer::CapacityAndDemand,
    region: &str,
    assigned: &mut lookup_balancer::Shares,
    allowed_regions: &Option<collections::BTreeSet<model::RegionId>>,
) {
    let excess = 1.0 - assigned.values().sum::<f64>();
    if excess <= f64::EPSILON {
        return;
    }
    let mut capacity = lookup_balancer::Shares::new();
    for (data_centre, slots) in input.capacity.values().flatten() {
        let other = input.regions.get(data_centre);
        let is_allowed = other.is_some_and(|other| {
            other == region || allowed_regions.as_ref().is_none_or(|b| b.contains(other))
        });
        if is_allowed {
            *capacity.entry(data_centre.clone()).or_default() += slots;
        }
    }
    let total: f64 = capacity.values().sum();
    if total <= 0.0 {
        // No data centre may serve them: they stay in their own region, which refuses them.
        let own = input.regions.iter().filter(|(_, other)| *other == region);
        let own: Vec<&model::DataCentreId> = own.map(|(data_centre, _)| data_centre).collect();
        for data_centre in &own {
            *assigned.entry((*data_centre).clone()).or_default() += excess / own.len() as f64;
        }
        return;
    }
    for (data_centre, slots) in capacity {
        *assigned.entry(data_centre).or_default() += excess * slots / total;
    }
}

/// Regions that are allowed for all restricted routes with a relevant part of the demand; `None` if
/// there is no such route.
fn common_allowed_regions(
    input: &lookup_balancer::CapacityAndDemand,
) -> Option<collections::BTreeSet<model::RegionId>> {
    let total: f64 = input.loads.iter().map(|load| load.slots).sum();
    members::sum_loads(input.loads.iter())
        .into_iter()
        .filter(|load| !load.regions.is_empty() && load.slots > MIN_RESTRICTED_SHARE * total)
        .map(|load| load.regions.into_iter().collect())
        .reduce(|a: collections::BTreeSet<model::RegionId>, b| {
            a.intersection(&b).cloned().collect()
        })
}
