//! What the pool of this host has left.

use std::time;

use serde::{Deserialize, Serialize};

/// Age above which a capacity is taken as zero by those who would hand it out.
pub const MAX_CAPACITY_AGE: time::Duration = time::Duration::from_secs(3);

/// Use of the backend servers that one host owns, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Slots of live, warm, not leaving servers, after the target headroom.
    pub slots: u32,
    /// Slots in use, including those of requests from other data centres.
    pub in_use: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}

impl Capacity {
    /// Slots that nothing uses or waits for.
    pub fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.in_use)
            .saturating_sub(self.queued)
    }
}
