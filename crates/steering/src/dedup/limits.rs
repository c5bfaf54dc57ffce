//! Time and memory limits.

use std::time;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Time and memory limits for keys at one host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of keys stored as home, and the same number as witness.
    pub keys: usize,
    /// Maximum number of refused keys stored in each of the two roles.
    pub refusals: usize,
    /// Maximum total size of stored results in each of the two roles, in bytes.
    pub result_bytes: usize,
    /// Maximum size of a stored result, in bytes.
    pub result_bytes_each: usize,
    /// Maximum number of requests with the same key that wait for its result.
    pub waiters: usize,
    /// How long a refused key is stored, counted from its mint time; while the witness has not
    /// acknowledged the refusal, counted from the refusal.
    #[serde(rename = "refusal_retention_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub refusal_retention: time::Duration,
    /// Maximum lead of another host's clock.
    #[serde(rename = "clock_lead_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub clock_lead: time::Duration,
    /// Initial interval after which an unacknowledged message is sent again.
    #[serde(rename = "resend_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub resend: time::Duration,
    /// Time after which the home gives up on a witness that does not reply.
    #[serde(rename = "witness_timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub witness_timeout: time::Duration,
    /// How long a witness is not selected again after it was full or replaced by another process,
    /// or did not reply in time or before the deadline of the request.
    #[serde(rename = "suspicion_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspicion: time::Duration,
    /// How long an outcome is resent to a witness that does not acknowledge it.
    #[serde(rename = "close_timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub close_timeout: time::Duration,
    /// Time before the deadline reserved to query the outcome of a forwarded request.
    #[serde(rename = "ask_reserve_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ask_reserve: time::Duration,
    /// How long a host queries the outcome of a request whose home is gone.
    #[serde(rename = "ask_timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ask_timeout: time::Duration,
    /// Time after the deadline during which the outcome of a run is still awaited.
    #[serde(rename = "deadline_grace_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline_grace: time::Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            keys: 100_000,
            refusals: 50_000,
            result_bytes: 4 << 20,
            result_bytes_each: 64 << 10,
            waiters: 32,
            refusal_retention: time::Duration::from_secs(600),
            clock_lead: time::Duration::from_secs(60),
            resend: time::Duration::from_millis(100),
            witness_timeout: time::Duration::from_secs(1),
            suspicion: time::Duration::from_secs(10),
            close_timeout: time::Duration::from_secs(10),
            ask_reserve: time::Duration::from_millis(500),
            ask_timeout: time::Duration::from_secs(1),
            deadline_grace: time::Duration::from_millis(200),
        }
    }
}
