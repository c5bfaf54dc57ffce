//! Requests that crash the backend servers that run them, as a host knows them.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{request, server};
use crate::model;

/// Number of backend servers that crash under a request before no host sends it any more.  Requests
/// that only run beside such a one are in progress at one crash, seldom at two.
const MAX_CRASHES: usize = 3;

/// Time for which a single crash counts against the requests that were in progress.
const CRASH_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Time after the last crash for which a request is blocked.  Then it is tried again: the servers may
/// have been mended, and one more crash blocks it again.
const BLOCK_TIME: time::Duration = time::Duration::from_secs(600);

/// Time for which an answer shows that a request does not crash servers.
const ANSWER_MEMORY: time::Duration = time::Duration::from_secs(10);

/// Largest number of answered requests that are remembered, the last ones.
const MAX_ANSWERED: usize = 4096;

/// Largest number of requests that are held, the ones with most and latest crashes.
const MAX_SUSPECTS: usize = 1024;

/// Time for which each message to other hosts contains a crash or an answer.
const REPORT_TIME: time::Duration = time::Duration::from_secs(2);

/// Largest number of recent crashes and answers in one message.
const MAX_RECENT_REPORTS: usize = 24;

/// Blocked requests named in each message, in turn, for hosts that have started since.
const BLOCKED_PER_MESSAGE: usize = 2;

/// A crash of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the server's name.
    pub server: u64,
    /// Its incarnation.
    pub incarnation: model::Incarnation,
}

impl Crash {
    /// Crash of the backend server with this entry.
    pub fn of(entry: &server::ServerEntry) -> Crash {
        Crash {
            server: server::name_hash(&entry.id),
            incarnation: entry.incarnation,
        }
    }
}

/// What a host reports to others of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: request::Fingerprint,
    /// Crash of a server that had the request in progress; `None` for an answer to it.
    pub crash: Option<Crash>,
    /// Time since the crash or the answer.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: time::Duration,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Last crashes, each of another server or incarnation, oldest first.
    crashes: Vec<(Crash, model::Time)>,
    /// Time of the last answer, if there was one since the first crash.
    answered_at: Option<model::Time>,
}

impl Suspect {
    fn last_crash(&self) -> Option<model::Time> {
        self.crashes.last().map(|(_, at)| *at)
    }

    fn is_blocked(&self, now: model::Time) -> bool {
        let is_recent = |at| now < at + BLOCK_TIME;
        self.crashes.len() >= MAX_CRASHES && self.last_crash().is_some_and(is_recent)
    }

    fn is_needed(&self, now: model::Time) -> bool {
        let memory = match self.crashes.len() >= MAX_CRASHES {
            true => BLOCK_TIME * 2,
            false => CRASH_MEMORY,
        };
        let is_crash_recent = self.last_crash().is_some_and(|at| now < at + memory);
        let is_answer_recent = self.answered_at.is_some_and(|at| now < at + ANSWER_MEMORY);
        is_crash_recent || is_answer_recent
    }

    fn reports(
        &self,
        fingerprint: request::Fingerprint,
        now: model::Time,
    ) -> impl Iterator<Item = CrashReport> {
        let crashes = self.crashes.iter().map(|(crash, at)| (Some(*crash), *at));
        let answer = self.answered_at.map(|at| (None, at));
        crashes.chain(answer).map(move |(crash, at)| CrashReport {
            fingerprint,
            crash,
            age: now.saturating_sub(at),
        })
    }
}

/// Requests that were in progress at backend servers that crashed, by their fingerprints.
///
/// All hosts hold the same: they report crashes to each other, and a request that has crashed
/// [`MAX_CRASHES`] servers is blocked on all of them.  An answer to a request shows that it does not
/// crash servers, and ends its suspicion.
#[derive(Debug, Default)]
pub struct CrashBook {
    suspects: collections::BTreeMap<request::Fingerprint, Suspect>,
    answered: collections::HashMap<request::Fingerprint, model::Time>,
    /// The same in the order of the answers; one that was answered again stands there twice.
    answers: collections::VecDeque<(request::Fingerprint, model::Time)>,
    /// Blocked request that was named last in a message.
    last_reported: Option<request::Fingerprint>,
    /// Whether a request was blocked since other data centres were last told.
    has_urgent_reports: bool,
}

impl CrashBook {
    /// Records that a backend server crashed with a request in progress; returns whether that blocks
    /// the request.
    pub fn record(
        &mut self,
        fingerprint: request::Fingerprint,
        crash: Crash,
        at: model::Time,
        now: model::Time,
    ) -> bool {
        let answered = self.answered.get(&fingerprint);
        if answered.is_some_and(|answered| at < *answered + ANSWER_MEMORY) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_answered = suspect.answered_at.is_some_and(|answered| at <= answered);
        if is_answered || suspect.crashes.iter().any(|(known, _)| *known == crash) {
            return false;
        }
        let was_blocked = suspect.is_blocked(now);
        suspect.crashes.push((crash, at));
        suspect.crashes.sort_by_key(|(_, at)| *at);
        if suspect.crashes.len() > MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        let is_newly_blocked = !was_blocked && suspect.is_blocked(now);
        self.has_urgent_reports |= is_newly_blocked;
        is_newly_blocked
    }

    /// Records a complete answer to a request.
    pub fn record_answer(&mut self, fingerprint: request::Fingerprint, now: model::Time) {
        self.answered.insert(fingerprint, now);
        self.answers.push_back((fingerprint, now));
        if self.answers.len() > MAX_ANSWERED {
            self.forget_oldest_answer();
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.crashes.clear();
            suspect.answered_at = Some(now);
        }
    }

    /// Whether a request must not be sent.
    pub fn is_blocked(&self, fingerprint: request::Fingerprint, now: model::Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_blocked(now))
    }

    /// Time until a blocked request is tried again.
    pub fn blocked_for(
        &self,
        fingerprint: request::Fingerprint,
        now: model::Time,
    ) -> time::Duration {
        let suspect = self.suspects.get(&fingerprint);
        let last = suspect.and_then(Suspect::last_crash);
        last.map_or(time::Duration::ZERO, |at| {
            (at + BLOCK_TIME).saturating_sub(now)
        })
    }

    /// Number of blocked requests.
    pub fn blocked_count(&self, now: model::Time) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_blocked(now)).count()
    }

    /// Takes over the reports of another host; returns the requests that they block.
    pub fn adopt(
        &mut self,
        reports: &[CrashReport],
        now: model::Time,
    ) -> Vec<request::Fingerprint> {
        let mut blocked = Vec::new();
        for report in reports {
            let at = now.saturating_sub(report.age);
            match report.crash {
                Some(crash) if self.record(report.fingerprint, crash, at, now) => {
                    blocked.push(report.fingerprint);
                }
                Some(_) => {}
                None => self.adopt_answer(report.fingerprint, at),
            }
        }
        blocked
    }

    fn adopt_answer(&mut self, fingerprint: request::Fingerprint, at: model::Time) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.crashes.retain(|(_, crashed)| *crashed > at);
            suspect.answered_at = suspect.answered_at.max(Some(at));
        }
    }

    /// What to report to other hosts: recent crashes and answers, those of requests with most crashes
    /// first, and some of the blocked requests in turn.
    pub fn reports(&mut self, now: model::Time) -> Vec<CrashReport> {
        let mut recent: Vec<(usize, CrashReport)> = self
            .suspects
            .iter()
            .flat_map(|(fingerprint, suspect)| {
                let crashes = suspect.crashes.len();
                suspect
                    .reports(*fingerprint, now)
                    .map(move |report| (crashes, report))
            })
            .filter(|(_, report)| report.age < REPORT_TIME)
            .collect();
        recent.sort_by_key(|(crashes, report)| {
            (std::cmp::Reverse(*crashes), report.age, report.fingerprint)
        });
        recent.truncate(MAX_RECENT_REPORTS);
        let mut reports: Vec<CrashReport> = recent.into_iter().map(|(_, report)| report).collect();
        for fingerprint in self.blocked_in_turn(now) {
            reports.extend(self.suspects[&fingerprint].reports(fingerprint, now));
        }
        reports
    }

    /// Whether a request was blocked since the last call, so that other data centres should be told
    /// at once.
    pub fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.has_urgent_reports)
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: model::Time) {
        self.suspects.retain(|_, suspect| suspect.is_needed(now));
        while self.suspects.len() > MAX_SUSPECTS {
            let weakest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_crash()));
            let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) else {
                break;
            };
            self.suspects.remove(&fingerprint);
        }
        let is_old = |at: model::Time| now >= at + ANSWER_MEMORY;
        while self.answers.front().is_some_and(|(_, at)| is_old(*at)) {
            self.forget_oldest_answer();
        }
    }

    fn forget_oldest_answer(&mut self) {
        if let Some((fingerprint, at)) = self.answers.pop_front()
            && self.answered.get(&fingerprint) == Some(&at)
        {
            self.answered.remove(&fingerprint);
        }
    }

    fn blocked_in_turn(&mut self, now: model::Time) -> Vec<request::Fingerprint> {
        let blocked: Vec<request::Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_blocked(now))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let start = blocked.partition_point(|fingerprint| Some(*fingerprint) <= self.last_reported);
        let (before, after) = blocked.split_at(start);
        let next: Vec<request::Fingerprint> = after
            .iter()
            .chain(before)
            .take(BLOCKED_PER_MESSAGE)
            .copied()
            .collect();
        self.last_reported = next.last().copied();
        next
    }
}
