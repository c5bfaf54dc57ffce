//! The entry host: sockets and files around the decisions of `yuccatide_steering`.

#[cfg(feature = "daemon")]
pub mod admin;
pub mod backend;
#[cfg(feature = "daemon")]
pub mod callers;
pub mod clock;
#[cfg(feature = "daemon")]
pub mod daemon;
#[cfg(feature = "daemon")]
pub mod engine;
#[cfg(feature = "daemon")]
pub mod flags;
pub mod gateway;
pub mod interim;
#[cfg(feature = "daemon")]
pub mod meter;
#[cfg(feature = "daemon")]
pub mod peer;
#[cfg(feature = "daemon")]
pub mod platform;
#[cfg(feature = "daemon")]
pub mod request;
pub mod serve;
#[cfg(feature = "daemon")]
pub mod settings;
pub mod telemetry;
