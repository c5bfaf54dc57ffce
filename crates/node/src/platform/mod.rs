//! Client of the platform's object API; nothing else knows its HTTP form.

mod backoff;
mod calls;
mod client;
mod error;
mod object;
mod request;

pub use backoff::Backoff;
pub use calls::Calls;
pub use client::{Client, Config};
pub use error::Error;
pub use object::{Condition, Object, Watched, Written};
