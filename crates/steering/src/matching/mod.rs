//! Matching of answers to the attempts that wait for them.

mod disposition;
mod pending;

pub use disposition::{Counters, Disposition, DropReason};
pub use pending::{Attempt, ConnectionId, PendingAttempts, ReceivedResponse};
