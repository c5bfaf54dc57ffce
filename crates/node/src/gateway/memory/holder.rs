//! What one request or its answer holds of the memory for clients.

use std::{sync, time};

use bytes::Bytes;
use yuccatide_steering::clients;

use super::{client_connections, memory_budget};

/// Bytes of each body that are part of what every connection is counted with.
pub(in super::super) const SMALL_BODY_BYTES: usize = 4 << 10;

/// Bytes that a body in transfer may hold: what the client has sent before the host reads it, and
/// the buffers on the way.
const TRANSFER_BYTES: usize = 128 << 10;

/// Step in which the memory for a body that is kept grows.
const STEP_BYTES: usize = 16 << 10;

/// Time between attempts to reserve memory, after a slow client was closed.
const RESERVE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Attempts to reserve memory for a transfer.
const MAX_RESERVE_ATTEMPTS: u32 = 10;

/// Reserves memory for the body of a request or of an answer.
#[derive(Debug)]
pub(in super::super) struct Holder {
    budget: sync::Arc<memory_budget::MemoryBudget>,
    client: sync::Arc<client_connections::ClientConnection>,
    kept: Option<memory_budget::Reservation>,
    kept_bytes: usize,
}

/// Memory for a body that the client sends.
#[derive(Debug)]
pub(in super::super) struct Transfer {
    client: sync::Arc<client_connections::ClientConnection>,
    _reservation: memory_budget::Reservation,
}

impl Transfer {
    /// Records bytes that the client has sent to a backend server.
    pub(in super::super) fn record(&self, bytes: usize) {
        self.client.record(bytes);
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.client
            .leave(clients::Phase::Streaming, clients::Phase::Working);
    }
}

/// Bytes and the memory reserved for them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: memory_budget::Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Holder {
    /// Holds nothing yet.
    pub(in super::super) fn new(
        budget: &sync::Arc<memory_budget::MemoryBudget>,
        client: &sync::Arc<client_connections::ClientConnection>,
    ) -> Holder {
        Holder {
            budget: sync::Arc::clone(budget),
            client: sync::Arc::clone(client),
            kept: None,
            kept_bytes: SMALL_BODY_BYTES,
        }
    }

    /// Reserves memory for a body in transfer; slow clients are closed for it.  `None` if there is
    /// none.
    pub(in super::super) async fn reserve_transfer(&self) -> Option<Transfer> {
        for _ in 0..MAX_RESERVE_ATTEMPTS {
            if let Some(reservation) = self.budget.try_reserve(TRANSFER_BYTES) {
                return Some(Transfer {
                    client: sync::Arc::clone(&self.client),
                    _reservation: reservation,
                });
            }
            if !self.client.close_slow() {
                return None;
            }
            tokio::time::sleep(RESERVE_INTERVAL).await;
        }
        None
    }

    /// Whether `total` bytes of the body may be kept.
    pub(in super::super) fn may_keep(&mut self, total: usize) -> bool {
        if total <= self.kept_bytes {
            return true;
        }
        let missing = (total - self.kept_bytes).next_multiple_of(STEP_BYTES);
        let has_grown = match &mut self.kept {
            Some(kept) => kept.try_keep(missing),
            None => {
                self.kept = self.budget.try_reserve_kept(missing);
                self.kept.is_some()
            }
        };
        match has_grown {
            true => self.kept_bytes += missing,
            // Not for this body, which doesn't need to be kept.
            false => _ = self.client.close_slow(),
        }
        has_grown
    }

    /// Ties the memory reserved so far to bytes.
    pub(in super::super) fn hold(self, bytes: Bytes) -> Bytes {
        match self.kept {
            None => bytes,
            Some(reservation) => Bytes::from_owner(HeldBytes {
                bytes,
                _reservation: reservation,
            }),
        }
    }
}
