//! The administration API, for operators.

mod blocks;
mod error;
mod interface;
mod patch;

pub use error::Error;
pub use interface::Interface;
