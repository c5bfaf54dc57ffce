//! Calls that the platform has counted.

/// Calls by kind; a watch counts as one call however long it waits.
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
    /// Deletions.
    pub deletes: u64,
    /// Calls refused because a rate was exceeded.
    pub refused: u64,
    /// Calls that failed in an outage.
    pub failed: u64,
}

impl Calls {
    /// Calls that count against the rate of reads.
    pub fn reads(&self) -> u64 {
        self.gets + self.watches + self.lists
    }

    /// Calls that count against the rate of writes.
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes
    }
}
