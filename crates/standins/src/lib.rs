//! Small stand-ins for the platform, backend servers and callers.

pub mod backend;
pub mod caller;
pub mod deployment;
pub mod fleet;
pub mod odd_numbers;
pub mod platform;
pub mod quota;
pub mod serve;
