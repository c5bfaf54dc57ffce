//! State of the platform's store, shared by the watches of all kinds of objects.

use std::{collections, sync::atomic, time};

use tokio::sync;

/// Delay after the first failed call; it doubles with each further one.
pub(super) const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest delay after a failed call. It bounds how late a change is seen once the store is back.
pub(super) const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Time within which a pending watch must deliver a change that another host has reported. The
/// store responds in one round trip, or in 250 ms while it is slow.
pub(super) const STALE_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Revision of the newest change of each kind of object that any host has seen.
pub type NewestRevisions = collections::BTreeMap<String, u64>;

/// State that the watches of a store share: its availability and the newest revisions that other
/// hosts have seen. While the store is unavailable, one watch probes it and the others wait until a
/// probe succeeds.
#[derive(Debug)]
pub struct StoreState {
    is_available: sync::watch::Sender<bool>,
    newest_revisions: sync::watch::Sender<NewestRevisions>,
    /// Era of the store: it rises each time that the store comes back from an older copy.
    era: atomic::AtomicU64,
    /// Delay after the next failed probe; the lock is held by the watch that probes.
    probe_backoff: sync::Mutex<time::Duration>,
}

/// Permission to call the store: `None` while the store is available; `Some` for the one watch that
/// probes an unavailable store, with the lock on the delay after the next failed probe.
pub(super) type CallPermit<'a> = Option<sync::MutexGuard<'a, time::Duration>>;

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            is_available: sync::watch::Sender::new(true),
            newest_revisions: sync::watch::Sender::new(NewestRevisions::new()),
            era: atomic::AtomicU64::new(0),
            probe_backoff: sync::Mutex::new(INITIAL_BACKOFF),
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

    /// Newest era of the store that this host knows of; 0 if there is none.
    pub fn era(&self) -> u64 {
        self.era.load(atomic::Ordering::Relaxed)
    }

    /// Records the era that a response of the store names; returns whether it shows that the store
    /// has come back from an older copy since this host first read it.
    pub fn record_era(&self, era: u64) -> bool {
        let known = self.era.fetch_max(era, atomic::Ordering::Relaxed);
        known > 0 && known < era
    }

    /// Revision of the newest change of each kind that this host knows of.
    pub fn newest_revisions(&self) -> NewestRevisions {
        self.newest_revisions.borrow().clone()
    }

    /// Records the revision of a change that a host has seen; returns whether it is the newest.
    pub fn record_revision(&self, kind: &str, revision: u64) -> bool {
        self.newest_revisions.send_if_modified(|newest| {
            let is_newer = newest.get(kind).is_none_or(|known| *known < revision);
            if is_newer {
                newest.insert(kind.to_string(), revision);
            }
            is_newer
        })
    }

    /// Revision of the newest change of a kind that this host knows of; 0 if there is none.
    pub fn newest_revision(&self, kind: &str) -> u64 {
        self.newest_revisions
            .borrow()
            .get(kind)
            .copied()
            .unwrap_or(0)
    }

    /// Waits until another host has seen a change newer than `since` and `timeout` has passed. If a
    /// watch has not delivered the change by then, its connection is considered dead.
    pub async fn wait_until_stale(&self, kind: &str, since: u64, timeout: time::Duration) {
        let is_newer =
            |newest: &NewestRevisions| newest.get(kind).is_some_and(|seen| *seen > since);
        if self
            .newest_revisions
            .subscribe()
            .wait_for(is_newer)
            .await
            .is_ok()
        {
            tokio::time::sleep(timeout).await;
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
