//! The HTTP form of a call.

use std::time;

use bytes::Bytes;
use http::{Method, StatusCode, header};
use http_body_util::Full;
use yuccatide_steering::numbers;

use super::{calls, error, object};

/// Largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2 << 20;

/// A call that can be sent several times.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of the call.
    pub kind: calls::Kind,
    method: Method,
    path: String,
    condition: Option<object::Condition>,
    body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Reads or lists.
    pub fn read(kind: calls::Kind, path: String) -> Request {
        Request {
            kind,
            method: Method::GET,
            path,
            condition: None,
            body: Bytes::new(),
        }
    }

    /// Writes under a condition.
    pub fn put(path: String, condition: object::Condition, body: Bytes) -> Request {
        Request {
            kind: calls::Kind::Put,
            method: Method::PUT,
            path,
            condition: Some(condition),
            body,
        }
    }

    /// Deletes under a condition.
    pub fn delete(path: String, condition: object::Condition) -> Request {
        Request {
            kind: calls::Kind::Delete,
            method: Method::DELETE,
            path,
            condition: Some(condition),
            body: Bytes::new(),
        }
    }

    /// Whether an attempt without answer may have changed the object.
    pub fn is_write(&self) -> bool {
        self.condition.is_some()
    }

    /// The HTTP request to an address.
    pub fn to_http(&self, authority: &str) -> Result<http::Request<Full<Bytes>>, error::Error> {
        let builder = http::Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{authority}{}", self.path));
        let builder = match self.condition {
            Some(object::Condition::Absent) => builder.header(header::IF_NONE_MATCH, "*"),
            Some(object::Condition::Version(version)) => {
                builder.header(header::IF_MATCH, format!("\"{version}\""))
            }
            None => builder,
        };
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|e| error::Error::Protocol(e.to_string()))
    }
}

impl Answer {
    /// Version in the `etag` header.
    pub fn version(&self) -> Result<u64, error::Error> {
        self.headers
            .get(header::ETAG)
            .and_then(|etag| etag.to_str().ok())
            .and_then(|etag| etag.trim_matches('"').parse().ok())
            .ok_or_else(|| error::Error::Protocol("no version in the answer".to_string()))
    }

    /// The object that the answer carries.
    pub fn object(self) -> Result<object::Object, error::Error> {
        Ok(object::Object {
            version: self.version()?,
            body: self.body,
        })
    }

    /// The error that any call can get, or else the answer.
    pub fn checked(self, write: bool) -> Result<Answer, error::Error> {
        match self.status {
            StatusCode::PRECONDITION_FAILED => Err(error::Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(error::Error::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE => Err(error::Error::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(error::Error::RateLimited {
                retry_after: self.retry_after(),
            }),
            status if status.is_server_error() && write => {
                Err(error::Error::Ambiguous(status.to_string()))
            }
            status if status.is_server_error() => Err(error::Error::NoAnswer(status.to_string())),
            _ => Ok(self),
        }
    }

    /// Error for a status that the call does not expect.
    pub fn unexpected(&self) -> error::Error {
        error::Error::Protocol(self.status.to_string())
    }

    fn retry_after(&self) -> Option<time::Duration> {
        let value = self.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
        let seconds = value.parse().ok().map(time::Duration::from_secs);
        seconds.map(|time| time.min(numbers::MAX_DURATION))
    }
}
