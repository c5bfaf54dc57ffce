//! Request metadata.

use serde::{Deserialize, Serialize};

use super::{ids, key};

/// Metadata of a request, used for routing decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// Identifier, the same at every hop.
    pub id: ids::RequestId,
    /// Kind of work.
    pub work: ids::WorkId,
    /// Home data centre of the caller, from the table of client blocks.
    pub origin: ids::DataCentreId,
    /// Stable hash of the idempotency key, or else of the caller; selects the cell, a part of the
    /// traffic that moves between data centres as one.
    pub affinity: u64,
    /// Time after which a response is of no use to the caller.
    pub deadline: ids::Time,
    /// Size of the received request body, in bytes.
    pub body_bytes: u64,
    /// Idempotency key, for work that must run at most once.
    pub key: Option<key::IdempotencyKey>,
}
