//! Behaviour of homes and witnesses of idempotency keys.

mod home;
mod key;
mod limits;
mod net;
mod query;
mod shutdown;
