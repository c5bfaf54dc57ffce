//! Connections to backend servers.

#[cfg(feature = "daemon")]
mod client;
pub(crate) mod connection;
mod error;
#[cfg(feature = "daemon")]
mod load;

#[cfg(feature = "daemon")]
pub use client::{Client, Target};
pub use error::Error;
#[cfg(feature = "daemon")]
pub use load::LoadAnswer;
