//! Requests for a part of another data centre's capacity, and the answers.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model;

/// Time for which the owner sets the granted capacity aside, from its answer on.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);

/// Time for which the holder uses a grant, from its request on.
///
/// It is shorter than [`LEASE_DURATION`] by a second, the window over which link use is counted, so that
/// whatever the holder last sent has left the window when the owner gives the capacity away.
pub const HOLD_DURATION: time::Duration = time::Duration::from_secs(2);

/// Time after which the holder asks again.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(750);

/// Requests that may wait at once on any grant beside those that its slots allow, as a small grant
/// sees few requests at random times.
pub const BURST_REQUESTS: u32 = 3;

/// Number of a grant, unique for a process of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Process start of the owner.
    pub incarnation: model::Incarnation,
    /// Number within that process.
    pub number: u64,
}

/// A request for capacity, for one kind of work; it replaces the holder's earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Kind of work.
    pub work: model::WorkId,
    /// Number of the request, larger for each later one, to match the answer.
    pub number: u64,
    /// Slots wanted, in thousandths.
    pub milli_slots: u32,
    /// Bytes per second of requests wanted on the link; zero within a region.
    pub bytes_per_s: u64,
    /// Bytes per second that the holder may still be using.
    pub held_bytes_per_s: u64,
}

/// The answer to a [`GrantRequest`]; without slots it is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Kind of work.
    pub work: model::WorkId,
    /// Number of the request that it answers.
    pub number: u64,
    /// Number of the grant.
    pub id: GrantId,
    /// Slots granted, in thousandths: the mean number of requests in service.
    pub milli_slots: u32,
    /// Bytes per second of requests on the link.
    pub bytes_per_s: u64,
}
