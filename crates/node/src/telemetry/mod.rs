//! Logs, metrics and traces.

pub mod logs;
pub mod metrics;
#[cfg(feature = "daemon")]
pub mod traces;
