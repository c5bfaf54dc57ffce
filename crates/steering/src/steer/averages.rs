//! Running averages over completed requests.

use std::time;

/// Weight of a new value in the exponentially weighted averages.
const NEW_VALUE_WEIGHT: f64 = 0.05;

/// Mean time for which a request occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct MeanSlotTime {
    mean_s: f64,
}

impl Default for MeanSlotTime {
    fn default() -> MeanSlotTime {
        MeanSlotTime { mean_s: 0.1 }
    }
}

impl MeanSlotTime {
    /// Records the slot time of a completed request.
    pub fn record(&mut self, slot_time: time::Duration) {
        self.mean_s += NEW_VALUE_WEIGHT * (slot_time.as_secs_f64() - self.mean_s);
    }

    /// Mean in seconds.
    pub fn mean_s(&self) -> f64 {
        self.mean_s
    }
}

/// Estimated upper bound of the response size of a kind of work.
#[derive(Clone, Copy, Debug)]
pub struct ResponseBytesBound {
    bytes: f64,
}

impl Default for ResponseBytesBound {
    fn default() -> ResponseBytesBound {
        ResponseBytesBound { bytes: 4096.0 }
    }
}

impl ResponseBytesBound {
    /// Records the size of a response.  The estimate rises to a larger response at once and decays
    /// slowly.
    pub fn record(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.bytes = bytes.max(self.bytes + NEW_VALUE_WEIGHT * (bytes - self.bytes));
    }

    /// The estimate in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.ceil() as u64
    }
}
