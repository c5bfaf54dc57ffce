//! Matching of responses to pending attempts.

mod disposition;
mod pending;

pub use disposition::{Counters, Disposition, DropReason};
pub use pending::{Attempt, ConnectionId, PendingAttempts, ReceivedResponse};
