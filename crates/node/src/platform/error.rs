//! Errors of calls to the platform.

use std::time::Duration;

use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// A conditional write was refused: the object has another version, exists, or is gone.
    #[error("the object does not have the expected version")]
    Conflict,
    /// The value is larger than the platform accepts.
    #[error("the value is too large for the platform")]
    TooLarge,
    /// The platform's rate of calls was exceeded; the call had no effect.
    #[error("the platform's rate of calls was exceeded")]
    RateLimited {
        /// Time after which the platform asks to try again.
        retry_after: Option<Duration>,
    },
    /// The platform is in an outage; the call had no effect.
    #[error("the platform is unavailable")]
    Unavailable,
    /// No connection was made; the call had no effect.
    #[error("the platform is unreachable: {0}")]
    Unreachable(String),
    /// No whole answer to a read came in time.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
    /// No answer to a write came; it may have taken effect.  Read the object back.
    #[error("a write to the platform may have taken effect: {0}")]
    Ambiguous(String),
    /// An answer that does not follow the object API.
    #[error("unexpected answer from the platform: {0}")]
    Protocol(String),
    /// A kind or name with other characters than letters, digits, `-`, `_` and `.`.
    #[error("{0:?} is no kind or name of an object")]
    Name(String),
}

impl Error {
    /// Whether the same call may succeed later and surely had no effect.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Error::RateLimited { .. }
                | Error::Unavailable
                | Error::Unreachable(_)
                | Error::NoAnswer(_)
        )
    }
}
