//! Counters of messages and bytes.

use std::time;

/// Bytes that a message costs beside its payload: HTTP/2 frames and headers of one unary call and
/// its answer, TLS records, TCP and IP headers with acknowledgements.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 250;

/// Messages and bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes with the overhead of each message.
    pub bytes: u64,
}

/// Traffic of one host since the last reset, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// Sent to other hosts and the platform.
    pub sent: Traffic,
    /// Received from other hosts and the platform.
    pub received: Traffic,
    /// Largest number of bytes sent and received within one second.
    pub peak_second: u64,
    second: u64,
    in_second: u64,
}

impl Meter {
    /// Counts a sent message.
    pub fn send(&mut self, payload: usize, now: time::Duration) {
        let bytes = self.count(payload, now);
        self.sent.messages += 1;
        self.sent.bytes += bytes;
    }

    /// Counts a received message.
    pub fn receive(&mut self, payload: usize, now: time::Duration) {
        let bytes = self.count(payload, now);
        self.received.messages += 1;
        self.received.bytes += bytes;
    }

    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.sent.bytes + self.received.bytes
    }

    fn count(&mut self, payload: usize, now: time::Duration) -> u64 {
        let bytes = payload as u64 + MESSAGE_OVERHEAD_BYTES;
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.in_second = 0;
        }
        self.in_second += bytes;
        self.peak_second = self.peak_second.max(self.in_second);
        bytes
    }
}
