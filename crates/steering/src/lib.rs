//! Steering decisions: routing, limits, retries, membership, state and recovery.
//!
//! This crate performs no I/O, reads no clock and generates no random numbers.  Each component is
//! a state machine: it takes an event and the current time and returns the actions for its caller
//! to perform.  The current time is a [`model::Time`], the duration since an arbitrary origin that
//! the caller chooses once per process.

pub mod admin;
pub mod admission;
pub mod capacity;
pub mod clients;
pub mod config;
pub mod customers;
pub mod dedup;
pub mod drain;
pub mod gateway;
pub mod hedging;
pub mod link;
pub mod lookup;
pub mod matching;
pub mod membership;
pub mod model;
pub mod numbers;
pub mod pool;
pub mod propagation;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod shift;
pub mod steer;
