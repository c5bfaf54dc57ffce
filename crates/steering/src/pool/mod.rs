//! Request handling on the owning host: admission, choice of the backend server and retries.

mod action;
mod capacity;
mod drain;
mod machine;
mod request;
mod service_pool;
mod snapshot;
mod work_state;

pub use action::Action;
pub use capacity::Capacity;
pub use drain::drain_start;
pub use machine::Pool;
pub use snapshot::{PoolSnapshot, ServiceSnapshot, WorkSnapshot};

pub use crate::routing::{AttemptOutcome, LoadReport, ServerSnapshot, ServerState};
