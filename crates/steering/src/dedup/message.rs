//! Messages between hosts.

use std::time;

use serde::{Deserialize, Serialize};

use super::run_outcome;
use crate::model;

/// A message between hosts; it may be lost, delayed, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Home to witness: the request is about to be run.
    Record {
        /// Key.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
        /// How long the record is to be kept.
        retention: time::Duration,
    },
    /// Witness to home: answer to `Record`.
    RecordReply {
        /// Key.
        key: model::IdempotencyKey,
        /// Whether the request may be run.
        recorded: RecordStatus,
    },
    /// Home to witness: how the run ended.
    Close {
        /// Key.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
        /// End of the run.
        end: run_outcome::RunOutcome,
        /// How long the record is to be kept.
        retention: time::Duration,
    },
    /// Witness to home: answer to `Close`.
    CloseReply {
        /// Key.
        key: model::IdempotencyKey,
    },
    /// Another host to home or witness: what became of the request?  If it was not started, it
    /// is refused from then on.
    Query {
        /// Request that the asking host has to answer.
        id: model::RequestId,
        /// Key.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Home or witness to another host: answer to `Query`.
    QueryReply {
        /// Request that the asking host has to answer.
        id: model::RequestId,
        /// Key.
        key: model::IdempotencyKey,
        /// What is known.
        verdict: KeyStatus,
    },
}

/// Answer of a witness to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus {
    /// The request may be run.
    Accepted,
    /// Another host was told that the request is not run, or the record may have been forgotten.
    Refused,
    /// The witness has no room for it.
    Full,
    /// The key names another process as its witness.
    NotWitness,
}

/// What a home or a witness knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// It has ended, or was refused.
    Ended(run_outcome::RunOutcome),
    /// It was started and has not ended.
    Started,
    /// Its record may have been forgotten after its retention.
    Forgotten,
    /// The key names another process of this host.
    Gone,
}
