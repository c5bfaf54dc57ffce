//! Why a sending to a backend server gave no answer.

use thiserror::Error;
use yuccatide_steering::gateway;

use crate::backend;

/// Why a sending to a backend server gave no answer.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// The connection failed.
    #[error(transparent)]
    Backend(#[from] backend::Error),
    /// The answer is not one that the backend server gave to this request.
    #[error("the answer is not valid: {0}")]
    Invalid(&'static str),
}

impl Error {
    /// What became of the sending.
    pub(super) fn outcome(&self) -> gateway::Outcome {
        match self {
            Error::Backend(e) if e.is_not_run() => gateway::Outcome::Unreachable,
            Error::Backend(_) | Error::Invalid(_) => gateway::Outcome::Broken,
        }
    }
}
