//! Bodies of answers.

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;

/// An HTTP answer with a whole body.
pub type Reply = http::Response<Full<Bytes>>;

/// Answer with a line of text.
pub fn text(status: http::StatusCode, line: impl Into<String>) -> Reply {
    let mut reply = Reply::new(Full::new(Bytes::from(line.into() + "\n")));
    *reply.status_mut() = status;
    let content_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    reply
}

/// Answer with a JSON body.
pub fn json(status: http::StatusCode, body: &impl Serialize) -> Reply {
    let Ok(body) = serde_json::to_vec(body) else {
        return text(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "the answer has no JSON form",
        );
    };
    let mut reply = json_text(body);
    *reply.status_mut() = status;
    reply
}

/// Successful answer with a body that is JSON already.
pub fn json_text(body: impl Into<Bytes>) -> Reply {
    let mut reply = Reply::new(Full::new(body.into()));
    let content_type = http::HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    reply
}

/// Value of a parameter in a query string.
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
