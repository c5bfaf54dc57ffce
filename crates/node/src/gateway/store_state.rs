//! State of the platform's store, shared by the watches of all kinds of objects.

use std::{collections, sync::atomic, time};

use tokio::sync;
use yuccatide_steering::{gateway as decisions, model};

use super::activity_mark;

/// Delay after the first failed call; it doubles with each further one.
pub(super) const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest delay after a failed call. It bounds how late a change is seen once the store is back.
pub(super) const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Time within which a pending watch must deliver a change that another host has reported. The
/// store responds in one round trip, or in 250 ms while it is slow.
pub(super) const STALE_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Time between checks whether the verification of a kind is overdue; the rank of a host may change.
const OVERDUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// State that the watches of a store share: its availability, and how far any host has seen it come.
/// While the store is unavailable, one watch probes it and the others wait until a probe succeeds.
#[derive(Debug)]
pub struct StoreState {
    is_available: sync::watch::Sender<bool>,
    view: sync::watch::Sender<decisions::StoreView>,
    /// Place of this host in the order in which hosts verify what is known of the store.
    verifier_rank: atomic::AtomicU32,
    /// Delay after the next failed probe; the lock is held by the watch that probes.
    probe_backoff: sync::Mutex<time::Duration>,
    started: tokio::time::Instant,
}

/// Permission to call the store: `None` while the store is available; `Some` for the one watch that
/// probes an unavailable store, with the lock on the delay after the next failed probe.
pub(super) type CallPermit<'a> = Option<sync::MutexGuard<'a, time::Duration>>;

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            is_available: sync::watch::Sender::new(true),
            view: sync::watch::Sender::new(decisions::StoreView::default()),
            verifier_rank: atomic::AtomicU32::new(0),
            probe_backoff: sync::Mutex::new(INITIAL_BACKOFF),
            started: tokio::time::Instant::now(),
        }
    }
}

impl StoreState {
    /// Waits until the store may be called.
    pub(super) async fn acquire_permit(&self) -> CallPermit<'_> {
        let mut is_available = self.is_available.subscribe();
        loop {
            if *is_available.borrow_and_update() {
                return None;
            }
            tokio::select! {
                probe = self.probe_backoff.lock() => return Some(probe),
                // The sender lives as long as `self`.
                _ = is_available.changed() => {}
            }
        }
    }

    /// Present time of the view.
    fn now(&self) -> model::Time {
        self.started.elapsed()
    }

    /// How far the store has come, as far as this host knows, and how old that is.
    pub fn progress(&self) -> (decisions::StoreProgress, decisions::StoreChecks) {
        let now = self.now();
        let view = self.view.borrow();
        (view.progress().clone(), view.checks(now))
    }

    /// Newest era of the store that this host knows of; 0 if there is none.
    pub fn era(&self) -> decisions::StoreEra {
        self.view.borrow().progress().era
    }

    /// Position of the newest change of a kind that this host knows of.
    pub fn newest(&self, kind: &str) -> decisions::StoreRevision {
        self.view.borrow().progress().newest(kind)
    }

    /// Time since the last answer to a call that reads each kind.
    pub(super) fn answer_ages(&self) -> collections::BTreeMap<String, time::Duration> {
        let now = self.now();
        self.view.borrow().answer_ages(now)
    }

    /// Sets the place of this host in the order in which hosts verify.
    pub fn set_verifier_rank(&self, rank: decisions::VerifierRank) {
        self.verifier_rank.store(rank, atomic::Ordering::Relaxed);
    }

    fn verifier_rank(&self) -> decisions::VerifierRank {
        self.verifier_rank.load(atomic::Ordering::Relaxed)
    }

    /// Records an era that the store or another host names; returns whether it is newer.
    pub fn record_era(&self, era: decisions::StoreEra) -> bool {
        self.view.send_if_modified(|view| view.record_era(era))
    }

    /// Records a change that this host has seen; returns whether it is the newest.
    pub fn record(&self, kind: &str, at: decisions::StoreRevision) -> bool {
        self.view.send_if_modified(|view| view.record(kind, at))
    }

    /// Records an answer to a call that reads a kind, and the newest change read; returns the time
    /// since the answer before it.
    pub(super) fn record_answer(
        &self,
        kind: &str,
        read: decisions::StoreRevision,
    ) -> Option<time::Duration> {
        let now = self.now();
        let mut silence = None;
        self.view.send_if_modified(|view| {
            silence = view.record_answer(kind, read, now);
            false
        });
        silence
    }

    /// Records that the store itself has answered a watch since `listed`, the position of the last list:
    /// this verifies the kind if that is due.
    pub(super) fn record_store_answer(
        &self,
        kind: &str,
        interval: time::Duration,
        listed: decisions::StoreRevision,
    ) {
        let now = self.now();
        let rank = self.verifier_rank();
        self.view.send_if_modified(|view| {
            let before = view.progress().newest(kind);
            if view.is_verification_due(kind, rank, interval, now) {
                view.verify(kind, listed, now);
            }
            view.progress().newest(kind) != before
        });
    }

    /// Whether a host whose sources can't reach the store may call it itself; `since` is the time of its
    /// last call.
    pub(super) fn may_call_store(
        &self,
        kind: &str,
        interval: time::Duration,
        since: tokio::time::Instant,
    ) -> bool {
        let now = self.now();
        let last_call = since.saturating_duration_since(self.started);
        self.view
            .borrow()
            .may_call_store(kind, interval, last_call, now)
    }

    /// Takes over what another host reports; returns whether any of it is newer.
    pub fn adopt(
        &self,
        progress: &decisions::StoreProgress,
        checks: &decisions::StoreChecks,
        is_local: bool,
    ) -> bool {
        let now = self.now();
        self.view.send_if_modified(|view| {
            let is_newer = view.adopt(progress, checks, now);
            if is_newer && is_local {
                view.schedule_reports();
            }
            is_newer
        })
    }

    /// Whether there is something to report to other data centres; counts as reported once.
    pub(super) fn take_report(&self) -> bool {
        let mut is_due = false;
        self.view.send_if_modified(|view| {
            is_due = view.take_report();
            false
        });
        is_due
    }

    /// Time after which the next watch of a kind ends without changes; `None` for a long one.
    pub(super) fn watch_time(
        &self,
        kind: &str,
        interval: time::Duration,
    ) -> Option<time::Duration> {
        let now = self.now();
        let view = self.view.borrow();
        view.watch_time(kind, self.verifier_rank(), interval, now)
    }

    /// Waits until another host has seen a change newer than `since` and no part of the answer has
    /// arrived for `timeout`.  If a watch has not delivered the change by then, its connection is
    /// considered dead.
    pub async fn wait_until_stale(
        &self,
        kind: &str,
        since: decisions::StoreRevision,
        timeout: time::Duration,
        activity: &activity_mark::ActivityMark,
    ) {
        let is_newer = |view: &decisions::StoreView| view.progress().newest(kind) > since;
        if self.view.subscribe().wait_for(is_newer).await.is_ok() {
            activity.wait_until_silent(timeout).await;
        }
    }

    /// Waits until nobody has verified a kind for so long that this host has to do it itself.
    pub(super) async fn wait_until_overdue(&self, kind: &str, interval: time::Duration) {
        loop {
            let rank = self.verifier_rank();
            let overdue_at = self.view.borrow().overdue_at(kind, rank, interval);
            let left = overdue_at.map(|at| at.saturating_sub(self.now()));
            if left == Some(time::Duration::ZERO) {
                return;
            }
            let pause = left.map_or(OVERDUE_CHECK_INTERVAL, |left| {
                left.min(OVERDUE_CHECK_INTERVAL)
            });
            tokio::time::sleep(pause).await;
        }
    }

    /// Waits until the store is known to have come back from an older copy than `era` belongs to.
    pub async fn wait_until_restored(&self, era: decisions::StoreEra) {
        let is_newer = |view: &decisions::StoreView| view.progress().era > era;
        if self.view.subscribe().wait_for(is_newer).await.is_err() {
            // The sender lives as long as `self`.
            std::future::pending().await
        }
    }

    /// Records a successful call.
    pub(super) fn record_success(&self, permit: CallPermit<'_>) {
        if let Some(mut backoff) = permit {
            *backoff = INITIAL_BACKOFF;
        }
        self.is_available.send_replace(true);
    }

    /// Records a failed call and waits before the next probe.
    pub(super) async fn back_off(&self, permit: CallPermit<'_>, max_backoff: time::Duration) {
        self.is_available.send_replace(false);
        match permit {
            Some(mut backoff) => {
                tokio::time::sleep((*backoff).min(max_backoff)).await;
                *backoff = (*backoff * 2).min(MAX_BACKOFF);
            }
            None => tokio::time::sleep(INITIAL_BACKOFF).await,
        }
    }
}
