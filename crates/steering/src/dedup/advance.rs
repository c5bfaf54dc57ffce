//! Time-driven transitions of the keys at their home.

use std::mem;

use super::{
    action::{Action, Response, UnknownReason},
    context,
    home::{Home, Key},
    message,
    record::{Delivery, Phase, RetryTimer},
    run_outcome::RunOutcome,
};
use crate::model;

impl Home {
    /// Processes timers: retransmissions, time-outs and expiry.
    pub(super) fn tick(&mut self, now: model::Time, cx: &mut context::Context) {
        for key in self.active_keys.clone() {
            self.advance(&key, now, cx);
        }
        self.suspected_witnesses.retain(|_, until| *until > now);
        if self.table.expire(now) {
            let table = &self.table;
            self.undelivered.retain(|key| table.get(key).is_some());
        }
    }

    /// Restarts the delivery of outcomes that the witness has not acknowledged.
    pub(super) fn resend_outcomes(&mut self, now: model::Time, cx: &mut context::Context) {
        for key in mem::take(&mut self.undelivered) {
            let record = self.table.get_mut(&key);
            if let Some(Phase::Ended(_, delivery)) = record.map(|record| &mut record.phase) {
                *delivery = Delivery::Sending(Box::new(RetryTimer::new(now)));
                self.active_keys.insert(key);
            }
        }
        self.tick(now, cx);
    }

    /// Performs the transitions that are due for a key.
    pub(super) fn advance(&mut self, key: &Key, now: model::Time, cx: &mut context::Context) {
        let Some(record) = self.table.get_mut(key) else {
            self.active_keys.remove(key);
            return;
        };
        match &record.phase {
            Phase::Recording(timer) => {
                let timer = **timer;
                self.advance_recording(key, timer, now, cx);
            }
            Phase::Running => {
                let overdue = record.take_overdue(now, self.limits.deadline_grace);
                for id in overdue {
                    self.keys_by_waiter.remove(&id);
                    let response = Response::Unknown(UnknownReason::Deadline);
                    cx.actions.push(Action::Respond { id, response });
                }
            }
            Phase::Ended(_, Delivery::Sending(timer)) => {
                let timer = **timer;
                self.advance_delivery(key, timer, now, cx);
            }
            Phase::Ended(_, Delivery::GivenUp) => {
                self.active_keys.remove(key);
            }
            Phase::Ended(outcome, Delivery::Complete) => {
                let refused = match outcome {
                    RunOutcome::NotRun(reason) => Some(*reason),
                    _ => None,
                };
                record.active = None;
                self.active_keys.remove(key);
                self.undelivered.remove(key);
                if let Some(reason) = refused {
                    self.table.refuse(key, reason);
                }
            }
        }
    }

    fn advance_recording(
        &mut self,
        key: &Key,
        timer: RetryTimer,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        let Some(active) = &record.active else {
            return;
        };
        let refused = if now >= active.deadline {
            model::NotRunReason::Deadline
        } else if now >= timer.since + self.limits.witness_timeout {
            cx.counters.no_witness += 1;
            model::NotRunReason::NoWitness
        } else {
            if now >= timer.resend_at {
                let message = message::Message::Record {
                    key: key.as_ref().clone(),
                    fingerprint: record.fingerprint,
                    retention: active.retention,
                };
                let next = timer.rescheduled(now, self.limits.resend);
                record.phase = Phase::Recording(Box::new(next));
                send_to_witness(key, message, &mut cx.actions);
            }
            return;
        };
        if let Some(witness) = &key.witness {
            let until = now + self.limits.suspicion;
            self.suspected_witnesses.insert(witness.clone(), until);
        }
        self.finish(key, RunOutcome::NotRun(refused), now, cx);
    }

    fn advance_delivery(
        &mut self,
        key: &Key,
        timer: RetryTimer,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        let (Phase::Ended(outcome, delivery), Some(active)) = (&mut record.phase, &record.active)
        else {
            return;
        };
        if now >= timer.since + self.limits.close_timeout {
            *delivery = Delivery::GivenUp;
            self.active_keys.remove(key);
            self.undelivered.insert(key.clone());
        } else if now >= timer.resend_at {
            let next = timer.rescheduled(now, self.limits.resend);
            *delivery = Delivery::Sending(Box::new(next));
            let message = message::Message::Close {
                key: key.as_ref().clone(),
                fingerprint: record.fingerprint,
                end: outcome.clone(),
                retention: active.retention,
            };
            send_to_witness(key, message, &mut cx.actions);
        }
    }
}

fn send_to_witness(key: &model::IdempotencyKey, message: message::Message, out: &mut Vec<Action>) {
    if let Some(witness) = &key.witness {
        let to = witness.host.clone();
        out.push(Action::Send { to, message });
    }
}
