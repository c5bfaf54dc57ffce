//! Answers of the host's own.

use std::time;

use bytes::Bytes;
use http::header;
use yuccatide_steering::gateway as decisions;

use super::body;

pub(super) type Response = http::Response<body::Body>;

/// Tells the client that its request has not run and when to come back.
pub(super) fn refusal(reason: decisions::Reason, retry_after: time::Duration) -> Response {
    let mut response = text(http::StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = header::HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// An answer of the host's own.
pub(super) fn text(code: http::StatusCode, message: &str) -> Response {
    let mut response = Response::new(body::full(Bytes::from(message.to_string() + "\n")));
    *response.status_mut() = code;
    response
}
