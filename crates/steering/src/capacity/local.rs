//! Capacity and use of the backend servers that one host owns.

use std::time;

use serde::{Deserialize, Serialize};

/// Age above which a recorded capacity is treated as zero when capacity is granted to other hosts.
pub const MAX_CAPACITY_AGE: time::Duration = time::Duration::from_secs(3);

/// Capacity and use of the backend servers that one host owns, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Usable slots of live, warm servers that are not draining, up to the target utilization.
    pub slots: u32,
    /// Slots in use, including those used by requests from other data centres.
    pub in_use: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}

impl Capacity {
    /// Slots that are neither in use nor needed by waiting requests.
    pub fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.in_use)
            .saturating_sub(self.queued)
    }
}
