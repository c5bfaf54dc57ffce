//! State for the status page and metrics.

use serde::Serialize;

/// State of the keys at one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Keys stored as home.
    pub home_keys: usize,
    /// Refused keys stored as home.
    pub home_refusals: usize,
    /// Size of the results stored as home, in bytes.
    pub home_bytes: usize,
    /// Keys that wait for the witness to record them.
    pub recording: usize,
    /// Keys whose request is running.
    pub running: usize,
    /// Keys whose outcome the witness has not acknowledged.
    pub closing: usize,
    /// Keys stored as witness.
    pub witness_keys: usize,
    /// Refused keys stored as witness.
    pub witness_refusals: usize,
    /// Size of the results stored as witness, in bytes.
    pub witness_bytes: usize,
    /// Requests forwarded to their home without a response so far.
    pub forwarded: usize,
    /// Requests whose outcome is being queried.
    pub asking: usize,
    /// Mint time up to which unseen keys get the outcome `unknown`, in milliseconds since the Unix
    /// epoch.
    pub horizon_unix_ms: u64,
    /// Counters since the start of the process.
    pub counters: Counters,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests with a key that were started.
    pub runs: u64,
    /// Duplicates that waited for the result of the first request.
    pub joined: u64,
    /// Duplicates that got a stored outcome.
    pub replayed: u64,
    /// Requests refused because their key was used for another request.
    pub reused: u64,
    /// Requests refused because the key table of their home was full; excludes those refused
    /// because the table of the witness was full.
    pub full: u64,
    /// Requests refused because the witness did not record them.
    pub no_witness: u64,
    /// Keys refused as witness because of a query from another host.
    pub fenced: u64,
    /// Results dropped because they exceeded a size limit.
    pub results_dropped: u64,
    /// Requests, messages and events dropped because they repeated the identifier of a pending
    /// request, matched no pending request or came from a host that may not send them.
    pub strays: u64,
}
