//! What a host knows of the platform's store, and when that was last known to be all.
//!
//! A watch without an answer does not show that nothing has changed: its connection may be silent.
//! One host therefore verifies each kind at short intervals, by a watch that ends soon, and the hosts
//! report to each other how long ago that was.  The others keep long watches, and abandon them when
//! they lack a change or when the verification is overdue.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::store_revision;
use crate::model;

/// Number of intervals between verifications after which a verification is overdue, and the host that
/// is next in turn verifies the kind, too.
const OVERDUE_INTERVALS: u32 = 2;

/// Further age for each host that comes before in turn.
const TAKEOVER_STEP: time::Duration = time::Duration::from_millis(100);

/// Number of hosts that take over in turn.  The other ones would only multiply the calls to a store
/// that is down.
const TAKEOVER_HOSTS: u32 = 3;

/// Age of a verification at which any host verifies the kind.
const MAX_AGE: time::Duration = time::Duration::from_secs(5);

/// Number of reports of a change to each other data centre; a datagram may be lost.
const REPORTS_PER_CHANGE: u8 = 2;

/// Place of a host in the order in which hosts verify; the one at 0 does it regularly.
pub type VerifierRank = u32;

/// How old the knowledge of a host is, and what it has read, in the era that the message names.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChecks {
    /// Time since it was verified that no change is newer than those that the message names, by kind.
    #[serde_as(as = "collections::BTreeMap<_, serde_with::DurationMilliSeconds<u64>>")]
    pub ages: collections::BTreeMap<String, time::Duration>,
    /// Revision of the newest change that the sender has read itself, by kind.
    pub read: collections::BTreeMap<String, u64>,
}

/// What a host knows of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    progress: store_revision::StoreProgress,
    /// When it was last verified that no change is newer than those of `progress`, by kind.
    verified: collections::BTreeMap<String, model::Time>,
    /// When the last call that reads a kind was answered.
    answered: collections::BTreeMap<String, model::Time>,
    /// Position of the newest change that this host has read, by kind.
    read: collections::BTreeMap<String, store_revision::StoreRevision>,
    /// Number of reports to other data centres that are still due.
    reports_left: u8,
}

impl StoreView {
    /// How far the store has come.
    pub fn progress(&self) -> &store_revision::StoreProgress {
        &self.progress
    }

    /// Records an era that the store or another host names; returns whether it is newer.
    pub fn record_era(&mut self, era: store_revision::StoreEra) -> bool {
        let is_newer = self.progress.record_era(era);
        if is_newer {
            self.verified.clear();
            self.schedule_reports();
        }
        is_newer
    }

    /// Records a change that this host has read; returns whether it is the newest known one.
    pub fn record(&mut self, kind: &str, at: store_revision::StoreRevision) -> bool {
        self.record_era(at.era);
        let is_newer = self.progress.record(kind, at);
        if is_newer {
            self.schedule_reports();
        }
        is_newer
    }

    /// Records an answer to a call that reads a kind, and the newest change that this host has read
    /// since; returns the time since the answer before it.
    pub fn record_answer(
        &mut self,
        kind: &str,
        read: store_revision::StoreRevision,
        now: model::Time,
    ) -> Option<time::Duration> {
        let known = self.read.entry(kind.to_string()).or_default();
        *known = read.max(*known);
        let last = self.answered.insert(kind.to_string(), now);
        last.map(|last| now.saturating_sub(last))
    }

    /// Records that the store has answered this host for all changes of a kind since `listed`, the
    /// position of its list.  Other hosts may lack what changed before.
    pub fn verify(&mut self, kind: &str, listed: store_revision::StoreRevision, now: model::Time) {
        self.record(kind, listed);
        if listed.era == self.progress.era {
            self.verified.insert(kind.to_string(), now);
            self.schedule_reports();
        }
    }

    /// Takes over what another host reports; returns whether any change is newer than those known.
    pub fn adopt(
        &mut self,
        progress: &store_revision::StoreProgress,
        checks: &StoreChecks,
        now: model::Time,
    ) -> bool {
        self.record_era(progress.era);
        let is_newer = self.progress.adopt(progress);
        if progress.era == self.progress.era {
            for (kind, age) in &checks.ages {
                let at = now.saturating_sub(*age);
                let known = self.verified.entry(kind.clone()).or_insert(at);
                *known = at.max(*known);
            }
        }
        is_newer
    }

    /// What to report to other hosts beside the progress.
    pub fn checks(&self, now: model::Time) -> StoreChecks {
        let verified = self.verified.iter();
        let ages = verified.map(|(kind, at)| (kind.clone(), now.saturating_sub(*at)));
        let read = self.read.iter();
        let read = read.filter(|(_, at)| at.era == self.progress.era);
        StoreChecks {
            ages: ages.collect(),
            read: read.map(|(kind, at)| (kind.clone(), at.revision)).collect(),
        }
    }

    /// Whether a report to other data centres is due; counts as sent.
    pub fn take_report(&mut self) -> bool {
        let has_news = self.reports_left > 0;
        self.reports_left = self.reports_left.saturating_sub(1);
        has_news
    }

    /// Schedules reports of a change to other data centres.
    pub fn schedule_reports(&mut self) {
        self.reports_left = REPORTS_PER_CHANGE;
    }

    /// Time since a kind was verified.
    pub fn age(&self, kind: &str, now: model::Time) -> Option<time::Duration> {
        self.verified.get(kind).map(|at| now.saturating_sub(*at))
    }

    /// Time since the last answer to a call that reads each kind.
    pub fn answer_ages(&self, now: model::Time) -> collections::BTreeMap<String, time::Duration> {
        let answered = self.answered.iter();
        answered
            .map(|(kind, at)| (kind.clone(), now.saturating_sub(*at)))
            .collect()
    }

    /// Time after which the next watch of a kind, which is verified at `interval`, ends without
    /// changes; `None` for a long one.
    pub fn watch_time(
        &self,
        kind: &str,
        rank: VerifierRank,
        interval: time::Duration,
        now: model::Time,
    ) -> Option<time::Duration> {
        (rank == 0).then(|| {
            let age = self.age(kind, now).unwrap_or_default();
            interval.saturating_sub(age)
        })
    }

    /// Whether an answer of the store to this host is to verify a kind for all hosts.
    pub fn is_verification_due(
        &self,
        kind: &str,
        rank: VerifierRank,
        interval: time::Duration,
        now: model::Time,
    ) -> bool {
        let age = self.age(kind, now);
        rank == 0 || age.is_none_or(|age| age >= interval * OVERDUE_INTERVALS)
    }

    /// Whether a host whose sources can't reach the store may call it itself: the store is known to
    /// serve others, or nothing has been heard of it for long.
    pub fn may_call_store(
        &self,
        kind: &str,
        interval: time::Duration,
        last_call: model::Time,
        now: model::Time,
    ) -> bool {
        let age = self.age(kind, now);
        age.is_none_or(|age| age < interval * OVERDUE_INTERVALS) || now >= last_call + MAX_AGE
    }

    /// Time from which neither the last answer to this host nor the verification by another one is
    /// recent enough, so that it has to verify a kind itself; `None` if it does so regularly.
    pub fn overdue_at(
        &self,
        kind: &str,
        rank: VerifierRank,
        interval: time::Duration,
    ) -> Option<model::Time> {
        let before_own = rank.checked_sub(1)?;
        let age = match before_own < TAKEOVER_HOSTS {
            true => interval * OVERDUE_INTERVALS + TAKEOVER_STEP * before_own,
            false => MAX_AGE,
        };
        let verified = self.verified.get(kind).copied().unwrap_or_default();
        let answered = self.answered.get(kind).copied().unwrap_or_default();
        Some(verified.max(answered) + age)
    }
}
