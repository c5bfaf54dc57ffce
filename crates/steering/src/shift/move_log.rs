//! Recent moves of traffic between data centres, checked against the shift cap.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::shares;
use crate::{config, model};

/// Minimum time for which moves are retained, so that if a patch sets a longer interval, moves made
/// before the patch are counted.
const MIN_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Recent moves, each with its time and the number of cells moved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveLog {
    moves: collections::VecDeque<(model::Time, u32)>,
}

impl MoveLog {
    /// Cells that may move now without exceeding the cap in any window of one interval.
    pub fn remaining_cells(&self, cap: &config::ShiftCap, now: model::Time) -> u32 {
        let moved = self
            .moves
            .iter()
            .filter(|(at, _)| now < *at + cap.interval)
            .map(|(_, cells)| cells)
            .sum::<u32>();
        max_cells(cap).saturating_sub(moved)
    }

    /// Records a move and discards moves that are no longer needed.
    pub fn record(&mut self, cells: u32, cap: &config::ShiftCap, now: model::Time) {
        let retention = cap.interval.max(MIN_RETENTION);
        while self
            .moves
            .front()
            .is_some_and(|(at, _)| *at + retention <= now)
        {
            self.moves.pop_front();
        }
        if cells > 0 {
            self.moves.push_back((now, cells));
        }
    }

    /// Time of the last move.
    pub fn last_move_at(&self) -> Option<model::Time> {
        self.moves.back().map(|(at, _)| *at)
    }

    /// Ages of the moves at `now`, for transfer to a host with a different clock.
    pub fn ages(&self, now: model::Time) -> Vec<(time::Duration, u32)> {
        self.moves
            .iter()
            .map(|(at, cells)| (now.saturating_sub(*at), *cells))
            .collect()
    }

    /// Creates a log from the ages of its moves at `now`.
    pub fn from_ages(ages: &[(time::Duration, u32)], now: model::Time) -> MoveLog {
        let moves = ages
            .iter()
            .map(|(age, cells)| (now.saturating_sub(*age), *cells))
            .collect();
        MoveLog { moves }
    }
}

/// Maximum number of cells that may move within an interval, rounded down.
fn max_cells(cap: &config::ShiftCap) -> u32 {
    // Compensates for shares such as 0.29 that have no exact binary representation; without it, the
    // product would be rounded down by one cell.
    const ROUNDING_TOLERANCE: f64 = 1e-6;
    (cap.share * f64::from(shares::CELL_COUNT) + ROUNDING_TOLERANCE).floor() as u32
}
