//! Answers of the stand-ins.

use std::time;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators};
use hyper::body;
use serde::Serialize;
use thiserror::Error;

const FLUSH_TIME: time::Duration = time::Duration::from_millis(10);

/// Body of an answer.
pub type Body = combinators::BoxBody<Bytes, Broken>;

/// An answer.
pub type Answer = http::Response<Body>;

/// Closes the connection in place of an answer, or in the middle of one.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the connection is closed without a whole answer")]
pub struct Broken;

/// An answer without body.
pub fn empty(status: http::StatusCode) -> Answer {
    full(status, Bytes::new())
}

/// An answer with a whole body.
pub fn full(status: http::StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|e| match e {});
    let mut answer = http::Response::new(body.boxed());
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
pub fn json(status: http::StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("the value has a JSON form");
    let mut answer = full(status, body);
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    answer
}

/// An answer that announces the whole body and breaks off after half of it.
pub fn truncated(status: http::StatusCode, body: Bytes) -> Answer {
    let length = body.len();
    let half = body.slice(..length / 2);
    let first = stream::iter([Ok(body::Frame::data(half))]);
    let frames = first.chain(stream::once(async {
        // The first half has to be on its way before the connection is closed.
        tokio::time::sleep(FLUSH_TIME).await;
        Err(Broken)
    }));
    let mut answer = http::Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length.into());
    answer
}
