//! Callers and what they got.

mod record;
mod traffic;

pub use record::{Phase, Record};
pub use traffic::Traffic;
