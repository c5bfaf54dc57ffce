//! Requests that are refused before any decision is made.

use http::StatusCode;
use thiserror::Error;
use yuccatide_steering::{lookup, model};

/// Why a caller's request was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// There is nothing at the path.
    #[error("there is nothing here; use /v1/lookup or /v1/run/WORK/...")]
    Path,
    /// The path exists, but not for the method.
    #[error("only GET is allowed here")]
    Method,
    /// The kind of work is not in the configuration.
    #[error("there is no work {0:?}")]
    Work(model::WorkId),
    /// A query parameter can't be read.
    #[error("{name}: {message}")]
    Parameter {
        /// Name of the parameter.
        name: &'static str,
        /// What is wrong with it.
        message: String,
    },
    /// A header can't be read.
    #[error("{name}: {message}")]
    Header {
        /// Name of the header.
        name: &'static str,
        /// What is wrong with it.
        message: String,
    },
    /// Non-idempotent work came without an idempotency key.
    #[error(
        "work {0:?} needs the header idempotency-key: the key_prefix of a look-up with a token appended"
    )]
    KeyMissing(model::WorkId),
    /// The body is larger than the work allows.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The body did not arrive whole.
    #[error("the body did not arrive whole: {0}")]
    Body(String),
    /// The host has no configuration yet.
    #[error("the host is not ready")]
    NotReady,
    /// No entry host is known to serve.
    #[error("no entry host is known to serve callers now")]
    NoHosts,
    /// The host has as many requests in progress as it may.
    #[error("the host has too many requests in progress")]
    Busy,
}

impl Error {
    /// HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::Path | Error::Work(_) => StatusCode::NOT_FOUND,
            Error::Method => StatusCode::METHOD_NOT_ALLOWED,
            Error::Parameter { .. } | Error::Header { .. } | Error::Body(_) => {
                StatusCode::BAD_REQUEST
            }
            Error::KeyMissing(_) => StatusCode::BAD_REQUEST,
            Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::NotReady | Error::NoHosts | Error::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether every other host refuses the same request too, whatever its state and configuration.
    pub fn holds_at_every_host(&self) -> bool {
        match self {
            Error::Path
            | Error::Method
            | Error::Parameter { .. }
            | Error::Header { .. }
            | Error::KeyMissing(_) => true,
            Error::Work(_)
            | Error::TooLarge(_)
            | Error::Body(_)
            | Error::NotReady
            | Error::NoHosts
            | Error::Busy => false,
        }
    }

    /// Value of the reason header.
    pub fn reason(&self) -> &'static str {
        match self {
            Error::NotReady | Error::NoHosts => model::NotRunReason::NotReady.as_str(),
            Error::Busy => model::NotRunReason::QueueFull.as_str(),
            _ => "refused",
        }
    }
}

impl From<lookup::Error> for Error {
    fn from(e: lookup::Error) -> Error {
        match e {
            lookup::Error::NotReady => Error::NotReady,
            lookup::Error::UnknownWork(work) => Error::Work(work),
            lookup::Error::NoHosts => Error::NoHosts,
        }
    }
}
