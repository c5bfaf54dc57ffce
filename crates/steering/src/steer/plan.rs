//! The next step of a flow towards the data centres that should serve it.

use std::collections;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{model, shift};

/// Smallest part of a flow that is moved because of load.
const DEADBAND: u32 = shift::CELL_COUNT / 50;

/// Why a part of the traffic has to leave a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It has no live host.
    Lost,
    /// The policy does not allow its region, or it has no server for the work.
    Policy,
    /// It is being drained.
    Drain,
    /// It gives fewer grants than the traffic needs.
    Limited,
    /// Demand exceeds its slots.
    Heat,
    /// The callers' home data centre can take the traffic again.
    Return,
}

/// What a step is planned from.
#[derive(Clone, Debug, Default)]
pub struct Input<'a> {
    /// Home data centre of the callers.
    pub home: &'a str,
    /// Data centres that may not serve the flow.
    pub barred: collections::BTreeMap<model::DataCentreId, Cause>,
    /// Data centres that no cells may be moved to for now.
    pub closed: collections::BTreeSet<model::DataCentreId>,
    /// Cells that home may have; the rest has to leave.
    pub home_limit: u32,
    /// Other data centres with their slots, the nearest group first.
    pub groups: Vec<Vec<(model::DataCentreId, u32)>>,
    /// Cells that may come to a data centre on the grants held; absent for no limit.
    pub room: collections::BTreeMap<model::DataCentreId, u32>,
    /// Data centres that gave fewer grants than needed, with the cells to take off them.
    pub limited: collections::BTreeMap<model::DataCentreId, u32>,
    /// Whether load may move cells away from home, and back to it.
    pub may_leave: bool,
    /// See `may_leave`.
    pub may_return: bool,
    /// Cells that may move now.
    pub budget: u32,
    /// Cells that may move within an interval.
    pub step: u32,
}

impl Input<'_> {
    fn is_open(&self, data_centre: &str) -> bool {
        !self.barred.contains_key(data_centre) && !self.closed.contains(data_centre)
    }
}

/// A cell that changes its data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Which cell.
    pub cell: u32,
    /// Data centre that gets it.
    pub to: model::DataCentreId,
}

/// A step, and what the next ones need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves to make now.
    pub moves: Vec<Move>,
    /// Cells for which grants are needed beyond those already there.
    pub wanted: collections::BTreeMap<model::DataCentreId, u32>,
    /// First cause and the cells that have to move in all.
    pub moving: Option<(Cause, u32)>,
}

/// Plans the next step.
///
/// Cells leave in ascending order and return in descending order, and each has its own order of
/// preference among data centres, so hosts that move the same number of cells move the same ones
/// to the same places.
pub fn plan(shares: &shift::Shares, input: &Input<'_>) -> Plan {
    let leaving = leaving(shares, input);
    let returning = leaving.is_empty();
    let cells = match returning {
        true => returning_cells(shares, input),
        false => leaving,
    };
    let Some((cause, _)) = cells.first().copied() else {
        return Plan::default();
    };
    let mut tiers = tiers(shares, input, returning);
    let mut room = input.room.clone();
    let mut plan = Plan {
        moving: Some((cause, cells.len() as u32)),
        ..Plan::default()
    };
    for (_, cell) in cells.into_iter().take(input.step as usize) {
        let Some(to) = choose(cell, shares.data_centre_of(cell), &mut tiers) else {
            continue;
        };
        *plan.wanted.entry(to.clone()).or_default() += 1;
        let left = room.entry(to.clone()).or_insert(u32::MAX);
        if *left > 0 && plan.moves.len() < input.budget as usize {
            *left -= 1;
            plan.moves.push(Move { cell, to });
        }
    }
    plan
}

/// Moves that bring settled shares nearer to those of another host, where grants have room.
pub fn align(shares: &shift::Shares, lead: &shift::Shares, input: &Input<'_>) -> Vec<Move> {
    let mut room = input.room.clone();
    (0..shift::CELL_COUNT)
        .map(|cell| (cell, lead.data_centre_of(cell)))
        .filter(|(cell, to)| shares.data_centre_of(*cell) != *to)
        .filter(|(_, to)| *to != input.home && input.is_open(to))
        .filter(|(cell, _)| shares.data_centre_of(*cell) != input.home)
        .filter(|(_, to)| {
            let left = room.entry((*to).clone()).or_insert(u32::MAX);
            let fits = *left > 0;
            *left -= u32::from(fits);
            fits
        })
        .take(input.budget as usize)
        .map(|(cell, to)| Move {
            cell,
            to: to.clone(),
        })
        .collect()
}

/// Cells that have to leave, the most pressing cause first.
fn leaving(shares: &shift::Shares, input: &Input<'_>) -> Vec<(Cause, u32)> {
    let mut due = collections::BTreeMap::new();
    for (dc, cells) in shares.cells() {
        if let Some((cause, excess)) = excess(&dc, cells, input) {
            due.insert(dc, (cause, excess));
        }
    }
    if due.is_empty() {
        return Vec::new();
    }
    let mut leaving = Vec::new();
    for cell in 0..shift::CELL_COUNT {
        if let Some((cause, left)) = due.get_mut(shares.data_centre_of(cell))
            && *left > 0
        {
            *left -= 1;
            leaving.push((*cause, cell));
        }
    }
    leaving.sort_by_key(|(cause, _)| *cause);
    leaving
}

/// Why and how many of the cells at a data centre have to leave it.
fn excess(data_centre: &str, cells: u32, input: &Input<'_>) -> Option<(Cause, u32)> {
    if let Some(cause) = input.barred.get(data_centre) {
        return Some((*cause, cells));
    }
    if data_centre == input.home {
        let excess = cells.saturating_sub(input.home_limit);
        let worth = excess > DEADBAND || (excess > 0 && input.home_limit == 0);
        return (worth && input.may_leave).then_some((Cause::Heat, excess));
    }
    let excess = input.limited.get(data_centre).copied().unwrap_or(0);
    (excess > DEADBAND).then_some((Cause::Limited, excess.min(cells)))
}

/// Cells that may go back home.
fn returning_cells(shares: &shift::Shares, input: &Input<'_>) -> Vec<(Cause, u32)> {
    if !input.may_return || !input.is_open(input.home) {
        return Vec::new();
    }
    let left = input.home_limit.saturating_sub(shares.cells_at(input.home));
    if left <= DEADBAND && input.home_limit < shift::CELL_COUNT {
        return Vec::new();
    }
    (0..shift::CELL_COUNT)
        .rev()
        .filter(|cell| shares.data_centre_of(*cell) != input.home)
        .take(left as usize)
        .map(|cell| (Cause::Return, cell))
        .collect()
}

/// A possible destination.
#[derive(Clone, Debug)]
struct Target {
    data_centre: model::DataCentreId,
    slots: u32,
    /// Cells that it may still get.
    left: u32,
}

/// Destinations in order of preference; those of one tier are chosen by slots.
fn tiers(shares: &shift::Shares, input: &Input<'_>, home_only: bool) -> Vec<Vec<Target>> {
    let mut tiers = Vec::new();
    if input.is_open(input.home) {
        let most = input.home_limit.saturating_sub(shares.cells_at(input.home));
        tiers.push(vec![target(input, input.home, 1, most)]);
    }
    if !home_only {
        let others = input.groups.iter().map(|group| {
            let open = group
                .iter()
                .filter(|(dc, _)| dc != input.home && input.is_open(dc));
            open.map(|(dc, slots)| target(input, dc, *slots, shift::CELL_COUNT))
                .collect()
        });
        tiers.extend(others);
    }
    tiers
}

fn target(input: &Input<'_>, data_centre: &str, slots: u32, most: u32) -> Target {
    let limit = match input.limited.contains_key(data_centre) {
        true => input.room.get(data_centre).copied().unwrap_or(0),
        false => most,
    };
    Target {
        data_centre: data_centre.to_string(),
        slots,
        left: most.min(limit),
    }
}

/// Takes a place for a cell in the first tier that has one.
fn choose(cell: u32, from: &str, tiers: &mut [Vec<Target>]) -> Option<model::DataCentreId> {
    let best = tiers.iter_mut().find_map(|tier| {
        let open = tier
            .iter_mut()
            .filter(|t| t.left > 0 && t.data_centre != from);
        open.max_by(|a, b| weight(cell, a).total_cmp(&weight(cell, b)))
    })?;
    best.left -= 1;
    Some(best.data_centre.clone())
}

/// Weight of a destination for a cell, by weighted rendezvous hashing.
fn weight(cell: u32, target: &Target) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(target.data_centre.as_bytes(), u64::from(cell));
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(target.slots) / -uniform.ln()
}
