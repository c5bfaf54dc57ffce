//! Messages exchanged between hosts.

use std::time;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::run_outcome;
use crate::{model, numbers};

/// A message between hosts; it may be lost, delayed, duplicated or reordered.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Home to witness: the request is about to run.
    Record {
        /// Key of the request.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
        /// How long to retain the record.
        #[serde_as(as = "numbers::Bounded<serde_with::Same>")]
        retention: time::Duration,
    },
    /// Witness to home: reply to `Record`.
    RecordReply {
        /// Key of the request.
        key: model::IdempotencyKey,
        /// Whether the request may run.
        recorded: RecordStatus,
    },
    /// Home to witness: outcome of the run.
    Close {
        /// Key of the request.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
        /// Outcome of the run.
        end: run_outcome::RunOutcome,
        /// How long to retain the record.
        #[serde_as(as = "numbers::Bounded<serde_with::Same>")]
        retention: time::Duration,
    },
    /// Witness to home: reply to `Close`.
    CloseReply {
        /// Key of the request.
        key: model::IdempotencyKey,
    },
    /// Another host to home or witness: asks for the status of the request.  A request that has
    /// not started is refused from then on.
    Query {
        /// Request that the querying host has to respond to.
        id: model::RequestId,
        /// Key of the request.
        key: model::IdempotencyKey,
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Home or witness to another host: reply to `Query`.
    QueryReply {
        /// Request that the querying host has to respond to.
        id: model::RequestId,
        /// Key of the request.
        key: model::IdempotencyKey,
        /// Status of the key.
        verdict: KeyStatus,
    },
}

/// Reply of a witness to `Message::Record`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus {
    /// The request may run.
    Accepted,
    /// Another host was told that the request does not run, the key was recorded for another
    /// request, its mint time is ahead of the clock, or its record may have been evicted.
    Refused,
    /// The witness's table is full.
    Full,
    /// The key names a different process as its witness.
    NotWitness,
}

/// Status of a key at its home or witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The request ended or was refused.
    Ended(run_outcome::RunOutcome),
    /// The request started and has not ended.
    Started,
    /// The key has no record; one may have been evicted, or the mint time is too far ahead of the
    /// clock.
    Forgotten,
    /// The key names neither this process as its home nor as its witness.
    Gone,
}
