//! Why a backend server gave no answer.

use thiserror::Error;

/// Why a backend server gave no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection was made; no byte was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The server's address refused the connection; no byte was sent.
    #[error("no connection: refused")]
    Refused,
    /// All connections that the server accepts are in use; no byte was sent.
    #[error("all connections are in use")]
    Connections,
    /// The server refused the request before running it.
    #[error("shed by the backend server")]
    Shed,
    /// The connection broke after bytes were sent.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The status is not that of an answer.
    #[error("the answer has the status {0}")]
    Status(u16),
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Crossed,
    /// The answer is larger than the limit.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

impl Error {
    /// Whether the server is proven not to have run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Error::Connect(_) | Error::Refused | Error::Connections | Error::Shed
        )
    }
}
