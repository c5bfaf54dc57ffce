//! Planned drains: when to begin so that the target is empty by the requested time.

mod plan;

pub use plan::{Plan, max_request_time, plan};
