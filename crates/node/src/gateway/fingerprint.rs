//! Recognises requests that are sent again.

use std::net;

use http::{header, request};
use sha2::Digest;
use yuccatide_steering::gateway as decisions;

use super::body;

/// Fingerprint of a request: equal for requests of a caller with the same method, host, path, query
/// and body, whatever their ids.  Of a body that is not buffered only the start is known.  Callers
/// choose what is hashed, so the hash is a cryptographic one.
pub(super) fn fingerprint(
    caller: net::IpAddr,
    head: &request::Parts,
    body: &[u8],
) -> decisions::Fingerprint {
    let host = head.headers.get(header::HOST);
    let host = host.map_or(&[][..], |host| host.as_bytes());
    let path = head.uri.path_and_query();
    let path = path.map_or("", |path| path.as_str());
    let caller = caller.to_string();
    let parts = [
        caller.as_bytes(),
        head.method.as_str().as_bytes(),
        host,
        path.as_bytes(),
        &body[..body.len().min(body::MAX_BUFFERED_BYTES)],
    ];
    let mut hash = sha2::Sha256::new();
    for part in parts {
        // Lengths keep neighbouring parts apart.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut bytes = [0; size_of::<decisions::Fingerprint>()];
    bytes.copy_from_slice(&hash.finalize()[..size_of::<decisions::Fingerprint>()]);
    decisions::Fingerprint::from_le_bytes(bytes)
}
