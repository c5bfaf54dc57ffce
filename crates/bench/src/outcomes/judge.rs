//! What a run showed.

use std::{collections, time};

use yuccatide_steering::{dedup, model};

use super::{backend, event::Operation, process};

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Operations that callers began.
    pub operations: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Operations that were run more than once.
    pub run_twice: u64,
    /// Keys answered `not-run` that were run.
    pub not_run_but_ran: u64,
    /// Answers `done` with the result of another request, or without a run.
    pub wrong_answers: u64,
    /// Answers `done` of which a part was missing.
    pub truncated_answers: u64,
    /// Requests that a live process took and never answered.
    pub lost_answers: u64,
    /// Requests answered twice.
    pub repeated_answers: u64,
    /// Operations whose caller ended up without knowing whether it was run.
    pub unknown: u64,
    /// Operations that ended `done`.
    pub done: u64,
    /// Operations that ended `not-run`, after the caller's new keys.
    pub not_run: u64,
    /// Faults that began.
    pub faults: u64,
    /// Answers that were dropped because they matched no waiting attempt, or were cut.
    pub dropped_answers: u64,
    /// Keys refused because a table was full.
    pub keys_full: u64,
    /// Keys refused by a witness on the query of another host.
    pub fenced: u64,
    /// Unknown answers by reason.
    pub unknown_reasons: collections::BTreeMap<&'static str, u64>,
    /// Time from the first request of each operation to its first `done` answer.
    pub latencies: collections::BTreeMap<u64, time::Duration>,
}

/// Keeps what callers were told.
#[derive(Debug, Default)]
pub(super) struct Judge {
    pub(super) report: Report,
    not_run: collections::BTreeSet<(Operation, model::IdempotencyKey)>,
    done: collections::BTreeSet<Operation>,
}

impl Judge {
    /// Takes an answer to a request of an operation.
    pub(super) fn answer(
        &mut self,
        operation: Operation,
        key: &model::IdempotencyKey,
        answer: &dedup::Response,
    ) {
        match answer {
            dedup::Response::NotRun(_) => {
                self.not_run.insert((operation, key.clone()));
            }
            dedup::Response::Done(result) => {
                self.done.insert(operation);
                if let Some(result) = result {
                    self.check_result(operation, result);
                }
            }
            dedup::Response::Unknown(reason) => {
                let reasons = &mut self.report.unknown_reasons;
                *reasons.entry(reason.as_str()).or_default() += 1;
            }
        }
    }

    fn check_result(&mut self, operation: Operation, result: &dedup::StoredResult) {
        let expected = process::result(operation, process::whole_bytes() as usize);
        if expected.body != result.body {
            if expected.body.starts_with(&result.body) {
                self.report.truncated_answers += 1;
            } else {
                self.report.wrong_answers += 1;
            }
        }
    }

    /// Compares what callers were told with the log of the backend.
    pub(super) fn finish(mut self, backend: &backend::Backend) -> Report {
        let log = &backend.log;
        self.report.run_twice = log.values().filter(|runs| runs.len() > 1).count() as u64;
        let ran = |operation, key| log.get(operation).is_some_and(|runs| runs.contains(key));
        let false_not_run = self.not_run.iter().filter(|(op, key)| ran(op, key));
        self.report.not_run_but_ran = false_not_run.count() as u64;
        let without_run = self.done.iter().filter(|op| !log.contains_key(op));
        self.report.wrong_answers += without_run.count() as u64;
        self.report
    }
}

impl Report {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Report) {
        self.operations += other.operations;
        self.requests += other.requests;
        self.run_twice += other.run_twice;
        self.not_run_but_ran += other.not_run_but_ran;
        self.wrong_answers += other.wrong_answers;
        self.truncated_answers += other.truncated_answers;
        self.lost_answers += other.lost_answers;
        self.repeated_answers += other.repeated_answers;
        self.unknown += other.unknown;
        self.done += other.done;
        self.not_run += other.not_run;
        self.faults += other.faults;
        self.dropped_answers += other.dropped_answers;
        self.keys_full += other.keys_full;
        self.fenced += other.fenced;
    }

    /// Number of broken promises.
    pub fn violations(&self) -> u64 {
        self.run_twice
            + self.not_run_but_ran
            + self.wrong_answers
            + self.truncated_answers
            + self.lost_answers
            + self.repeated_answers
    }
}
