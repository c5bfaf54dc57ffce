//! Keys whose witness is this process.

use std::{sync, time};

use super::{
    ledger::{Found, Ledger},
    limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

type Key = sync::Arc<model::IdempotencyKey>;

#[derive(Debug)]
struct Record {
    fingerprint: u64,
    end: Option<RunOutcome>,
}

/// Keys whose witness is this process.
#[derive(Debug)]
pub(super) struct Witness {
    ledger: Ledger<Record>,
}

impl Witness {
    pub(super) fn new(limits: limits::Limits) -> Witness {
        Witness {
            ledger: Ledger::new(limits),
        }
    }

    /// Records that the home is about to run a request.
    pub(super) fn record(
        &mut self,
        key: Key,
        fingerprint: u64,
        retention: time::Duration,
        now: model::Time,
    ) -> message::RecordStatus {
        let full = self.ledger.is_full();
        match self.ledger.find(&key, now) {
            Found::Record(record) if record.fingerprint == fingerprint => {
                message::RecordStatus::Accepted
            }
            Found::Record(_) | Found::Refused(_) | Found::Forgotten | Found::ClockAhead => {
                message::RecordStatus::Refused
            }
            Found::Absent if full => message::RecordStatus::Full,
            Found::Absent => {
                let end = None;
                let record = Record { fingerprint, end };
                self.ledger.insert(&key, record);
                self.ledger.keep_until(&key, now + retention);
                message::RecordStatus::Accepted
            }
        }
    }

    /// Records how a run ended.
    pub(super) fn close(
        &mut self,
        key: Key,
        end: RunOutcome,
        retention: time::Duration,
        now: model::Time,
        counters: &mut snapshot::Counters,
    ) {
        if let RunOutcome::NotRun(reason) = end {
            self.ledger.refuse(&key, reason);
            return;
        }
        if !matches!(
            self.ledger.find(&key, now),
            Found::Record(Record { end: None, .. })
        ) {
            return;
        }
        let kept = if self.ledger.reserve(&key, end.bytes()) {
            end
        } else {
            counters.results_dropped += 1;
            end.without_result()
        };
        if let Some(record) = self.ledger.get_mut(&key) {
            record.end = Some(kept);
        }
        self.ledger.keep_until(&key, now + retention);
    }

    /// Answers a query of another host; an unseen key is refused from then on.
    pub(super) fn query(
        &mut self,
        key: &Key,
        fingerprint: u64,
        now: model::Time,
        counters: &mut snapshot::Counters,
    ) -> message::KeyStatus {
        match self.ledger.find(key, now) {
            Found::Record(record) if record.fingerprint != fingerprint => {
                message::KeyStatus::Ended(RunOutcome::NotRun(model::NotRunReason::KeyReused))
            }
            Found::Record(Record { end: Some(end), .. }) => message::KeyStatus::Ended(end.clone()),
            Found::Record(_) => message::KeyStatus::Started,
            Found::Refused(reason) => message::KeyStatus::Ended(RunOutcome::NotRun(reason)),
            Found::Forgotten | Found::ClockAhead => message::KeyStatus::Forgotten,
            Found::Absent => {
                counters.fenced += 1;
                let reason = model::NotRunReason::HomeGone;
                self.ledger.refuse(key, reason);
                message::KeyStatus::Ended(RunOutcome::NotRun(reason))
            }
        }
    }

    /// Forgets what is past its retention.
    pub(super) fn tick(&mut self, now: model::Time) {
        self.ledger.expire(now);
    }

    /// Writes the state.
    pub(super) fn describe(&self, snapshot: &mut snapshot::Snapshot) {
        snapshot.witness_keys = self.ledger.len();
        snapshot.witness_refusals = self.ledger.refusals();
        snapshot.witness_bytes = self.ledger.bytes();
        let horizon = self.ledger.horizon_unix_ms();
        snapshot.horizon_unix_ms = snapshot.horizon_unix_ms.max(horizon);
    }
}
