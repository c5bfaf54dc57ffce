//! Long-lived tasks of a process.

#[allow(
    clippy::module_inception,
    reason = "files are named after their main type"
)]
mod tasks;

pub use tasks::{RECOVERY_TIME, Tasks};
