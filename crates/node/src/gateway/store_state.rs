//! State of the platform's store, shared by the watches of all kinds of objects.

use std::{collections, sync as std_sync, time};

use tokio::sync;
use yuccatide_steering::gateway as decisions;

/// Delay after the first failed call; it doubles with each further one.
pub(super) const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest delay after a failed call. It bounds how late a change is seen once the store is back.
pub(super) const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Time within which a pending watch must deliver a change that another host has reported. The
/// store responds in one round trip, or in 250 ms while it is slow.
pub(super) const STALE_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// State that the watches of a store share: its availability, and how far any host has seen it come.
/// While the store is unavailable, one watch probes it and the others wait until a probe succeeds.
#[derive(Debug)]
pub struct StoreState {
    is_available: sync::watch::Sender<bool>,
    progress: sync::watch::Sender<decisions::StoreProgress>,
    /// Delay after the next failed probe; the lock is held by the watch that probes.
    probe_backoff: sync::Mutex<time::Duration>,
    /// When the last call that read a kind was answered, by the store or by another host.
    answered: std_sync::Mutex<collections::BTreeMap<String, tokio::time::Instant>>,
}

/// Permission to call the store: `None` while the store is available; `Some` for the one watch that
/// probes an unavailable store, with the lock on the delay after the next failed probe.
pub(super) type CallPermit<'a> = Option<sync::MutexGuard<'a, time::Duration>>;

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            is_available: sync::watch::Sender::new(true),
            progress: sync::watch::Sender::new(decisions::StoreProgress::default()),
            probe_backoff: sync::Mutex::new(INITIAL_BACKOFF),
            answered: std_sync::Mutex::default(),
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

    /// How far the store has come, as far as this host knows.
    pub fn progress(&self) -> decisions::StoreProgress {
        self.progress.borrow().clone()
    }

    /// Newest era of the store that this host knows of; 0 if there is none.
    pub fn era(&self) -> decisions::StoreEra {
        self.progress.borrow().era
    }

    /// Position of the newest change of a kind that this host knows of.
    pub fn newest(&self, kind: &str) -> decisions::StoreRevision {
        self.progress.borrow().newest(kind)
    }

    /// Records an answer to a call that reads a kind; returns the time since the one before.
    pub(super) fn record_answer(
        &self,
        kind: &str,
        now: tokio::time::Instant,
    ) -> Option<time::Duration> {
        let last = self.lock_answered().insert(kind.to_string(), now);
        last.map(|last| now.saturating_duration_since(last))
    }

    /// Time since the last answer to a call that reads each kind.
    pub(super) fn answer_ages(
        &self,
        now: tokio::time::Instant,
    ) -> collections::BTreeMap<String, time::Duration> {
        let answered = self.lock_answered();
        let ages = answered.iter();
        ages.map(|(kind, at)| (kind.clone(), now.saturating_duration_since(*at)))
            .collect()
    }

    fn lock_answered(
        &self,
    ) -> std_sync::MutexGuard<'_, collections::BTreeMap<String, tokio::time::Instant>> {
        self.answered
            .lock()
            .unwrap_or_else(std_sync::PoisonError::into_inner)
    }

    /// Records an era that the store or another host names; returns whether it is newer.
    pub fn record_era(&self, era: decisions::StoreEra) -> bool {
        self.progress
            .send_if_modified(|progress| progress.record_era(era))
    }

    /// Records a change that this host has seen; returns whether it is the newest.
    pub fn record(&self, kind: &str, at: decisions::StoreRevision) -> bool {
        self.progress
            .send_if_modified(|progress| progress.record(kind, at))
    }

    /// Takes over what another host has seen; returns whether any of it is newer.
    pub fn adopt(&self, other: &decisions::StoreProgress) -> bool {
        self.progress
            .send_if_modified(|progress| progress.adopt(other))
    }

    /// Waits until another host has seen a change newer than `since` and `timeout` has passed. If a
    /// watch has not delivered the change by then, its connection is considered dead.
    pub async fn wait_until_stale(
        &self,
        kind: &str,
        since: decisions::StoreRevision,
        timeout: time::Duration,
    ) {
        let is_newer = |progress: &decisions::StoreProgress| progress.newest(kind) > since;
        if self.progress.subscribe().wait_for(is_newer).await.is_ok() {
            tokio::time::sleep(timeout).await;
        }
    }

    /// Waits until the store is known to have come back from an older copy than `era` belongs to.
    pub async fn wait_until_restored(&self, era: decisions::StoreEra) {
        let is_newer = |progress: &decisions::StoreProgress| progress.era > era;
        if self.progress.subscribe().wait_for(is_newer).await.is_err() {
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
