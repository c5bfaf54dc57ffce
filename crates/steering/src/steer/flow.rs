//! Traffic of one kind of work from the callers (HTTP clients) of one data centre.

use std::time;

use super::{message, plan};
use crate::{config, model, shift};

/// Kind of work and home data centre of the callers.
pub type FlowKey = (model::WorkId, model::DataCentreId);

/// Time constant of the average of the arrival rate.
const RATE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);

/// Time since the last reversal after which [`REVERSAL_HOLD`] starts again at its minimum.
const DAMPING_RESET: time::Duration = time::Duration::from_secs(600);

/// Minimum and maximum of the reversal hold: the time between a step and one in the opposite
/// direction.  It doubles with each reversal, to damp oscillation.  Only moves away from an
/// overloaded home data centre and moves back home wait for it; moves off a data centre that is
/// lost, excluded by the policy, drained or short of grants do not, nor does the first step after
/// a change of policies or drains.
const REVERSAL_HOLD: [time::Duration; 2] = [
    time::Duration::from_secs(10),
    time::Duration::from_secs(300),
];

/// Direction of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Away from the callers' home data centre.
    Away,
    /// Back to the callers' home data centre.
    Home,
}

/// Shares of a flow, its recent moves and its arrival rate.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Division between data centres.
    pub shares: shift::Shares,
    /// Recent moves, for the shift cap.
    pub move_log: shift::MoveLog,
    /// Limit on the growth of traffic of callers of another data centre that is served away from
    /// their home.
    pub displaced_ramp: shift::Ramp,
    /// Arrivals per second.
    pub arrivals_per_s: f64,
    /// Time of the last arrival.
    pub last_arrival: model::Time,
    /// Why cells have to move, and how many still have to; none if the shares are as they should
    /// be.
    pub pending_moves: Option<(plan::Cause, u32)>,
    arrivals: u32,
    mean_bytes: f64,
    rate_updated: model::Time,
    last_step: Option<(Direction, model::Time)>,
    last_reversal: Option<model::Time>,
    reversal_hold: time::Duration,
}

impl Flow {
    /// Creates a flow that is served entirely by its home data centre.
    pub fn new(home: &str, now: model::Time) -> Flow {
        Flow {
            shares: shift::Shares::new(home),
            move_log: shift::MoveLog::default(),
            displaced_ramp: shift::Ramp::default(),
            arrivals_per_s: 0.0,
            last_arrival: now,
            pending_moves: None,
            arrivals: 0,
            mean_bytes: 0.0,
            rate_updated: now,
            last_step: None,
            last_reversal: None,
            reversal_hold: REVERSAL_HOLD[0],
        }
    }

    /// Replaces the shares and recent moves by those of another host.
    pub fn with_shares(self, received: message::FlowShares, now: model::Time) -> Flow {
        Flow {
            shares: received.shares,
            move_log: shift::MoveLog::from_ages(&received.moves, now),
            ..self
        }
    }

    /// Records the arrival of a request with a body of `bytes`.
    pub fn record_arrival(&mut self, bytes: u64, now: model::Time) {
        const NEW_VALUE_WEIGHT: f64 = 0.05;
        self.arrivals += 1;
        self.last_arrival = now;
        self.mean_bytes += NEW_VALUE_WEIGHT * (bytes as f64 - self.mean_bytes);
    }

    /// Mean size of request bodies in bytes.
    pub fn mean_bytes(&self) -> f64 {
        self.mean_bytes
    }

    /// Updates the arrival rate with the arrivals since the last update.
    pub fn update_rate(&mut self, now: model::Time) {
        let elapsed = now.saturating_sub(self.rate_updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let current = f64::from(self.arrivals) / elapsed;
        let weight = 1.0 - (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.arrivals_per_s += weight * (current - self.arrivals_per_s);
        self.arrivals = 0;
        self.rate_updated = now;
    }

    /// Whether the reversal hold allows a step in a direction.  Applies only to moves because of
    /// overload and for moves back home.
    pub fn may_step(&self, direction: Direction, now: model::Time) -> bool {
        self.last_step
            .is_none_or(|(last, at)| last == direction || now >= at + self.reversal_hold)
    }

    /// Records a step that moved `cells` cells.
    pub fn record_step(
        &mut self,
        direction: Direction,
        cells: u32,
        cap: &config::ShiftCap,
        now: model::Time,
    ) {
        if self.last_step.is_some_and(|(last, _)| last != direction) {
            let is_repeated = self
                .last_reversal
                .is_some_and(|at| now < at + DAMPING_RESET);
            self.reversal_hold = match is_repeated {
                true => (self.reversal_hold * 2).min(REVERSAL_HOLD[1]),
                false => REVERSAL_HOLD[0],
            };
            self.last_reversal = Some(now);
        }
        self.last_step = Some((direction, now));
        self.move_log.record(cells, cap, now);
    }

    /// Allows the next step in any direction, after a change by an operator.
    pub fn allow_reversal(&mut self) {
        self.last_step = None;
    }
}
