//! Requests of operators that are refused.

use http::StatusCode;
use thiserror::Error;
use yuccatide_steering::{admin, model};

use crate::serve;

/// Why an operator's request was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// There is nothing at the path, or not for the method.
    #[error("there is nothing here; docs/OPERATORS.md lists the administration API")]
    Path,
    /// The host has no configuration yet.
    #[error("the host has no configuration yet")]
    NotReady,
    /// The body did not arrive whole or is too large.
    #[error("the body can't be read: {0}")]
    Body(String),
    /// The body or a parameter does not have the right form.
    #[error("{path}: {message}")]
    Form {
        /// Path of the field or name of the parameter.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// The token may not do this.
    #[error(transparent)]
    Refused(#[from] admin::Refusal),
    /// The patch was written against another version.
    #[error("the patch is against version {base}, but version {current} is current")]
    Outdated {
        /// Version that the patch names.
        base: model::Version,
        /// Version in force.
        current: model::Version,
    },
    /// The patch breaks rules.
    #[error("the patch breaks rules")]
    Invalid(admin::Invalid),
    /// The platform can't be reached; nothing was changed.
    #[error("the platform can't be reached; the patch was not accepted")]
    Unavailable,
    /// It is not known whether the patch was accepted.
    #[error("the platform did not say whether the patch was accepted; submit it again unchanged")]
    Unknown,
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Error::Path => StatusCode::NOT_FOUND,
            Error::Body(_) => StatusCode::BAD_REQUEST,
            Error::Form { .. } | Error::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Error::Refused(refusal) => {
                StatusCode::from_u16(refusal.status_code()).unwrap_or(StatusCode::FORBIDDEN)
            }
            Error::Outdated { .. } => StatusCode::CONFLICT,
            Error::NotReady | Error::Unavailable | Error::Unknown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// The answer that tells it to the operator.
    pub fn reply(&self) -> serve::Reply {
        let message = self.to_string();
        let unknown = |outcome| admin::Unknown {
            outcome,
            message: message.clone(),
        };
        let status = self.status();
        match self {
            Error::Outdated { current, .. } => serve::json(
                status,
                &admin::Outdated {
                    current: *current,
                    message,
                },
            ),
            Error::Invalid(invalid) => serve::json(status, invalid),
            Error::Form { path, message } => serve::json(
                status,
                &admin::Invalid {
                    problems: vec![admin::Problem {
                        path: path.clone(),
                        message: message.clone(),
                    }],
                },
            ),
            Error::Unavailable | Error::NotReady => {
                serve::json(status, &unknown(model::Outcome::NotRun))
            }
            Error::Unknown => serve::json(status, &unknown(model::Outcome::Unknown)),
            Error::Path | Error::Body(_) | Error::Refused(_) => {
                serve::json(status, &admin::Refused { message })
            }
        }
    }
}
