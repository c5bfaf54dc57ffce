//! What is done with an answer.

use serde::Serialize;

use super::pending;

/// What is done with an answer that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It is the whole answer to this attempt.
    Deliver(pending::Attempt),
    /// It is the answer to this attempt, but a part of it is missing; its connection is closed.
    Truncated(pending::Attempt),
    /// It belongs to no waiting attempt; it is dropped and its connection is closed.
    Drop(DropReason),
}

/// Why an answer belongs to no waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The attempt was given up before.
    Late,
    /// The attempt was answered before.
    Duplicate,
    /// The attempt waits on another connection.
    Crossed,
    /// No such attempt is known.
    Stray,
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Answers delivered.
    pub delivered: u64,
    /// Answers of which a part was missing.
    pub truncated: u64,
    /// Answers to attempts that had been given up.
    pub late: u64,
    /// Answers to attempts that had been answered.
    pub duplicate: u64,
    /// Answers on another connection than that of their attempt.
    pub crossed: u64,
    /// Answers to unknown attempts.
    pub stray: u64,
}

impl Counters {
    pub(super) fn count(&mut self, verdict: Disposition) {
        let counter = match verdict {
            Disposition::Deliver(_) => &mut self.delivered,
            Disposition::Truncated(_) => &mut self.truncated,
            Disposition::Drop(DropReason::Late) => &mut self.late,
            Disposition::Drop(DropReason::Duplicate) => &mut self.duplicate,
            Disposition::Drop(DropReason::Crossed) => &mut self.crossed,
            Disposition::Drop(DropReason::Stray) => &mut self.stray,
        };
        *counter += 1;
    }
}
