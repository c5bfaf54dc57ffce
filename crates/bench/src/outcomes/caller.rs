//! Callers that repeat their requests until they know the outcome.

use std::{collections, time};

use yuccatide_steering::{dedup, model};

use super::event::Operation;

/// Time after which a caller repeats a request that has no answer.
const REPEAT_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time from sending to the deadline of a request.
pub(super) const DEADLINE: time::Duration = time::Duration::from_secs(5);

/// Times that a caller sends the same key.
const SENDS_MAX: u32 = 5;

/// Keys that a caller uses for one operation, one after the other.
const KEYS_MAX: u32 = 3;

/// What a caller knows of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knowledge {
    Waiting,
    Done,
    NotRun,
    Unknown,
}

/// An operation that a caller wants to happen once.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) begun: model::Time,
    pub(super) key: model::IdempotencyKey,
    pub(super) sends: u32,
    pub(super) keys: u32,
    pub(super) knowledge: Knowledge,
}

/// What a caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Nothing,
    SameKey,
    NewKey,
}

/// Callers.
#[derive(Debug, Default)]
pub(super) struct Callers {
    pub(super) operations: collections::BTreeMap<Operation, State>,
    /// Operation and key of each request, and whether it was answered.
    pub(super) requests: collections::BTreeMap<model::RequestId, Sent>,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) operation: Operation,
    pub(super) key: model::IdempotencyKey,
    pub(super) answered: bool,
}

impl State {
    /// A first request is sent.
    pub(super) fn new(key: model::IdempotencyKey, now: model::Time) -> State {
        State {
            begun: now,
            key,
            sends: 1,
            keys: 1,
            knowledge: Knowledge::Waiting,
        }
    }

    /// Takes an answer for a key.
    pub(super) fn answered(
        &mut self,
        key: &model::IdempotencyKey,
        answer: &dedup::Response,
    ) -> Next {
        match answer {
            dedup::Response::Done(_) => {
                self.knowledge = Knowledge::Done;
                Next::Nothing
            }
            _ if self.knowledge != Knowledge::Waiting || *key != self.key => Next::Nothing,
            dedup::Response::NotRun(_) if self.keys < KEYS_MAX => {
                self.keys += 1;
                self.sends = 1;
                Next::NewKey
            }
            dedup::Response::NotRun(_) => {
                self.knowledge = Knowledge::NotRun;
                Next::Nothing
            }
            dedup::Response::Unknown(_) => Next::Nothing,
        }
    }

    /// Time until the caller looks again whether it has the outcome.
    pub(super) fn patience(&self) -> time::Duration {
        if self.sends < SENDS_MAX {
            REPEAT_AFTER
        } else {
            DEADLINE + REPEAT_AFTER
        }
    }

    /// Takes that the outcome is not known in time.
    pub(super) fn repeat(&mut self, key: &model::IdempotencyKey) -> Next {
        if self.knowledge != Knowledge::Waiting || *key != self.key {
            Next::Nothing
        } else if self.sends < SENDS_MAX {
            self.sends += 1;
            Next::SameKey
        } else {
            self.knowledge = Knowledge::Unknown;
            Next::Nothing
        }
    }
}
