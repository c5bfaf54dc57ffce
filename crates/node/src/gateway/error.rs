//! Errors of attempts on backend servers.

use thiserror::Error;
use yuccatide_steering::gateway;

use crate::backend;

/// Why an attempt on a backend server yielded no response.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// The connection failed.
    #[error(transparent)]
    Backend(#[from] backend::Error),
    /// The backend server was to get no more requests when the connection was ready.
    #[error("the backend server left, or the request was blocked, before it was sent")]
    Withdrawn,
    /// The response is not the backend server's response to this request.
    #[error("invalid response: {0}")]
    Invalid(&'static str),
}

impl Error {
    /// Whether the connection broke, as it does when the backend server crashes.
    pub(super) fn is_connection_broken(&self) -> bool {
        matches!(self, Error::Backend(backend::Error::Broken(_)))
    }

    /// Outcome of the attempt.
    pub(super) fn outcome(&self) -> gateway::Outcome {
        match self {
            Error::Backend(e) if e.is_not_run() => gateway::Outcome::Unreachable,
            Error::Withdrawn => gateway::Outcome::Withdrawn,
            Error::Backend(_) | Error::Invalid(_) => gateway::Outcome::Broken,
        }
    }
}
