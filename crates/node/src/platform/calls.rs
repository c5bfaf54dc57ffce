//! Count of calls, as the platform counts them.

use std::sync::atomic;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Read of one object.
    Get,
    /// Watch of one object.
    Watch,
    /// List of a kind.
    List,
    /// Conditional write.
    Put,
    /// Conditional deletion.
    Delete,
}

/// Calls sent so far, by kind; each attempt counts, and a watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of one object.
    pub gets: u64,
    /// Watches of one object.
    pub watches: u64,
    /// Lists of a kind.
    pub lists: u64,
    /// Conditional writes.
    pub puts: u64,
    /// Conditional deletions.
    pub deletes: u64,
}

/// Counters behind [`Calls`].
#[derive(Default)]
pub struct Counters([atomic::AtomicU64; 5]);

impl Counters {
    /// Counts a call.
    pub fn add(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// The counts.
    pub fn calls(&self) -> Calls {
        let count = |kind: Kind| self.0[kind as usize].load(atomic::Ordering::Relaxed);
        Calls {
            gets: count(Kind::Get),
            watches: count(Kind::Watch),
            lists: count(Kind::List),
            puts: count(Kind::Put),
            deletes: count(Kind::Delete),
        }
    }
}
