//! A request with its body.

use std::{sync, time};

use bytes::Bytes;
use yuccatide_steering::model;

use super::headers;

/// A request that was read whole from its caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the decisions need to know.
    pub meta: model::RequestMeta,
    /// Identifier that the caller gave or was given, as text.
    pub caller_id: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query for the backend server.
    pub path: String,
    /// Headers that are passed on.
    pub headers: sync::Arc<Vec<headers::Header>>,
    /// Whole body.
    pub body: Bytes,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Trace that the request belongs to.
    pub traceparent: Option<String>,
}

impl Job {
    /// Hash of what makes two requests the same request.
    pub fn fingerprint(method: &http::Method, path: &str, body: &[u8]) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(method.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(path.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        hasher.digest()
    }

    /// Time that is left until the deadline.
    pub fn left(&self, now: model::Time) -> time::Duration {
        self.meta.deadline.saturating_sub(now)
    }
}
