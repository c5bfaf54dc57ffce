//! Steering decisions: routing, limits, retries, membership, state and recovery.
//!
//! Nothing here opens a socket, reads a clock or draws randomness of its own.  Each component is
//! a state machine: it takes an event and the present time and returns the actions that its caller
//! has to carry out.  The present time is a [`model::Time`], the duration since an arbitrary
//! origin that the caller picks once per process.

pub mod admin;
pub mod admission;
pub mod capacity;
pub mod config;
pub mod dedup;
pub mod drain;
pub mod gateway;
pub mod link;
pub mod lookup;
pub mod matching;
pub mod membership;
pub mod model;
pub mod pool;
pub mod propagation;
pub mod retry;
pub mod routing;
pub mod shift;
pub mod steer;
