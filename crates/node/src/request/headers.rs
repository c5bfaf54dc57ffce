//! Names of the headers that carry what a request needs from hop to hop.

use http::header;

/// Time that is left for the answer, in milliseconds.
pub const DEADLINE: &str = "x-yuccatide-deadline-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by a backend server that refused a request before running it.
pub const NOT_RUN: &str = "x-yuccatide-not-run";
/// Outcome: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-yuccatide-outcome";
/// Rank of the kind of work.
pub const RANK: &str = "x-yuccatide-rank";
/// Why a request was not run, or why its outcome is unknown.
pub const REASON: &str = "x-yuccatide-reason";
/// Identifier of a request, returned with its answer.
pub const REQUEST_ID: &str = "x-yuccatide-request-id";
/// Name of the backend server that answered.
pub const SERVER: &str = "x-yuccatide-server";

/// A header that is passed on: name and value.
pub type Header = (String, Vec<u8>);

/// Headers of a message that are passed on: all but those of one connection and our own.
pub fn forwarded(headers: &http::HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn is_forwarded(name: &header::HeaderName) -> bool {
    let own = name.as_str().starts_with("x-yuccatide-");
    let connection = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let carried = [
        IDEMPOTENCY_KEY,
        "traceparent",
        "keep-alive",
        "proxy-connection",
    ];
    !own && !connection.contains(name) && !carried.contains(&name.as_str())
}
