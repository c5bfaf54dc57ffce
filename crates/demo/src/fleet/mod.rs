//! Platform, backend servers and entry hosts in one process.

mod copy;
#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod fleet;
mod host;

pub use copy::client_address;
pub use fleet::{Fleet, SERVICE_TIME, status_at};
pub use host::Host;
