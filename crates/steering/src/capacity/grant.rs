//! Requests for part of another data centre's capacity, and the grants sent in reply.
//!
//! The owner of backend servers issues grants of their capacity; the host in another data centre
//! that gets a grant is its holder.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model;

/// Time for which the owner reserves the granted capacity, counted from its reply.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);

/// Time for which the holder uses a grant, counted from its request.
///
/// It is shorter than [`LEASE_DURATION`] by a second, the window over which link use is counted, so
/// that the holder's last requests have left the window when the owner grants the capacity to
/// another host.
pub const HOLD_DURATION: time::Duration = time::Duration::from_secs(2);

/// Interval at which the holder renews its grants.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(750);

/// Requests that may be in flight under a grant in addition to those that its slots allow.
/// Small grants need this, since their few requests arrive at random times.
pub const BURST_REQUESTS: u32 = 3;

/// Identifier of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Incarnation of the owner that issued the grant.
    pub incarnation: model::Incarnation,
    /// Number of the grant, unique within the incarnation.
    pub number: u64,
}

/// A request for capacity for one kind of work; it replaces the holder's previous request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Kind of work.
    pub work: model::WorkId,
    /// Number of the request, increasing with each request; used to match the reply.
    pub number: u64,
    /// Requested slots, in thousandths.
    pub milli_slots: u32,
    /// Requested link bytes per second; zero within a region.
    pub bytes_per_s: u64,
    /// Link bytes per second that the holder may still be using.
    pub held_bytes_per_s: u64,
}

/// The reply to a [`GrantRequest`]; a grant without slots is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Kind of work.
    pub work: model::WorkId,
    /// Number of the request to which it replies.
    pub number: u64,
    /// Identifier of the grant.
    pub id: GrantId,
    /// Granted slots, in thousandths: the mean number of requests in service.
    pub milli_slots: u32,
    /// Granted link bytes per second.
    pub bytes_per_s: u64,
}
