//! The answer to a request.

use std::time;

use bytes::Bytes;
use yuccatide_steering::model;

use super::headers;

/// An answer, always whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whether the request was run.
    pub outcome: model::Outcome,
    /// Why it was not run, or why its outcome is unknown.
    pub reason: Option<String>,
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers of the backend server's answer.
    pub headers: Vec<headers::Header>,
    /// Whole body.
    pub body: Bytes,
    /// When the caller may try again.
    pub retry_after: Option<time::Duration>,
    /// Backend server that answered.
    pub server: Option<model::ServerId>,
    /// Time for which the request held a slot of that server.
    pub slot_time: Option<time::Duration>,
}

impl Answer {
    /// Answer to a request that was not run.
    pub fn not_run(reason: model::NotRunReason) -> Answer {
        let status = match reason {
            model::NotRunReason::KeyReused => http::StatusCode::UNPROCESSABLE_ENTITY,
            model::NotRunReason::Deadline => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::SERVICE_UNAVAILABLE,
        };
        Answer {
            outcome: model::Outcome::NotRun,
            reason: Some(reason.as_str().to_string()),
            status,
            headers: Vec::new(),
            body: Bytes::new(),
            retry_after: None,
            server: None,
            slot_time: None,
        }
    }

    /// Answer to a request that may have been run.
    pub fn unknown(reason: impl Into<String>) -> Answer {
        Answer {
            outcome: model::Outcome::Unknown,
            reason: Some(reason.into()),
            status: http::StatusCode::GATEWAY_TIMEOUT,
            headers: Vec::new(),
            body: Bytes::new(),
            retry_after: None,
            server: None,
            slot_time: None,
        }
    }

    /// Adds the time after which the caller may try again.
    pub fn with_retry_after(self, retry_after: Option<time::Duration>) -> Answer {
        Answer {
            retry_after,
            ..self
        }
    }
}
