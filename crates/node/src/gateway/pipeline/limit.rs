//! Bounds on what one connection may have started ahead of its turn.

/// Bounds by number and by bytes.
#[derive(Clone, Copy, Debug)]
pub struct AheadLimit {
    /// Most requests that run or have an answer waiting for its turn.
    pub requests: usize,
    /// Most bytes reserved for their answers.
    pub bytes: usize,
}

impl AheadLimit {
    /// Whether a request for whose answer `more` bytes are reserved may be started beside those that
    /// reserve `held` each.
    pub fn admits(&self, held: impl Iterator<Item = usize>, more: usize) -> bool {
        let (requests, bytes) = held.fold((0, 0), |(requests, bytes), held| {
            (requests + 1, bytes + held)
        });
        requests < self.requests && bytes + more <= self.bytes
    }
}
