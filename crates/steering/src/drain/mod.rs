//! Planned stops: when to begin so that the target is empty in time.

mod plan;

pub use plan::{Plan, max_request_time, plan};
