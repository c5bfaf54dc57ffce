//! Keys whose witness is this process.

use std::{sync, time};

use super::{
    key_table::{FindResult, KeyTable},
    limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

type Key = sync::Arc<model::IdempotencyKey>;

#[derive(Debug)]
struct WitnessRecord {
    fingerprint: u64,
    outcome: Option<RunOutcome>,
}

/// Keys whose witness is this process.
#[derive(Debug)]
pub(super) struct Witness {
    table: KeyTable<WitnessRecord>,
}

impl Witness {
    pub(super) fn new(limits: limits::Limits) -> Witness {
        Witness {
            table: KeyTable::new(limits),
        }
    }

    /// Records that the home is about to run a request.
    pub(super) fn on_record(
        &mut self,
        key: Key,
        fingerprint: u64,
        retention: time::Duration,
        now: model::Time,
    ) -> message::RecordStatus {
        let is_full = self.table.is_full();
        match self.table.find(&key, now) {
            FindResult::Record(record) if record.fingerprint == fingerprint => {
                message::RecordStatus::Accepted
            }
            FindResult::Record(_)
            | FindResult::Refused(_)
            | FindResult::Forgotten
            | FindResult::ClockAhead => message::RecordStatus::Refused,
            FindResult::Absent if is_full => message::RecordStatus::Full,
            FindResult::Absent => {
                let outcome = None;
                let record = WitnessRecord {
                    fingerprint,
                    outcome,
                };
                self.table.insert(&key, record);
                self.table.set_expiry(&key, now + retention);
                message::RecordStatus::Accepted
            }
        }
    }

    /// Stores the outcome of a run.
    pub(super) fn on_close(
        &mut self,
        key: Key,
        outcome: RunOutcome,
        retention: time::Duration,
        now: model::Time,
        counters: &mut snapshot::Counters,
    ) {
        if let RunOutcome::NotRun(reason) = outcome {
            self.table.refuse(&key, reason);
            return;
        }
        if !matches!(
            self.table.find(&key, now),
            FindResult::Record(WitnessRecord { outcome: None, .. })
        ) {
            return;
        }
        let stored = if self.table.reserve_bytes(&key, outcome.size_bytes()) {
            outcome
        } else {
            counters.results_dropped += 1;
            outcome.without_result()
        };
        if let Some(record) = self.table.get_mut(&key) {
            record.outcome = Some(stored);
        }
        self.table.set_expiry(&key, now + retention);
    }

    /// Replies to a query of another host; an unseen key is refused from then on.
    pub(super) fn on_query(
        &mut self,
        key: &Key,
        fingerprint: u64,
        now: model::Time,
        counters: &mut snapshot::Counters,
    ) -> message::KeyStatus {
        match self.table.find(key, now) {
            FindResult::Record(record) if record.fingerprint != fingerprint => {
                message::KeyStatus::Ended(RunOutcome::NotRun(model::NotRunReason::KeyReused))
            }
            FindResult::Record(WitnessRecord {
                outcome: Some(outcome),
                ..
            }) => message::KeyStatus::Ended(outcome.clone()),
            FindResult::Record(_) => message::KeyStatus::Started,
            FindResult::Refused(reason) => message::KeyStatus::Ended(RunOutcome::NotRun(reason)),
            FindResult::Forgotten | FindResult::ClockAhead => message::KeyStatus::Forgotten,
            FindResult::Absent => {
                counters.fenced += 1;
                let reason = model::NotRunReason::HomeGone;
                self.table.refuse(key, reason);
                message::KeyStatus::Ended(RunOutcome::NotRun(reason))
            }
        }
    }

    /// Evicts records and refusals past their retention.
    pub(super) fn tick(&mut self, now: model::Time) {
        self.table.expire(now);
    }

    /// Sets the snapshot fields about keys whose witness is this process.
    pub(super) fn fill_snapshot(&self, snapshot: &mut snapshot::Snapshot) {
        snapshot.witness_keys = self.table.len();
        snapshot.witness_refusals = self.table.refusal_count();
        snapshot.witness_bytes = self.table.bytes();
        let horizon = self.table.horizon_unix_ms();
        snapshot.horizon_unix_ms = snapshot.horizon_unix_ms.max(horizon);
    }
}
