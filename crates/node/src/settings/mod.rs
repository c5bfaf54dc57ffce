//! Settings of one entry host.

mod check;
#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod settings;

pub use check::check;
pub use settings::{Error, Platform, Settings, Telemetry, Tls};
