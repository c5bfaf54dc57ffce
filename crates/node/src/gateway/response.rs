//! Responses that the host generates itself.

use std::time;

use bytes::Bytes;
use http::header;
use yuccatide_steering::gateway as decisions;

use super::body;

pub(super) type Response = http::Response<body::Body>;

/// Statuses that promise a client that its request has not run and never will.
const NOT_RUN_STATUSES: [http::StatusCode; 4] = [
    http::StatusCode::REQUEST_TIMEOUT,
    http::StatusCode::MISDIRECTED_REQUEST,
    http::StatusCode::TOO_MANY_REQUESTS,
    http::StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether a client takes a status as the promise that its request has not run and never will.
pub(super) fn promises_not_run(status: http::StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Response to a request that a backend server may have run, without a result that the client can
/// have.  It promises nothing.
pub(super) fn unknown_outcome() -> Response {
    text(http::StatusCode::BAD_GATEWAY, "the outcome is not known")
}

/// Refuses a request that has not run and tells the client when to retry.
pub(super) fn refusal(reason: decisions::Reason, retry_after: time::Duration) -> Response {
    let response = text(http::StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    with_retry_after(response, retry_after)
}

/// Refuses a request beyond its customer's quota and tells the client when to retry.
pub(super) fn over_quota(retry_after: time::Duration) -> Response {
    let reason = decisions::Reason::OverQuota;
    let response = text(http::StatusCode::TOO_MANY_REQUESTS, reason.as_str());
    with_retry_after(response, retry_after)
}

fn with_retry_after(mut response: Response, retry_after: time::Duration) -> Response {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = header::HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Plain-text response with one line.
pub(super) fn text(code: http::StatusCode, message: &str) -> Response {
    let mut response = Response::new(body::full(Bytes::from(message.to_string() + "\n")));
    *response.status_mut() = code;
    response
}
