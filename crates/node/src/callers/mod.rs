//! The interface for callers.

mod error;
mod interface;
mod lookup;
mod run;

pub use error::Error;
pub use interface::Interface;
