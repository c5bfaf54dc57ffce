//! The operators' command, which speaks to the administration API of an entry host.

mod client;
mod commands;
mod error;
mod flags;
mod table;
mod time;

pub use commands::run;
pub use error::Error;
