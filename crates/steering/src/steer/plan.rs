//! Planning of the next step of a flow towards the data centres that should serve it.

use std::collections;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{model, shift};

/// Largest excess in cells that is tolerated before cells are moved because of load.
const DEADBAND_CELLS: u32 = shift::CELL_COUNT / 50;

/// Why cells have to leave a data centre, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It has no live host.
    Lost,
    /// The policy does not allow its region, or it has no server for the work.
    Policy,
    /// The data centre is being drained.
    Drain,
    /// It grants fewer slots than the traffic needs.
    Limited,
    /// Demand exceeds the slots of the data centre.
    Heat,
    /// The home data centre of the callers can take the traffic again.
    Return,
}

/// Input of [`plan`] and [`align`].
#[derive(Clone, Debug, Default)]
pub struct PlanInput<'a> {
    /// Home data centre of the callers.
    pub home: &'a str,
    /// Data centres that may not serve the flow, and why.
    pub excluded_data_centres: collections::BTreeMap<model::DataCentreId, Cause>,
    /// Data centres that may serve the flow, but that no cells may be moved to for now.
    pub closed_to_moves: collections::BTreeSet<model::DataCentreId>,
    /// Cells that the home data centre may keep; the rest has to leave.
    pub home_limit: u32,
    /// Possible destinations with their slots, the nearest group first.
    pub destination_groups: Vec<Vec<(model::DataCentreId, u32)>>,
    /// Cells for which the grants held at a data centre still suffice; absent for no limit.
    pub granted_cells: collections::BTreeMap<model::DataCentreId, u32>,
    /// Data centres that granted fewer slots than needed, with the cells to move off them.
    pub limited_by_grants: collections::BTreeMap<model::DataCentreId, u32>,
    /// Whether load may move cells away from home.
    pub may_leave: bool,
    /// Whether cells may return home.
    pub may_return: bool,
    /// Cells that the shift cap still allows to move now.
    pub movable_cells: u32,
    /// Cells that the shift cap allows to move in an interval.
    pub movable_cells_per_interval: u32,
}

impl PlanInput<'_> {
    fn is_open(&self, data_centre: &str) -> bool {
        !self.excluded_data_centres.contains_key(data_centre)
            && !self.closed_to_moves.contains(data_centre)
    }
}

/// A cell that changes its data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellMove {
    /// Number of the cell.
    pub cell: u32,
    /// Destination.
    pub to: model::DataCentreId,
}

/// A planned step, and what the next ones need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Cells to move now.
    pub moves: Vec<CellMove>,
    /// Cells by destination for which grants are needed, in addition to the cells already there.
    pub wanted_cells: collections::BTreeMap<model::DataCentreId, u32>,
    /// Most urgent cause and the total number of cells that have to move.
    pub pending_moves: Option<(Cause, u32)>,
}

/// Plans the next step.
///
/// Cells leave in ascending order and return in descending order, and each cell has its own order
/// of preference among data centres.  Hosts that move the same number of cells therefore move the
/// same cells to the same destinations.
pub fn plan(shares: &shift::Shares, input: &PlanInput<'_>) -> Plan {
    let leaving = leaving_cells(shares, input);
    let returning = leaving.is_empty();
    let cells = match returning {
        true => returning_cells(shares, input),
        false => leaving,
    };
    let Some((cause, _)) = cells.first().copied() else {
        return Plan::default();
    };
    let mut tiers = tiers(shares, input, returning);
    let mut granted_cells = input.granted_cells.clone();
    let mut plan = Plan {
        pending_moves: Some((cause, cells.len() as u32)),
        ..Plan::default()
    };
    for (_, cell) in cells
        .into_iter()
        .take(input.movable_cells_per_interval as usize)
    {
        let Some(to) = take_destination(cell, shares.data_centre_of(cell), &mut tiers) else {
            continue;
        };
        *plan.wanted_cells.entry(to.clone()).or_default() += 1;
        let remaining = granted_cells.entry(to.clone()).or_insert(u32::MAX);
        if *remaining > 0 && plan.moves.len() < input.movable_cells as usize {
            *remaining -= 1;
            plan.moves.push(CellMove { cell, to });
        }
    }
    plan
}

/// Moves that bring shares without a pending cause nearer to those of another host, as far as
/// grants suffice.
pub fn align(
    shares: &shift::Shares,
    followed: &shift::Shares,
    input: &PlanInput<'_>,
) -> Vec<CellMove> {
    let mut granted_cells = input.granted_cells.clone();
    (0..shift::CELL_COUNT)
        .map(|cell| (cell, followed.data_centre_of(cell)))
        .filter(|(cell, to)| shares.data_centre_of(*cell) != *to)
        .filter(|(_, to)| *to != input.home && input.is_open(to))
        .filter(|(cell, _)| shares.data_centre_of(*cell) != input.home)
        .filter(|(_, to)| {
            let remaining = granted_cells.entry((*to).clone()).or_insert(u32::MAX);
            let fits = *remaining > 0;
            *remaining -= u32::from(fits);
            fits
        })
        .take(input.movable_cells as usize)
        .map(|(cell, to)| CellMove {
            cell,
            to: to.clone(),
        })
        .collect()
}

/// Cells that have to leave their data centre, the most urgent cause first.
fn leaving_cells(shares: &shift::Shares, input: &PlanInput<'_>) -> Vec<(Cause, u32)> {
    let mut excess_by_data_centre = collections::BTreeMap::new();
    for (dc, cells) in shares.cells() {
        if let Some((cause, excess)) = excess(&dc, cells, input) {
            excess_by_data_centre.insert(dc, (cause, excess));
        }
    }
    if excess_by_data_centre.is_empty() {
        return Vec::new();
    }
    let mut leaving = Vec::new();
    for cell in 0..shift::CELL_COUNT {
        if let Some((cause, remaining)) = excess_by_data_centre.get_mut(shares.data_centre_of(cell))
            && *remaining > 0
        {
            *remaining -= 1;
            leaving.push((*cause, cell));
        }
    }
    leaving.sort_by_key(|(cause, _)| *cause);
    leaving
}

/// Why cells at a data centre have to leave it, and how many of its `cells`.
fn excess(data_centre: &str, cells: u32, input: &PlanInput<'_>) -> Option<(Cause, u32)> {
    if let Some(cause) = input.excluded_data_centres.get(data_centre) {
        return Some((*cause, cells));
    }
    if data_centre == input.home {
        let excess = cells.saturating_sub(input.home_limit);
        let is_significant = excess > DEADBAND_CELLS || (excess > 0 && input.home_limit == 0);
        return (is_significant && input.may_leave).then_some((Cause::Heat, excess));
    }
    let excess = input
        .limited_by_grants
        .get(data_centre)
        .copied()
        .unwrap_or(0);
    (excess > DEADBAND_CELLS).then_some((Cause::Limited, excess.min(cells)))
}

/// Cells that may return home.
fn returning_cells(shares: &shift::Shares, input: &PlanInput<'_>) -> Vec<(Cause, u32)> {
    if !input.may_return || !input.is_open(input.home) {
        return Vec::new();
    }
    let free = input.home_limit.saturating_sub(shares.cells_at(input.home));
    if free <= DEADBAND_CELLS && input.home_limit < shift::CELL_COUNT {
        return Vec::new();
    }
    (0..shift::CELL_COUNT)
        .rev()
        .filter(|cell| shares.data_centre_of(*cell) != input.home)
        .take(free as usize)
        .map(|cell| (Cause::Return, cell))
        .collect()
}

/// A possible destination of cells.
#[derive(Clone, Debug)]
struct Destination {
    data_centre: model::DataCentreId,
    slots: u32,
    /// Cells that may still be moved to it.
    remaining: u32,
}

/// Destinations in order of preference.  Within a tier, cells are distributed in proportion to
/// slots.
fn tiers(shares: &shift::Shares, input: &PlanInput<'_>, home_only: bool) -> Vec<Vec<Destination>> {
    let mut tiers = Vec::new();
    if input.is_open(input.home) {
        let free = input.home_limit.saturating_sub(shares.cells_at(input.home));
        tiers.push(vec![destination(input, input.home, 1, free)]);
    }
    if !home_only {
        let others = input.destination_groups.iter().map(|group| {
            let open = group
                .iter()
                .filter(|(dc, _)| dc != input.home && input.is_open(dc));
            open.map(|(dc, slots)| destination(input, dc, *slots, shift::CELL_COUNT))
                .collect()
        });
        tiers.extend(others);
    }
    tiers
}

fn destination(
    input: &PlanInput<'_>,
    data_centre: &str,
    slots: u32,
    max_cells: u32,
) -> Destination {
    let limit = match input.limited_by_grants.contains_key(data_centre) {
        true => input.granted_cells.get(data_centre).copied().unwrap_or(0),
        false => max_cells,
    };
    Destination {
        data_centre: data_centre.to_string(),
        slots,
        remaining: max_cells.min(limit),
    }
}

/// Selects a destination for a cell in the first tier that can still get one, and counts it.
fn take_destination(
    cell: u32,
    from: &str,
    tiers: &mut [Vec<Destination>],
) -> Option<model::DataCentreId> {
    let best = tiers.iter_mut().find_map(|tier| {
        let open = tier
            .iter_mut()
            .filter(|d| d.remaining > 0 && d.data_centre != from);
        open.max_by(|a, b| weight(cell, a).total_cmp(&weight(cell, b)))
    })?;
    best.remaining -= 1;
    Some(best.data_centre.clone())
}

/// Weight of a destination for a cell, by weighted rendezvous hashing.
fn weight(cell: u32, destination: &Destination) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(destination.data_centre.as_bytes(), u64::from(cell));
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(destination.slots) / -uniform.ln()
}
