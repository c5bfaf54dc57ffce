//! The entry host: sockets and files around the decisions of `yuccatide_steering`.

pub mod admin;
pub mod backend;
pub mod callers;
pub mod clock;
pub mod daemon;
pub mod engine;
pub mod flags;
pub mod gateway;
pub mod meter;
pub mod peer;
pub mod platform;
pub mod request;
pub mod serve;
pub mod settings;
pub mod telemetry;
