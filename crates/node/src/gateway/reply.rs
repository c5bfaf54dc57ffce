//! Answers of the host's own.

use std::time;

use bytes::Bytes;
use http::header;
use yuccatide_steering::gateway as decisions;

use super::body;

pub(super) type Reply = http::Response<body::Body>;

/// Tells the client that its request has not run and when to come back.
pub(super) fn refusal(reason: decisions::Reason, retry_after: time::Duration) -> Reply {
    let mut reply = status(http::StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = header::HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}

/// An answer of the host's own.
pub(super) fn status(code: http::StatusCode, line: &str) -> Reply {
    let mut reply = Reply::new(body::whole(Bytes::from(line.to_string() + "\n")));
    *reply.status_mut() = code;
    reply
}
