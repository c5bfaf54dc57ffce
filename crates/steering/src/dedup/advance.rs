//! What the home does for its keys as time passes.

use std::mem;

use super::{
    action::{Action, Response, UnknownReason},
    cx,
    home::{Home, Key},
    message,
    record::{Handover, Phase, Sending},
    run_outcome::RunOutcome,
};
use crate::model;

impl Home {
    /// Sends again, gives up and forgets what is due.
    pub(super) fn tick(&mut self, now: model::Time, cx: &mut cx::Cx) {
        for key in self.open.clone() {
            self.advance(&key, now, cx);
        }
        self.suspects.retain(|_, until| *until > now);
        if self.ledger.expire(now) {
            let ledger = &self.ledger;
            self.given_up.retain(|key| ledger.get(key).is_some());
        }
    }

    /// Sends the ends again that the witness has not acknowledged.
    pub(super) fn hand_over(&mut self, now: model::Time, cx: &mut cx::Cx) {
        for key in mem::take(&mut self.given_up) {
            let record = self.ledger.get_mut(&key);
            if let Some(Phase::Ended(_, handover)) = record.map(|record| &mut record.phase) {
                *handover = Handover::Sending(Box::new(Sending::new(now)));
                self.open.insert(key);
            }
        }
        self.tick(now, cx);
    }

    /// Does what is due for a key.
    pub(super) fn advance(&mut self, key: &Key, now: model::Time, cx: &mut cx::Cx) {
        let Some(record) = self.ledger.get_mut(key) else {
            self.open.remove(key);
            return;
        };
        match &record.phase {
            Phase::Recording(sending) => {
                let sending = **sending;
                self.advance_recording(key, sending, now, cx);
            }
            Phase::Running => {
                let overdue = record.overdue(now, self.limits.deadline_grace);
                for id in overdue {
                    self.waiting.remove(&id);
                    let response = Response::Unknown(UnknownReason::Deadline);
                    cx.out.push(Action::Respond { id, response });
                }
            }
            Phase::Ended(_, Handover::Sending(sending)) => {
                let sending = **sending;
                self.advance_handover(key, sending, now, cx);
            }
            Phase::Ended(_, Handover::GivenUp) => {
                self.open.remove(key);
            }
            Phase::Ended(end, Handover::Complete) => {
                let refused = match end {
                    RunOutcome::NotRun(reason) => Some(*reason),
                    _ => None,
                };
                record.active = None;
                self.open.remove(key);
                self.given_up.remove(key);
                if let Some(reason) = refused {
                    self.ledger.refuse(key, reason);
                }
            }
        }
    }

    fn advance_recording(
        &mut self,
        key: &Key,
        sending: Sending,
        now: model::Time,
        cx: &mut cx::Cx,
    ) {
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        let Some(active) = &record.active else {
            return;
        };
        let refused = if now >= active.deadline {
            model::NotRunReason::Deadline
        } else if now >= sending.since + self.limits.witness_timeout {
            cx.counters.no_witness += 1;
            model::NotRunReason::NoWitness
        } else {
            if now >= sending.resend_at {
                let message = message::Message::Record {
                    key: key.as_ref().clone(),
                    fingerprint: record.fingerprint,
                    retention: active.retention,
                };
                let again = sending.again(now, self.limits.resend);
                record.phase = Phase::Recording(Box::new(again));
                send_to_witness(key, message, &mut cx.out);
            }
            return;
        };
        if let Some(witness) = &key.witness {
            let until = now + self.limits.suspicion;
            self.suspects.insert(witness.clone(), until);
        }
        self.finish(key, RunOutcome::NotRun(refused), now, cx);
    }

    fn advance_handover(&mut self, key: &Key, sending: Sending, now: model::Time, cx: &mut cx::Cx) {
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        let (Phase::Ended(end, handover), Some(active)) = (&mut record.phase, &record.active)
        else {
            return;
        };
        if now >= sending.since + self.limits.close_timeout {
            *handover = Handover::GivenUp;
            self.open.remove(key);
            self.given_up.insert(key.clone());
        } else if now >= sending.resend_at {
            let again = sending.again(now, self.limits.resend);
            *handover = Handover::Sending(Box::new(again));
            let message = message::Message::Close {
                key: key.as_ref().clone(),
                fingerprint: record.fingerprint,
                end: end.clone(),
                retention: active.retention,
            };
            send_to_witness(key, message, &mut cx.out);
        }
    }
}

fn send_to_witness(key: &model::IdempotencyKey, message: message::Message, out: &mut Vec<Action>) {
    if let Some(witness) = &key.witness {
        let to = witness.host.clone();
        out.push(Action::Send { to, message });
    }
}
