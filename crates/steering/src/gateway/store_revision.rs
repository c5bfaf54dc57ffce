//! Positions in the history of the platform's store.

use std::collections;

use serde::{Deserialize, Serialize};

/// Era of the store; it rises each time that the store comes back from an older copy.
pub type StoreEra = u64;

/// A position in the history of the store.  The era goes first: revisions of an earlier one are
/// given out again, so that equal numbers name different changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store.
    pub era: StoreEra,
    /// Number of changes; unique within an era only.
    pub revision: u64,
}

/// How far the store has come, as far as any host has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreProgress {
    /// Newest era.
    pub era: StoreEra,
    /// Revision of the newest change of each kind of object in this era.
    pub revisions: collections::BTreeMap<String, u64>,
}

impl StoreProgress {
    /// Position of the newest change of a kind; the start of the era if there is none.
    pub fn newest(&self, kind: &str) -> StoreRevision {
        StoreRevision {
            era: self.era,
            revision: self.revisions.get(kind).copied().unwrap_or(0),
        }
    }

    /// Records that the store has reached an era; returns whether it is newer.  Revisions of the
    /// earlier one say nothing about it.
    pub fn record_era(&mut self, era: StoreEra) -> bool {
        let is_newer = era > self.era;
        if is_newer {
            self.era = era;
            self.revisions.clear();
        }
        is_newer
    }

    /// Records a change of a kind; returns whether it is the newest.
    pub fn record(&mut self, kind: &str, at: StoreRevision) -> bool {
        self.record_era(at.era);
        let is_newer = at > self.newest(kind);
        if is_newer {
            self.revisions.insert(kind.to_string(), at.revision);
        }
        is_newer
    }

    /// Takes over what another host has seen; returns whether any of it is newer.
    pub fn adopt(&mut self, other: &StoreProgress) -> bool {
        let has_newer_era = self.record_era(other.era);
        let newer_changes = other
            .revisions
            .keys()
            .filter(|kind| self.record(kind, other.newest(kind)))
            .count();
        has_newer_era || newer_changes > 0
    }
}
