//! Answers that a caller gets.

use std::time;

use bytes::Bytes;
use thiserror::Error;
use yuccatide_steering::model;

/// What became of a request after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it was run.
    pub outcome: model::Outcome,
    /// Why it was not run, or why its outcome is unknown.
    pub reason: Option<String>,
    /// HTTP status of the last answer.
    pub status: Option<http::StatusCode>,
    /// Backend server that answered.
    pub server: Option<String>,
    /// Whole body.
    pub body: Bytes,
    /// Attempts that were made.
    pub attempts: u32,
    /// Time from the first attempt to the answer.
    pub latency: time::Duration,
    /// Idempotency keys used, in their order; all but the last are of attempts that were not run.
    pub keys: Vec<String>,
}

/// Why an attempt has no answer of its own.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection was made.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke, or the time was over.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer carries another request's id.
    #[error("the answer belongs to another request")]
    Crossed,
    /// No entry host answered a look-up.
    #[error("no entry host answered a look-up")]
    NoHosts,
}
