//! The owner's side of a request: admission, backend server, retries, as one state machine.

mod action;
mod attempts;
mod capacity;
mod drain;
mod machine;
mod service_pool;
mod snapshot;
mod work_state;

pub use action::Action;
pub use capacity::Capacity;
pub use drain::drain_start;
pub use machine::Pool;
pub use snapshot::{PoolSnapshot, ServiceSnapshot, WorkSnapshot};

pub use crate::routing::{AttemptOutcome, LoadReport, ServerSnapshot, ServerState};
