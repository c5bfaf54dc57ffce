//! Record of a key at its home.

use std::time;

use super::{
    action::{Response, UnknownReason},
    home, limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

/// State of a key at its home.
#[derive(Debug)]
pub(super) struct HomeRecord {
    pub(super) fingerprint: u64,
    pub(super) phase: Phase,
    /// Absent once the witness has acknowledged the outcome, to save memory.
    pub(super) active: Option<Box<Active>>,
}

/// State needed until the witness has acknowledged the outcome.
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
    Recording(Box<RetryTimer>),
    Running,
    Ended(RunOutcome, Delivery),
}

/// Delivery of the outcome to the witness.
#[derive(Debug)]
pub(super) enum Delivery {
    Sending(Box<RetryTimer>),
    GivenUp,
    Complete,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RetryTimer {
    pub(super) since: model::Time,
    pub(super) resend_at: model::Time,
}

impl HomeRecord {
    /// Returns the response to a duplicate, or adds it to the waiters and returns `None`.
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
        if let Phase::Ended(outcome, _) = &self.phase {
            counters.replayed += 1;
            return Some(Response::from(outcome));
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

    pub(super) fn status(&self, fingerprint: u64) -> message::KeyStatus {
        if self.fingerprint != fingerprint {
            return message::KeyStatus::Ended(RunOutcome::NotRun(model::NotRunReason::KeyReused));
        }
        match &self.phase {
            Phase::Ended(outcome, _) => message::KeyStatus::Ended(outcome.clone()),
            _ => message::KeyStatus::Started,
        }
    }

    pub(super) fn take_overdue(
        &mut self,
        now: model::Time,
        grace: time::Duration,
    ) -> Vec<model::RequestId> {
        let Some(active) = &mut self.active else {
            return Vec::new();
        };
        let is_late = |waiter: &Waiter| now >= waiter.deadline + grace;
        let ids = active.waiters.iter().filter(|w| is_late(w)).map(|w| w.id);
        let ids = ids.collect();
        active.waiters.retain(|waiter| !is_late(waiter));
        ids
    }
}

impl RetryTimer {
    /// A timer that is due immediately.
    pub(super) fn new(now: model::Time) -> RetryTimer {
        RetryTimer {
            since: now,
            resend_at: now,
        }
    }

    /// Schedules the next transmission.  The wait is as long as the time since the first
    /// transmission, so that it doubles each time, and at least `min_interval`.
    pub(super) fn rescheduled(self, now: model::Time, min_interval: time::Duration) -> RetryTimer {
        RetryTimer {
            since: self.since,
            resend_at: now + min_interval.max(now.saturating_sub(self.since)),
        }
    }
}
