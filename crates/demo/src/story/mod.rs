//! What happens, step by step.

mod steps;
mod tell;
mod versions;

pub use tell::{Told, tell};
