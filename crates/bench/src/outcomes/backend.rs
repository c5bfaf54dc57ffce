//! The fake backend and its log.

use std::{collections, time};

use rand::Rng;
use yuccatide_steering::{matching, model};

use super::event;

/// Mean time that the backend takes for a request.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(8);

/// Share of requests that each kind of bad behaviour of the backend meets.
const FAULT_SHARE: f64 = 0.03;

/// Time by which a stalled backend server is late.
const STALL: time::Duration = time::Duration::from_secs(6);

/// A request that reaches the backend.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) from: event::ProcessId,
    pub(super) connection: matching::ConnectionId,
    pub(super) attempt: matching::Attempt,
    pub(super) key: model::IdempotencyKey,
    pub(super) operation: event::Operation,
}

/// Content of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// The request was run for this operation.
    Ran(event::Operation),
    /// The request was refused before it was run.
    Shed,
    /// The connection was refused.
    Refused,
}

/// What the backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behaviour {
    Good,
    Refuse,
    Shed,
    Break,
    Truncate,
    Duplicate,
    Cross,
    Stall,
}

/// The fake backend.
#[derive(Debug, Default)]
pub(super) struct Backend {
    /// Runs by operation and key.
    pub(super) log: collections::BTreeMap<event::Operation, Vec<model::IdempotencyKey>>,
}

impl Backend {
    /// Runs a request and returns the time that it takes.
    pub(super) fn run(&mut self, arrival: &Arrival, rng: &mut impl Rng) -> time::Duration {
        let runs = self.log.entry(arrival.operation).or_default();
        runs.push(arrival.key.clone());
        let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        SERVICE_TIME.mul_f64(-unit.ln())
    }
}

impl Behaviour {
    /// What reaches the entry host after a run, and when.
    pub(super) fn answers(
        self,
        whole: matching::ReceivedResponse,
        reply: Reply,
        took: time::Duration,
    ) -> Vec<(time::Duration, event::Input)> {
        let answer = |arrival| event::Input::Answer(arrival, reply);
        match self {
            Behaviour::Break => vec![(took, event::Input::Broken(whole.connection))],
            Behaviour::Truncate => {
                let cut = matching::ReceivedResponse {
                    received_bytes: whole.received_bytes / 2,
                    ..whole
                };
                vec![(took, answer(cut))]
            }
            Behaviour::Duplicate => vec![(took, answer(whole)), (2 * took, answer(whole))],
            Behaviour::Cross => {
                let crossed = matching::ReceivedResponse {
                    connection: whole.connection + 1,
                    ..whole
                };
                vec![(took, answer(crossed))]
            }
            Behaviour::Stall => vec![(STALL + took, answer(whole))],
            _ => vec![(took, answer(whole))],
        }
    }

    /// Picks one at random.
    pub(super) fn pick(rng: &mut impl Rng) -> Behaviour {
        let bad = [
            Behaviour::Refuse,
            Behaviour::Shed,
            Behaviour::Break,
            Behaviour::Truncate,
            Behaviour::Duplicate,
            Behaviour::Cross,
            Behaviour::Stall,
        ];
        let at = (rng.random::<f64>() / FAULT_SHARE) as usize;
        bad.get(at).copied().unwrap_or(Behaviour::Good)
    }
}
