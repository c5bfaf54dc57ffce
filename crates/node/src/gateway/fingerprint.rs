//! Recognises requests that are sent again.

use std::fmt;

use http::{header, request};
use sha2::Digest;
use yuccatide_steering::gateway as decisions;

use super::body;

/// Fingerprint of a request: equal for requests with the same method, host, path, query,
/// credentials, customer, object and body, whatever their ids and the addresses that they come from.
/// Of a body that is not buffered only the start is known.  Callers choose what is hashed, so the
/// hash is a cryptographic one.
pub(super) fn fingerprint(
    head: &request::Parts,
    customer: Option<&str>,
    object: Option<&str>,
    body: &[u8],
) -> decisions::Fingerprint {
    let bytes = |name| {
        let value: Option<&http::HeaderValue> = head.headers.get(name);
        value.map_or(&[][..], http::HeaderValue::as_bytes)
    };
    let path = head.uri.path_and_query();
    let path = path.map_or("", |path| path.as_str());
    let parts = [
        head.method.as_str().as_bytes(),
        bytes(header::HOST),
        path.as_bytes(),
        bytes(header::AUTHORIZATION),
        object.unwrap_or_default().as_bytes(),
        &body[..body.len().min(body::MAX_BUFFERED_BYTES)],
    ];
    let mut hash = sha2::Sha256::new();
    let customer = customer.map(str::as_bytes);
    for part in parts.into_iter().chain(customer) {
        // Lengths keep neighbouring parts apart.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut bytes = [0; size_of::<decisions::Fingerprint>()];
    bytes.copy_from_slice(&hash.finalize()[..size_of::<decisions::Fingerprint>()]);
    decisions::Fingerprint::from_le_bytes(bytes)
}

/// Writes a fingerprint as it stands in the log.
pub(super) struct Hex(pub(super) decisions::Fingerprint);

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
