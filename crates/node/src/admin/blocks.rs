//! Chunks of the table of client blocks.

use http_body_util::{BodyExt, Limited};
use hyper::body;
use yuccatide_steering::{admin, lookup};

use super::{Error, Interface, patch};
use crate::serve;

/// Paths of chunks; the SHA-256 of the bytes follows.
pub(super) const PREFIX: &str = "/v1/admin/blocks/";

/// Largest chunk, as the platform takes it.
const MAX_CHUNK_BYTES: usize = 1 << 20;

/// `PUT /v1/admin/blocks/SHA256`: stores a chunk, which a later patch may name.
pub(super) async fn store(
    interface: &Interface,
    req: http::Request<body::Incoming>,
) -> Result<serve::Reply, Error> {
    let doc = interface.engine.document().ok_or(Error::NotReady)?;
    let author = admin::authorize_blocks(&doc, &patch::token_of(&req))?;
    let sha256 = req.uri().path()[PREFIX.len()..].to_string();
    let body = Limited::new(req.into_body(), MAX_CHUNK_BYTES).collect();
    let bytes = body.await.map_err(|e| Error::Body(e.to_string()))?;
    let bytes = bytes.to_bytes();
    let chunk = lookup::Chunk::decode(&bytes, &sha256).map_err(|e| Error::Form {
        path: sha256.clone(),
        message: e.to_string(),
    })?;
    let stored = interface.engine.store_chunk(&sha256, bytes).await;
    stored.map_err(|e| {
        log::warn!(error:% = e; "a chunk was not stored");
        Error::Unavailable
    })?;
    log::info!(chunk = sha256, blocks = chunk.len(), author:% = author; "a chunk was stored");
    Ok(serve::text(http::StatusCode::OK, "stored"))
}
