//! The platform's object API, kept in memory.

mod calls;
mod limiter;
#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod platform;
mod store;

pub use calls::Calls;
pub use platform::{Config, Platform};
pub use store::{Object, Snapshot};
