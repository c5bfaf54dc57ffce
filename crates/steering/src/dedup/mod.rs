//! At-most-once execution of non-idempotent requests, with one final outcome per idempotency key.
//!
//! The key names a home, the only process that may run the request, and a witness, at which the
//! home records the request before it runs it.

mod action;
mod advance;
mod context;
mod home;
mod key_table;
mod limits;
mod message;
mod record;
mod remote;
mod run_outcome;
mod selection;
mod snapshot;
mod state;
mod witness;

pub use action::{Action, Response, UnknownReason};
pub use limits::Limits;
pub use message::{KeyStatus, Message, RecordStatus};
pub use run_outcome::{RunOutcome, StoredResult};
pub use selection::{Peer, select_witness};
pub use snapshot::{Counters, Snapshot};
pub use state::Dedup;
