//! Moves of the recent past, against which the cap is checked.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::shares;
use crate::{config, model};

/// Shortest time for which moves are remembered, so that a longer interval set by a patch counts
/// the moves made before the patch.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Cells moved, with the time of each move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveLog {
    moves: collections::VecDeque<(model::Time, u32)>,
}

impl MoveLog {
    /// Cells that may move now, so that no window of one interval sees more than the cap.
    pub fn remaining_cells(&self, cap: &config::ShiftCap, now: model::Time) -> u32 {
        let spent = self
            .moves
            .iter()
            .filter(|(at, _)| now < *at + cap.interval)
            .map(|(_, cells)| cells)
            .sum::<u32>();
        cells_of(cap).saturating_sub(spent)
    }

    /// Records a move.
    pub fn record(&mut self, cells: u32, cap: &config::ShiftCap, now: model::Time) {
        let kept = cap.interval.max(RETENTION);
        while self.moves.front().is_some_and(|(at, _)| *at + kept <= now) {
            self.moves.pop_front();
        }
        if cells > 0 {
            self.moves.push_back((now, cells));
        }
    }

    /// Time of the last move.
    pub fn last(&self) -> Option<model::Time> {
        self.moves.back().map(|(at, _)| *at)
    }

    /// The moves as ages at `now`, for a host with another clock.
    pub fn ages(&self, now: model::Time) -> Vec<(time::Duration, u32)> {
        self.moves
            .iter()
            .map(|(at, cells)| (now.saturating_sub(*at), *cells))
            .collect()
    }

    /// The log of a host whose moves had these ages at `now`.
    pub fn from_ages(ages: &[(time::Duration, u32)], now: model::Time) -> MoveLog {
        let moves = ages
            .iter()
            .map(|(age, cells)| (now.saturating_sub(*age), *cells))
            .collect();
        MoveLog { moves }
    }
}

/// Cells that the cap lets move within an interval, rounded down.
fn cells_of(cap: &config::ShiftCap) -> u32 {
    // A share such as 0.29 has no exact binary form; the term keeps its product whole.
    const ROUNDING: f64 = 1e-6;
    (cap.share * f64::from(shares::CELL_COUNT) + ROUNDING).floor() as u32
}
