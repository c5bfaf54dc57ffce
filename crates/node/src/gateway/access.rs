//! Access to the platform's store, shared by all that follow it.

use std::{collections, time};

use tokio::sync;

/// First pause after a failed call; it doubles with each further one.
pub(super) const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest pause after a failed call: news may wait for it after the store's return.
pub(super) const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time after another host's word of a change in which a waiting watch has to bring it: the store
/// answers in a round trip, and in a quarter of a second while it is slow.
const OVERTAKEN: time::Duration = time::Duration::from_millis(800);

/// Revision of the newest change of each kind that any host has seen.
pub type Newest = collections::BTreeMap<String, u64>;

/// What all that follow a store know together: whether it answers (while it does not, one of them
/// tries again and the others wait for its success) and what other hosts have seen of it.
#[derive(Debug)]
pub struct Access {
    answers: sync::watch::Sender<bool>,
    newest: sync::watch::Sender<Newest>,
    /// Pause before the next trial.
    trial: sync::Mutex<time::Duration>,
}

/// Permission to call the store; a trial while it does not answer.
pub(super) type Turn<'a> = Option<sync::MutexGuard<'a, time::Duration>>;

impl Default for Access {
    fn default() -> Access {
        Access {
            answers: sync::watch::Sender::new(true),
            newest: sync::watch::Sender::new(Newest::new()),
            trial: sync::Mutex::new(PAUSE),
        }
    }
}

impl Access {
    /// Waits until the store may be called.
    pub(super) async fn turn(&self) -> Turn<'_> {
        let mut answers = self.answers.subscribe();
        loop {
            if *answers.borrow_and_update() {
                return None;
            }
            tokio::select! {
                trial = self.trial.lock() => return Some(trial),
                // The sender lives as long as `self`.
                _ = answers.changed() => {}
            }
        }
    }

    /// Revision of the newest change of each kind that this host knows of.
    pub fn newest(&self) -> Newest {
        self.newest.borrow().clone()
    }

    /// Takes the revision of a change that a host has seen.
    pub fn learn(&self, kind: &str, revision: u64) {
        self.newest.send_if_modified(|newest| {
            let is_newer = newest.get(kind).is_none_or(|known| *known < revision);
            if is_newer {
                newest.insert(kind.to_string(), revision);
            }
            is_newer
        });
    }

    /// Waits until a watch from a revision should have brought what another host has seen: its
    /// connection is silent.
    pub(super) async fn overtaken(&self, kind: &str, since: u64) {
        let is_newer = |newest: &Newest| newest.get(kind).is_some_and(|seen| *seen > since);
        if self.newest.subscribe().wait_for(is_newer).await.is_ok() {
            tokio::time::sleep(OVERTAKEN).await;
        }
    }

    /// Takes that the store answered.
    pub(super) fn answered(&self, turn: Turn<'_>) {
        if let Some(mut pause) = turn {
            *pause = PAUSE;
        }
        self.answers.send_replace(true);
    }

    /// Takes that it did not, and waits before the next trial.
    pub(super) async fn failed(&self, turn: Turn<'_>, longest: time::Duration) {
        self.answers.send_replace(false);
        match turn {
            Some(mut pause) => {
                tokio::time::sleep((*pause).min(longest)).await;
                *pause = (*pause * 2).min(MAX_PAUSE);
            }
            None => tokio::time::sleep(PAUSE).await,
        }
    }
}
