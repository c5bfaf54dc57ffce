//! Keys whose home is this process.

use std::{collections, sync, time};

use super::{
    action::{Action, Response, UnknownReason},
    context,
    key_table::{FindResult, KeyTable},
    limits, message,
    record::{Active, Delivery, HomeRecord, Phase, RetryTimer, Waiter},
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

pub(super) type Key = sync::Arc<model::IdempotencyKey>;

/// A request and the parameters that its home needs.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) id: model::RequestId,
    pub(super) key: Key,
    pub(super) fingerprint: u64,
    pub(super) deadline: model::Time,
    pub(super) retention: time::Duration,
    pub(super) witness_reachable: bool,
}

/// Keys whose home is this process.
#[derive(Debug)]
pub(super) struct Home {
    pub(super) table: KeyTable<HomeRecord>,
    pub(super) keys_by_waiter: collections::BTreeMap<model::RequestId, Key>,
    pub(super) running: collections::BTreeMap<model::RequestId, Key>,
    pub(super) active_keys: collections::BTreeSet<Key>,
    /// Keys whose outcome the witness did not acknowledge in time.
    pub(super) undelivered: collections::BTreeSet<Key>,
    pub(super) suspected_witnesses: collections::BTreeMap<model::Process, model::Time>,
    pub(super) limits: limits::Limits,
}

impl Home {
    pub(super) fn new(limits: limits::Limits) -> Home {
        Home {
            table: KeyTable::new(limits.clone()),
            keys_by_waiter: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            active_keys: collections::BTreeSet::new(),
            undelivered: collections::BTreeSet::new(),
            suspected_witnesses: collections::BTreeMap::new(),
            limits,
        }
    }

    /// Starts a request, adds it to the waiters of its key, or responds to it at once.
    pub(super) fn on_request(&mut self, req: Request, now: model::Time, cx: &mut context::Context) {
        if self.keys_by_waiter.contains_key(&req.id) {
            cx.counters.strays += 1;
            return;
        }
        let response = match self.table.find(&req.key, now) {
            FindResult::Record(record) => match record.join(&req, &self.limits, &mut cx.counters) {
                Some(response) => response,
                None => {
                    self.keys_by_waiter.insert(req.id, req.key);
                    return;
                }
            },
            FindResult::Refused(reason) => Response::NotRun(reason),
            FindResult::Forgotten => Response::Unknown(UnknownReason::Forgotten),
            FindResult::ClockAhead => Response::Unknown(UnknownReason::ClockAhead),
            FindResult::Absent => return self.start(req, now, cx),
        };
        cx.actions.push(Action::Respond {
            id: req.id,
            response,
        });
    }

    fn start(&mut self, req: Request, now: model::Time, cx: &mut context::Context) {
        if let Some(reason) = self.refusal_reason(&req, now, cx) {
            self.table.refuse(&req.key, reason);
            let response = Response::NotRun(reason);
            cx.actions.push(Action::Respond {
                id: req.id,
                response,
            });
            return;
        }
        let phase = match req.key.witness {
            Some(_) => Phase::Recording(Box::new(RetryTimer::new(now))),
            None => Phase::Running,
        };
        let waiter = Waiter {
            id: req.id,
            deadline: req.deadline,
        };
        let active = Active {
            deadline: req.deadline,
            retention: req.retention,
            waiters: vec![waiter],
        };
        let record = HomeRecord {
            fingerprint: req.fingerprint,
            active: Some(Box::new(active)),
            phase,
        };
        let key = req.key;
        self.keys_by_waiter.insert(req.id, key.clone());
        self.active_keys.insert(key.clone());
        self.table.insert(&key, record);
        if key.witness.is_some() {
            self.advance(&key, now, cx);
        } else {
            self.start_run(req.id, key, cx);
        }
    }

    fn refusal_reason(
        &self,
        req: &Request,
        now: model::Time,
        cx: &mut context::Context,
    ) -> Option<model::NotRunReason> {
        if req.deadline <= now {
            Some(model::NotRunReason::Deadline)
        } else if self.table.is_full() {
            cx.counters.full += 1;
            Some(model::NotRunReason::KeysFull)
        } else if req.key.witness.is_some() && !req.witness_reachable {
            cx.counters.no_witness += 1;
            Some(model::NotRunReason::NoWitness)
        } else {
            None
        }
    }

    fn start_run(&mut self, id: model::RequestId, key: Key, cx: &mut context::Context) {
        cx.counters.runs += 1;
        self.running.insert(id, key);
        cx.actions.push(Action::Run { id });
    }

    /// Handles the witness's reply to `Record`.
    pub(super) fn on_record_reply(
        &mut self,
        key: &model::IdempotencyKey,
        recorded: message::RecordStatus,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        self.update_witness_suspicion(key, recorded, now);
        let Some(record) = self.table.get_mut(key) else {
            cx.counters.strays += 1;
            return;
        };
        let (Phase::Recording(_), Some(active)) = (&record.phase, &record.active) else {
            cx.counters.strays += 1;
            return;
        };
        let is_late = now >= active.deadline;
        let first = active.waiters.first().map(|waiter| waiter.id);
        let key = sync::Arc::new(key.clone());
        let refused = match (recorded, first) {
            (message::RecordStatus::Full, _) => model::NotRunReason::KeysFull,
            (message::RecordStatus::Refused | message::RecordStatus::NotWitness, _) => {
                cx.counters.no_witness += 1;
                model::NotRunReason::NoWitness
            }
            (message::RecordStatus::Accepted, _) if is_late => model::NotRunReason::Deadline,
            (message::RecordStatus::Accepted, None) => model::NotRunReason::Cancelled,
            (message::RecordStatus::Accepted, Some(id)) => {
                record.phase = Phase::Running;
                return self.start_run(id, key, cx);
            }
        };
        self.finish(&key, RunOutcome::NotRun(refused), now, cx);
    }

    /// Marks a witness that can't record keys as suspected, which excludes it from selection for new
    /// keys, and clears the suspicion on any other reply.
    fn update_witness_suspicion(
        &mut self,
        key: &model::IdempotencyKey,
        recorded: message::RecordStatus,
        now: model::Time,
    ) {
        let Some(witness) = &key.witness else {
            return;
        };
        match recorded {
            message::RecordStatus::Accepted | message::RecordStatus::Refused => {
                self.suspected_witnesses.remove(witness);
            }
            message::RecordStatus::Full | message::RecordStatus::NotWitness => {
                let until = now + self.limits.suspicion;
                self.suspected_witnesses.insert(witness.clone(), until);
            }
        }
    }

    /// Handles the outcome of a run; returns false if this process did not run the request.
    pub(super) fn on_run_ended(
        &mut self,
        id: model::RequestId,
        outcome: RunOutcome,
        now: model::Time,
        cx: &mut context::Context,
    ) -> bool {
        let Some(key) = self.running.remove(&id) else {
            return false;
        };
        self.finish(&key, outcome, now, cx);
        true
    }

    pub(super) fn finish(
        &mut self,
        key: &Key,
        outcome: RunOutcome,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        let record = self.table.get_mut(key);
        let Some(active) = record.and_then(|record| record.active.as_mut()) else {
            return;
        };
        for waiter in active.waiters.drain(..) {
            self.keys_by_waiter.remove(&waiter.id);
            cx.actions.push(Action::Respond {
                id: waiter.id,
                response: Response::from(&outcome),
            });
        }
        let retention = match outcome {
            RunOutcome::NotRun(_) => self.limits.refusal_retention,
            _ => active.retention,
        };
        let stored = self.store_outcome(key, outcome, cx);
        let delivery = match key.witness {
            Some(_) => Delivery::Sending(Box::new(RetryTimer::new(now))),
            None => Delivery::Complete,
        };
        if let Some(record) = self.table.get_mut(key) {
            record.phase = Phase::Ended(stored, delivery);
        }
        self.table.set_expiry(key, now + retention);
        self.advance(key, now, cx);
    }

    fn store_outcome(
        &mut self,
        key: &Key,
        outcome: RunOutcome,
        cx: &mut context::Context,
    ) -> RunOutcome {
        if self.table.reserve_bytes(key, outcome.size_bytes()) {
            outcome
        } else {
            cx.counters.results_dropped += 1;
            outcome.without_result()
        }
    }

    /// Handles the witness's acknowledgement of the outcome.
    pub(super) fn on_close_reply(
        &mut self,
        key: &model::IdempotencyKey,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        match self.table.get_mut(key).map(|record| &mut record.phase) {
            Some(Phase::Ended(_, delivery)) => *delivery = Delivery::Complete,
            _ => cx.counters.strays += 1,
        }
        self.advance(&sync::Arc::new(key.clone()), now, cx);
    }

    /// Removes a waiter whose caller no longer waits.
    pub(super) fn on_cancelled(&mut self, id: model::RequestId) {
        let Some(key) = self.keys_by_waiter.remove(&id) else {
            return;
        };
        let record = self.table.get_mut(&key);
        if let Some(active) = record.and_then(|record| record.active.as_mut()) {
            active.waiters.retain(|waiter| waiter.id != id);
        }
    }

    /// Replies to a query of another host; an unseen key is refused from then on.
    pub(super) fn on_query(
        &mut self,
        key: &Key,
        fingerprint: u64,
        now: model::Time,
    ) -> message::KeyStatus {
        match self.table.find(key, now) {
            FindResult::Record(record) => record.status(fingerprint),
            FindResult::Refused(reason) => message::KeyStatus::Ended(RunOutcome::NotRun(reason)),
            FindResult::Forgotten | FindResult::ClockAhead => message::KeyStatus::Forgotten,
            FindResult::Absent => {
                let reason = model::NotRunReason::HomeGone;
                self.table.refuse(key, reason);
                message::KeyStatus::Ended(RunOutcome::NotRun(reason))
            }
        }
    }

    /// Whether nothing is running or waiting for the witness.
    pub(super) fn is_idle(&self) -> bool {
        self.active_keys.is_empty()
    }

    /// Whether a witness recently failed to reply or could not record a key.
    pub(super) fn is_suspected(&self, process: &model::Process) -> bool {
        self.suspected_witnesses.contains_key(process)
    }

    /// Sets the snapshot fields about keys whose home is this process.
    pub(super) fn fill_snapshot(&self, snapshot: &mut snapshot::Snapshot) {
        snapshot.home_keys = self.table.len();
        snapshot.home_refusals = self.table.refusal_count();
        snapshot.home_bytes = self.table.bytes();
        snapshot.horizon_unix_ms = self.table.horizon_unix_ms();
        for key in &self.active_keys {
            match self.table.get(key).map(|record| &record.phase) {
                Some(Phase::Recording(_)) => snapshot.recording += 1,
                Some(Phase::Running) => snapshot.running += 1,
                _ => snapshot.closing += 1,
            }
        }
    }
}
