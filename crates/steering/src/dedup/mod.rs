//! Non-idempotent requests: each idempotency key is run at most once and has one final outcome.

mod action;
mod advance;
mod ask;
mod choice;
mod cx;
mod home;
mod ledger;
mod limits;
mod message;
mod record;
mod run_outcome;
mod snapshot;
mod state;
mod witness;

pub use action::{Action, Response, UnknownReason};
pub use choice::{Peer, select_witness};
pub use limits::Limits;
pub use message::{KeyStatus, Message, RecordStatus};
pub use run_outcome::{RunOutcome, StoredResult};
pub use snapshot::{Counters, Snapshot};
pub use state::Dedup;
