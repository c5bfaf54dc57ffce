//! The division of callers that room and demand call for.
//!
//! The callers of a region ask for the same objects.  Each data centre that serves them has to
//! load these into its caches first, so that a region's callers go to as few data centres as can
//! take them: those that serve them already, then those of their own region, then others with
//! room.

use std::collections;

use super::{lookup_balancer, members};
use crate::model;

/// Utilization up to which a data centre is filled; beyond it requests wait noticeably.
const FULL: f64 = 0.7;

/// Slots taken up relative to those of warm requests: part of the requests are cold.
const COLD_SURCHARGE: f64 = 1.4;

/// Utilization assumed before the first measurement.
const ASSUMED: f64 = 0.5;

/// Part of a region's callers below which a data centre is not worth filling its caches for, as
/// long as others have room.
const SMALL_SHARE: f64 = 0.25;

/// Part of a name's demand from which a route's regions bind its look-ups; a few requests that only
/// test a route do not.
const BOUND_SHARE: f64 = 0.02;

/// Slots by service.
type Need = collections::BTreeMap<model::ServiceId, f64>;

/// Room that is left, by data centre.
type Room = collections::BTreeMap<model::DataCentreId, Need>;

/// Shares for the callers of each region; nothing where no backend server is known.
pub(super) fn targets(
    spread: &lookup_balancer::CapacityAndDemand,
    current: Option<&collections::BTreeMap<model::RegionId, lookup_balancer::Shares>>,
) -> Option<collections::BTreeMap<model::RegionId, lookup_balancer::Shares>> {
    let needs = needs(spread)?;
    let bound = bound_regions(spread);
    let mut room = room(spread);
    let mut shares: collections::BTreeMap<model::RegionId, lookup_balancer::Shares> = needs
        .keys()
        .map(|region| (region.clone(), lookup_balancer::Shares::new()))
        .collect();
    // Regions serve their own callers first; what does not fit goes to others.
    for small in [SMALL_SHARE, 0.0] {
        for is_own in [true, false] {
            for (region, need) in &needs {
                let served = shares.entry(region.clone()).or_default();
                let order = order(
                    spread,
                    region,
                    is_own,
                    current.and_then(|c| c.get(region)),
                    &room,
                    &bound,
                );
                fill(served, need, &order, &mut room, small);
            }
        }
    }
    for (region, served) in &mut shares {
        share_excess(spread, region, served, &bound);
    }
    Some(shares)
}

/// Slots that the callers of each region need.
fn needs(
    spread: &lookup_balancer::CapacityAndDemand,
) -> Option<collections::BTreeMap<model::RegionId, Need>> {
    let regions: collections::BTreeSet<&model::RegionId> = spread.regions.values().collect();
    let total: f64 = spread
        .capacity
        .values()
        .flat_map(|slots| slots.values())
        .sum();
    if total <= 0.0 {
        return None;
    }
    let mut needs: collections::BTreeMap<model::RegionId, Need> = regions
        .iter()
        .map(|region| ((*region).clone(), Need::new()))
        .collect();
    if !spread.has_traffic() {
        for (service, slots) in &spread.capacity {
            let assumed = ASSUMED * slots.values().sum::<f64>() / regions.len() as f64;
            needs.values_mut().for_each(|need| {
                need.insert(service.clone(), assumed);
            });
        }
        return Some(needs);
    }
    for load in &spread.loads {
        if let Some(region) = spread.regions.get(&load.data_centre) {
            let need = needs.entry(region.clone()).or_default();
            *need.entry(load.service.clone()).or_default() += COLD_SURCHARGE * load.slots;
        }
    }
    Some(needs)
}

fn room(spread: &lookup_balancer::CapacityAndDemand) -> Room {
    let mut room = Room::new();
    for (service, slots) in &spread.capacity {
        for (data_centre, slots) in slots {
            let left = room.entry(data_centre.clone()).or_default();
            left.insert(service.clone(), FULL * slots);
        }
    }
    room
}

/// Data centres to fill for the callers of a region, in order.
fn order(
    spread: &lookup_balancer::CapacityAndDemand,
    region: &str,
    is_own: bool,
    current: Option<&lookup_balancer::Shares>,
    room: &Room,
    bound: &Option<collections::BTreeSet<model::RegionId>>,
) -> Vec<model::DataCentreId> {
    let share = |name: &str| {
        current
            .and_then(|shares| shares.get(name))
            .copied()
            .unwrap_or(0.0)
    };
    let left = |name: &str| {
        room.get(name)
            .map_or(0.0, |left| left.values().sum::<f64>())
    };
    let mut order: Vec<&model::DataCentreId> = spread
        .regions
        .iter()
        .filter(|(_, other)| (other.as_str() == region) == is_own)
        .filter(|(_, other)| is_own || bound.as_ref().is_none_or(|b| b.contains(*other)))
        .map(|(data_centre, _)| data_centre)
        .collect();
    order.sort_by(|a, b| {
        let by_share = share(b).total_cmp(&share(a));
        by_share.then(left(b).total_cmp(&left(a)))
    });
    order.into_iter().cloned().collect()
}

/// Fills data centres in order with what is left of a region's demand.
fn fill(
    served: &mut lookup_balancer::Shares,
    need: &Need,
    order: &[model::DataCentreId],
    room: &mut Room,
    small: f64,
) {
    for data_centre in order {
        let left = 1.0 - served.values().sum::<f64>();
        let Some(free) = room.get_mut(data_centre) else {
            continue;
        };
        let fits = need
            .iter()
            .filter(|(_, slots)| **slots > 0.0)
            .map(|(service, slots)| free.get(service).copied().unwrap_or(0.0) / slots)
            .fold(left, f64::min);
        if fits <= 0.0 || fits < small.min(left) {
            continue;
        }
        *served.entry(data_centre.clone()).or_default() += fits;
        for (service, slots) in need {
            if let Some(free) = free.get_mut(service) {
                *free -= fits * slots;
            }
        }
    }
}

/// Divides what fits nowhere by capacity.
fn share_excess(
    spread: &lookup_balancer::CapacityAndDemand,
    region: &str,
    served: &mut lookup_balancer::Shares,
    bound: &Option<collections::BTreeSet<model::RegionId>>,
) {
    let excess = 1.0 - served.values().sum::<f64>();
    if excess <= f64::EPSILON {
        return;
    }
    let mut capacity = lookup_balancer::Shares::new();
    for (data_centre, slots) in spread.capacity.values().flatten() {
        let other = spread.regions.get(data_centre);
        let is_open = other.is_some_and(|other| {
            other == region || bound.as_ref().is_none_or(|b| b.contains(other))
        });
        if is_open {
            *capacity.entry(data_centre.clone()).or_default() += slots;
        }
    }
    let total: f64 = capacity.values().sum();
    if total <= 0.0 {
        // No data centre may serve them: they stay in their region, which refuses them.
        let own = spread.regions.iter().filter(|(_, other)| *other == region);
        let own: Vec<&model::DataCentreId> = own.map(|(data_centre, _)| data_centre).collect();
        for data_centre in &own {
            *served.entry((*data_centre).clone()).or_default() += excess / own.len() as f64;
        }
        return;
    }
    for (data_centre, slots) in capacity {
        *served.entry(data_centre).or_default() += excess * slots / total;
    }
}

/// Regions that may serve each route with a noticeable part of the demand; nothing where no route
/// is bound.
fn bound_regions(
    spread: &lookup_balancer::CapacityAndDemand,
) -> Option<collections::BTreeSet<model::RegionId>> {
    let total: f64 = spread.loads.iter().map(|load| load.slots).sum();
    members::sum_loads(spread.loads.iter())
        .into_iter()
        .filter(|load| !load.regions.is_empty() && load.slots > BOUND_SHARE * total)
        .map(|load| load.regions.into_iter().collect())
        .reduce(|a: collections::BTreeSet<model::RegionId>, b| {
            a.intersection(&b).cloned().collect()
        })
}
