//! Keys whose home is this process.

use std::{collections, sync, time};

use super::{
    action::{Action, Response, UnknownReason},
    cx,
    ledger::{Found, Ledger},
    limits, message,
    record::{Active, Handover, Phase, Record, Sending, Waiter},
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

pub(super) type Key = sync::Arc<model::IdempotencyKey>;

/// A request as its home takes it.
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
    pub(super) ledger: Ledger<Record>,
    pub(super) waiting: collections::BTreeMap<model::RequestId, Key>,
    pub(super) runs: collections::BTreeMap<model::RequestId, Key>,
    pub(super) open: collections::BTreeSet<Key>,
    /// Keys whose end the witness did not acknowledge in time.
    pub(super) given_up: collections::BTreeSet<Key>,
    pub(super) suspects: collections::BTreeMap<model::Process, model::Time>,
    pub(super) limits: limits::Limits,
}

impl Home {
    pub(super) fn new(limits: limits::Limits) -> Home {
        Home {
            ledger: Ledger::new(limits.clone()),
            waiting: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            open: collections::BTreeSet::new(),
            given_up: collections::BTreeSet::new(),
            suspects: collections::BTreeMap::new(),
            limits,
        }
    }

    /// Takes a request.
    pub(super) fn on_request(&mut self, req: Request, now: model::Time, cx: &mut cx::Cx) {
        if self.waiting.contains_key(&req.id) {
            cx.counters.strays += 1;
            return;
        }
        let response = match self.ledger.find(&req.key, now) {
            Found::Record(record) => match record.join(&req, &self.limits, &mut cx.counters) {
                Some(response) => response,
                None => {
                    self.waiting.insert(req.id, req.key);
                    return;
                }
            },
            Found::Refused(reason) => Response::NotRun(reason),
            Found::Forgotten => Response::Unknown(UnknownReason::Forgotten),
            Found::ClockAhead => Response::Unknown(UnknownReason::ClockAhead),
            Found::Absent => return self.start(req, now, cx),
        };
        cx.out.push(Action::Respond {
            id: req.id,
            response,
        });
    }

    fn start(&mut self, req: Request, now: model::Time, cx: &mut cx::Cx) {
        if let Some(reason) = self.refusal(&req, now, cx) {
            self.ledger.refuse(&req.key, reason);
            let response = Response::NotRun(reason);
            cx.out.push(Action::Respond {
                id: req.id,
                response,
            });
            return;
        }
        let phase = match req.key.witness {
            Some(_) => Phase::Recording(Box::new(Sending::new(now))),
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
        let record = Record {
            fingerprint: req.fingerprint,
            active: Some(Box::new(active)),
            phase,
        };
        let key = req.key;
        self.waiting.insert(req.id, key.clone());
        self.open.insert(key.clone());
        self.ledger.insert(&key, record);
        if key.witness.is_some() {
            self.advance(&key, now, cx);
        } else {
            self.run(req.id, key, cx);
        }
    }

    fn refusal(
        &self,
        req: &Request,
        now: model::Time,
        cx: &mut cx::Cx,
    ) -> Option<model::NotRunReason> {
        if req.deadline <= now {
            Some(model::NotRunReason::Deadline)
        } else if self.ledger.is_full() {
            cx.counters.full += 1;
            Some(model::NotRunReason::KeysFull)
        } else if req.key.witness.is_some() && !req.witness_reachable {
            cx.counters.no_witness += 1;
            Some(model::NotRunReason::NoWitness)
        } else {
            None
        }
    }

    fn run(&mut self, id: model::RequestId, key: Key, cx: &mut cx::Cx) {
        cx.counters.runs += 1;
        self.runs.insert(id, key);
        cx.out.push(Action::Run { id });
    }

    /// Takes the answer of the witness to a record.
    pub(super) fn recorded(
        &mut self,
        key: &model::IdempotencyKey,
        recorded: message::RecordStatus,
        now: model::Time,
        cx: &mut cx::Cx,
    ) {
        self.judge_witness(key, recorded, now);
        let Some(record) = self.ledger.get_mut(key) else {
            cx.counters.strays += 1;
            return;
        };
        let (Phase::Recording(_), Some(active)) = (&record.phase, &record.active) else {
            cx.counters.strays += 1;
            return;
        };
        let late = now >= active.deadline;
        let first = active.waiters.first().map(|waiter| waiter.id);
        let key = sync::Arc::new(key.clone());
        let refused = match (recorded, first) {
            (message::RecordStatus::Full, _) => model::NotRunReason::KeysFull,
            (message::RecordStatus::Refused | message::RecordStatus::NotWitness, _) => {
                cx.counters.no_witness += 1;
                model::NotRunReason::NoWitness
            }
            (message::RecordStatus::Accepted, _) if late => model::NotRunReason::Deadline,
            (message::RecordStatus::Accepted, None) => model::NotRunReason::Cancelled,
            (message::RecordStatus::Accepted, Some(id)) => {
                record.phase = Phase::Running;
                return self.run(id, key, cx);
            }
        };
        self.finish(&key, RunOutcome::NotRun(refused), now, cx);
    }

    /// Chooses another witness for new keys where this one can't record them.
    fn judge_witness(
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
                self.suspects.remove(witness);
            }
            message::RecordStatus::Full | message::RecordStatus::NotWitness => {
                let until = now + self.limits.suspicion;
                self.suspects.insert(witness.clone(), until);
            }
        }
    }

    /// Takes the end of a run; false where this process did not run the request.
    pub(super) fn on_run_ended(
        &mut self,
        id: model::RequestId,
        end: RunOutcome,
        now: model::Time,
        cx: &mut cx::Cx,
    ) -> bool {
        let Some(key) = self.runs.remove(&id) else {
            return false;
        };
        self.finish(&key, end, now, cx);
        true
    }

    pub(super) fn finish(&mut self, key: &Key, end: RunOutcome, now: model::Time, cx: &mut cx::Cx) {
        let record = self.ledger.get_mut(key);
        let Some(active) = record.and_then(|record| record.active.as_mut()) else {
            return;
        };
        for waiter in active.waiters.drain(..) {
            self.waiting.remove(&waiter.id);
            cx.out.push(Action::Respond {
                id: waiter.id,
                response: Response::from(&end),
            });
        }
        let retention = match end {
            RunOutcome::NotRun(_) => self.limits.refusal_retention,
            _ => active.retention,
        };
        let kept = self.keep(key, end, cx);
        let handover = match key.witness {
            Some(_) => Handover::Sending(Box::new(Sending::new(now))),
            None => Handover::Complete,
        };
        if let Some(record) = self.ledger.get_mut(key) {
            record.phase = Phase::Ended(kept, handover);
        }
        self.ledger.keep_until(key, now + retention);
        self.advance(key, now, cx);
    }

    fn keep(&mut self, key: &Key, end: RunOutcome, cx: &mut cx::Cx) -> RunOutcome {
        if self.ledger.reserve(key, end.bytes()) {
            end
        } else {
            cx.counters.results_dropped += 1;
            end.without_result()
        }
    }

    /// Takes the acknowledgement of the witness that it knows the end.
    pub(super) fn closed(
        &mut self,
        key: &model::IdempotencyKey,
        now: model::Time,
        cx: &mut cx::Cx,
    ) {
        match self.ledger.get_mut(key).map(|record| &mut record.phase) {
            Some(Phase::Ended(_, handover)) => *handover = Handover::Complete,
            _ => cx.counters.strays += 1,
        }
        self.advance(&sync::Arc::new(key.clone()), now, cx);
    }

    /// Forgets that the caller of a request waits.
    pub(super) fn on_cancelled(&mut self, id: model::RequestId) {
        let Some(key) = self.waiting.remove(&id) else {
            return;
        };
        let record = self.ledger.get_mut(&key);
        if let Some(active) = record.and_then(|record| record.active.as_mut()) {
            active.waiters.retain(|waiter| waiter.id != id);
        }
    }

    /// Answers a query of another host; an unseen key is refused from then on.
    pub(super) fn query(
        &mut self,
        key: &Key,
        fingerprint: u64,
        now: model::Time,
    ) -> message::KeyStatus {
        match self.ledger.find(key, now) {
            Found::Record(record) => record.verdict(fingerprint),
            Found::Refused(reason) => message::KeyStatus::Ended(RunOutcome::NotRun(reason)),
            Found::Forgotten | Found::ClockAhead => message::KeyStatus::Forgotten,
            Found::Absent => {
                let reason = model::NotRunReason::HomeGone;
                self.ledger.refuse(key, reason);
                message::KeyStatus::Ended(RunOutcome::NotRun(reason))
            }
        }
    }

    /// Whether nothing is running or waits for the witness.
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether a witness did not answer lately.
    pub(super) fn suspects(&self, process: &model::Process) -> bool {
        self.suspects.contains_key(process)
    }

    /// Writes the state.
    pub(super) fn describe(&self, snapshot: &mut snapshot::Snapshot) {
        snapshot.home_keys = self.ledger.len();
        snapshot.home_refusals = self.ledger.refusals();
        snapshot.home_bytes = self.ledger.bytes();
        snapshot.horizon_unix_ms = self.ledger.horizon_unix_ms();
        for key in &self.open {
            match self.ledger.get(key).map(|record| &record.phase) {
                Some(Phase::Recording(_)) => snapshot.recording += 1,
                Some(Phase::Running) => snapshot.running += 1,
                _ => snapshot.closing += 1,
            }
        }
    }
}
