//! Hosts that admit requests by quota, in virtual time.

mod host;
mod world;

pub use host::Host;
pub use world::{Counts, Layout, World};
