//! Requests of a caller.

use std::time;

use bytes::Bytes;
use yuccatide_steering::model;

/// A request to be run, whichever entry host carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Kind of work.
    pub work: model::WorkId,
    /// Path for the backend server, without the leading slash.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Whether running it twice does no harm; else it gets an idempotency key.
    pub idempotent: bool,
    /// Time within which an answer is useful, over all attempts.
    pub deadline: time::Duration,
}
