//! The daemon: all parts of one entry host, started and stopped together.

#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod daemon;
mod peers;

pub use daemon::Daemon;
