//! Connections to backend servers.

mod client;
pub(crate) mod connection;
mod error;
mod load;

pub use client::{Client, Target};
pub use error::Error;
pub use load::LoadAnswer;
