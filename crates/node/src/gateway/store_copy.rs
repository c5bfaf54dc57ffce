//! Copy of the store's objects of one kind, from which other hosts of the data centre read.

use std::{collections, time};

use tokio::sync;
use yuccatide_steering::gateway as decisions;

/// Changes that a copy keeps for the watches of other hosts.
const MAX_CHANGES: usize = 2048;

/// Bytes of object text in these changes.  Only the newest one may be larger.
const MAX_CHANGE_BYTES: usize = 8 << 20;

/// A change of an object in the form in which the store sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawChange {
    /// Name of the object.
    pub name: String,
    /// The object as JSON text; its last state if it was deleted.
    pub object: String,
    /// Whether the object was deleted.
    pub is_deleted: bool,
    /// Revision of the change, in the era of the copy.
    pub revision: u64,
}

/// All objects of a kind at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawListing {
    /// Objects as JSON text.
    pub objects: Vec<String>,
    /// Position of the store.
    pub revision: decisions::StoreRevision,
}

/// Changes of a kind up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawChanges {
    /// Changes, oldest first.
    pub changes: Vec<RawChange>,
    /// Position to continue from.
    pub revision: decisions::StoreRevision,
}

/// Why a copy can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyError {
    /// This host doesn't read the store itself, or its last call failed.
    NotCurrent,
    /// The changes since the requested position are no longer kept, or the store has come back from
    /// an older copy since.
    HistoryGone,
}

#[derive(Debug, Default)]
struct State {
    objects: collections::BTreeMap<String, String>,
    changes: collections::VecDeque<RawChange>,
    /// Bytes of object text in `changes`.
    change_bytes: usize,
    /// Revision up to which changes are no longer kept, in the era of `revision`.
    oldest: u64,
    revision: decisions::StoreRevision,
    /// Revision of the newest change, in the era of `revision`.
    newest: u64,
    /// Whether the last call was one to the store itself, and succeeded.
    is_current: bool,
}

impl State {
    fn drop_old_changes(&mut self) {
        while self.changes.len() > MAX_CHANGES
            || (self.change_bytes > MAX_CHANGE_BYTES && self.changes.len() > 1)
        {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.change_bytes -= dropped.object.len();
            self.oldest = dropped.revision;
        }
    }
}

/// Copy of the objects of one kind.  Only a host that reads the store itself serves it, so that no
/// host follows one that follows another.
#[derive(Debug)]
pub struct StoreCopy {
    state: sync::watch::Sender<State>,
    /// Wakes the host that reads the store, for a position that another host lacks.
    wanted: sync::Notify,
}

impl Default for StoreCopy {
    fn default() -> StoreCopy {
        StoreCopy {
            state: sync::watch::Sender::new(State::default()),
            wanted: sync::Notify::new(),
        }
    }
}

impl StoreCopy {
    /// Replaces all objects with a list of names and objects.
    pub fn replace(
        &self,
        objects: Vec<(String, String)>,
        revision: decisions::StoreRevision,
        is_from_store: bool,
    ) {
        self.state.send_modify(|state| {
            state.objects = objects.into_iter().collect();
            state.changes.clear();
            state.change_bytes = 0;
            state.oldest = revision.revision;
            state.revision = revision;
            state.newest = revision.revision;
            state.is_current = is_from_store;
        });
    }

    /// Applies the changes that a watch returned; they belong to the era of the objects.
    pub fn apply(
        &self,
        changes: Vec<RawChange>,
        revision: decisions::StoreRevision,
        is_from_store: bool,
    ) {
        self.state.send_modify(|state| {
            for change in changes {
                state.newest = state.newest.max(change.revision);
                match change.is_deleted {
                    true => state.objects.remove(&change.name),
                    false => state
                        .objects
                        .insert(change.name.clone(), change.object.clone()),
                };
                state.change_bytes += change.object.len();
                state.changes.push_back(change);
            }
            state.drop_old_changes();
            state.revision = state.revision.max(revision);
            state.is_current = is_from_store;
        });
    }

    /// Records the newest change that any host has seen.  Once the copy has come that far, watches
    /// from before it end, also if they have no change to return.
    pub fn record_newest(&self, newest: decisions::StoreRevision) {
        self.state.send_if_modified(|state| {
            let is_covered = newest.era == state.revision.era
                && newest <= state.revision
                && newest.revision > state.newest;
            if is_covered {
                state.newest = newest.revision;
            }
            is_covered
        });
    }

    /// Whether the last call was one to the store itself, and succeeded.
    pub fn is_current(&self) -> bool {
        self.state.borrow().is_current
    }

    /// Records that the last call failed or that this host follows another one.
    pub fn set_not_current(&self) {
        self.state.send_if_modified(|state| {
            let was_current = state.is_current;
            state.is_current = false;
            was_current
        });
    }

    /// Waits until all objects up to a position are known, for `wait` at most, and returns those that
    /// are known then.
    pub async fn list(
        &self,
        newest: decisions::StoreRevision,
        wait: time::Duration,
    ) -> Result<RawListing, CopyError> {
        let mut state = self.state.subscribe();
        if state.borrow().revision < newest {
            self.wanted.notify_one();
        }
        let is_complete = |state: &State| state.is_current && state.revision >= newest;
        // After the wait the present state is the answer.
        let _ = tokio::time::timeout(wait, state.wait_for(is_complete)).await;
        let state = state.borrow();
        match state.is_current {
            true => Ok(RawListing {
                objects: state.objects.values().cloned().collect(),
                revision: state.revision,
            }),
            false => Err(CopyError::NotCurrent),
        }
    }

    /// Waits until another host lacks a position that this copy has not reached.
    pub(super) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Waits for changes since a position, for `wait` at most, and returns them.  A wait without
    /// changes ends with the newest position.
    pub async fn watch(
        &self,
        since: decisions::StoreRevision,
        wait: time::Duration,
    ) -> Result<RawChanges, CopyError> {
        let mut state = self.state.subscribe();
        let has_update = |state: &State| {
            !state.is_current || state.revision.era != since.era || state.newest > since.revision
        };
        // After the wait the present state is the answer.
        let _ = tokio::time::timeout(wait, state.wait_for(has_update)).await;
        let state = state.borrow();
        if !state.is_current || state.revision.era < since.era {
            return Err(CopyError::NotCurrent);
        }
        if state.revision.era > since.era || since.revision < state.oldest {
            return Err(CopyError::HistoryGone);
        }
        let is_newer = |change: &&RawChange| change.revision > since.revision;
        Ok(RawChanges {
            changes: state.changes.iter().filter(is_newer).cloned().collect(),
            revision: state.revision.max(since),
        })
    }
}
