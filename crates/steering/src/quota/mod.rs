//! Quotas: bounds on the requests of a customer, summed over all hosts.

#[allow(
    clippy::module_inception,
    reason = "files are named after their main type"
)]
mod quota;

pub use quota::{Bounds, Quota};
