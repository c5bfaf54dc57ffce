//! Numbers from outside: from the store, backend servers, other hosts, clients and operators.
//!
//! Any of them may hold any value of its type.  Decoders bring them within the bounds of this module,
//! inside which the calculations with them can't overflow: a value that describes something and lies
//! outside makes its object unusable, and a bound that operators set to more counts as the largest.

mod adapters;
mod duration;

pub use adapters::{Bounded, Finite, Saturating};
pub use duration::{MAX_DURATION, duration_from_secs, saturating_duration};

/// Largest number of requests that a backend server or a host may have, or take, at once.
pub const MAX_REQUESTS: u32 = 1 << 20;
