//! Why another host gave no answer.

use thiserror::Error;

/// Why another host gave no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection was made; the request was not sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The call failed after the request may have arrived.
    #[error("the call failed: {0}")]
    Broken(String),
    /// The other host refused the call before acting on it.
    #[error("refused: {0}")]
    Refused(String),
    /// A message could not be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Crossed,
    /// The files for TLS can't be used.
    #[error("{path}: {message}")]
    Tls {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        message: String,
    },
}

impl Error {
    /// Whether the other host is proven not to have acted on the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Error::Connect(_) | Error::Refused(_))
    }
}
