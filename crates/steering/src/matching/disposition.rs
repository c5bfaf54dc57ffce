//! Disposition of received responses.

use serde::Serialize;

use super::pending;

/// What to do with a received response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Complete response to this attempt; deliver it.
    Deliver(pending::Attempt),
    /// Response to this attempt whose body lacks its end, or is shorter or longer than announced;
    /// close the connection.
    Truncated(pending::Attempt),
    /// Response without a matching attempt; drop it and close the connection.
    Drop(DropReason),
}

/// Why a response is not delivered to any attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The attempt had been abandoned, or its connection had closed.
    Late,
    /// A response to the attempt was received before.
    Duplicate,
    /// The attempt is pending on another connection.
    Crossed,
    /// The attempt is unknown.
    Stray,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Responses delivered.
    pub delivered: u64,
    /// Responses whose body lacked its end, or was shorter or longer than announced.
    pub truncated: u64,
    /// Responses to attempts that had been abandoned or whose connection had closed.
    pub late: u64,
    /// Responses to attempts that already had one.
    pub duplicate: u64,
    /// Responses received on a connection other than that of their attempt.
    pub crossed: u64,
    /// Responses to unknown attempts.
    pub stray: u64,
}

impl Counters {
    pub(super) fn count(&mut self, disposition: Disposition) {
        let counter = match disposition {
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
