//! Record of a key at its home.

use std::time;

use super::{
    action::{Response, UnknownReason},
    home, limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

/// What the home keeps of a key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) fingerprint: u64,
    pub(super) phase: Phase,
    /// Absent once the end is known to the witness, to save memory.
    pub(super) active: Option<Box<Active>>,
}

/// What is needed until the witness knows the end.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) deadline: model::Time,
    pub(super) retention: time::Duration,
    pub(super) waiters: Vec<Waiter>,
}

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: model::RequestId,
    pub(super) deadline: model::Time,
}

#[derive(Debug)]
pub(super) enum Phase {
    Recording(Box<Sending>),
    Running,
    Ended(RunOutcome, Handover),
}

/// Whether the witness knows how the run ended.
#[derive(Debug)]
pub(super) enum Handover {
    Sending(Box<Sending>),
    GivenUp,
    Complete,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub(super) since: model::Time,
    pub(super) resend_at: model::Time,
}

impl Record {
    /// Answers a repetition, or lets it wait and returns nothing.
    pub(super) fn join(
        &mut self,
        req: &home::Request,
        limits: &limits::Limits,
        counters: &mut snapshot::Counters,
    ) -> Option<Response> {
        if self.fingerprint != req.fingerprint {
            counters.reused += 1;
            return Some(Response::NotRun(model::NotRunReason::KeyReused));
        }
        if let Phase::Ended(end, _) = &self.phase {
            counters.replayed += 1;
            return Some(Response::from(end));
        }
        let active = self.active.as_mut()?;
        if active.waiters.len() >= limits.waiters {
            return Some(Response::Unknown(UnknownReason::TooManyWaiters));
        }
        counters.joined += 1;
        active.waiters.push(Waiter {
            id: req.id,
            deadline: req.deadline,
        });
        None
    }

    pub(super) fn verdict(&self, fingerprint: u64) -> message::KeyStatus {
        if self.fingerprint != fingerprint {
            return message::KeyStatus::Ended(RunOutcome::NotRun(model::NotRunReason::KeyReused));
        }
        match &self.phase {
            Phase::Ended(end, _) => message::KeyStatus::Ended(end.clone()),
            _ => message::KeyStatus::Started,
        }
    }

    pub(super) fn overdue(
        &mut self,
        now: model::Time,
        grace: time::Duration,
    ) -> Vec<model::RequestId> {
        let Some(active) = &mut self.active else {
            return Vec::new();
        };
        let late = |waiter: &Waiter| now >= waiter.deadline + grace;
        let ids = active.waiters.iter().filter(|w| late(w)).map(|w| w.id);
        let ids = ids.collect();
        active.waiters.retain(|waiter| !late(waiter));
        ids
    }
}

impl Sending {
    /// Due at once.
    pub(super) fn new(now: model::Time) -> Sending {
        Sending {
            since: now,
            resend_at: now,
        }
    }

    /// Doubles the time to the next sending from the time since the first one.
    pub(super) fn again(self, now: model::Time, least: time::Duration) -> Sending {
        Sending {
            since: self.since,
            resend_at: now + least.max(now.saturating_sub(self.since)),
        }
    }
}
