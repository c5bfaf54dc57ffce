//! The memory that a host may hold for all clients together.

use std::sync::{self, atomic};

/// Bytes that are reserved before they are read or buffered.
#[derive(Debug)]
pub(in super::super) struct MemoryBudget {
    limit: usize,
    used: atomic::AtomicUsize,
}

/// A part of the budget, returned to it when this is dropped.
#[derive(Debug)]
pub(in super::super) struct Reservation {
    budget: sync::Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub(in super::super) fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            limit,
            used: atomic::AtomicUsize::new(0),
        }
    }

    /// Reserves a part; `None` if less than that is left.
    pub(in super::super) fn try_reserve(
        self: &sync::Arc<MemoryBudget>,
        bytes: usize,
    ) -> Option<Reservation> {
        let mut reservation = Reservation {
            budget: sync::Arc::clone(self),
            bytes: 0,
        };
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// The same for bytes that are kept for another attempt or until they are read, which may take
    /// half of the budget.
    pub(in super::super) fn try_reserve_kept(
        self: &sync::Arc<MemoryBudget>,
        bytes: usize,
    ) -> Option<Reservation> {
        let mut reservation = self.try_reserve(0)?;
        reservation.try_keep(bytes).then_some(reservation)
    }

    /// Bytes that are reserved.
    pub(in super::super) fn used(&self) -> usize {
        self.used.load(atomic::Ordering::Relaxed)
    }
}

impl Reservation {
    /// Adds `bytes`; returns false, and adds none, if less than that is left.
    pub(in super::super) fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_grow_within(bytes, self.budget.limit)
    }

    /// The same for bytes that are kept.
    pub(in super::super) fn try_keep(&mut self, bytes: usize) -> bool {
        self.try_grow_within(bytes, self.budget.limit / 2)
    }

    fn try_grow_within(&mut self, bytes: usize, limit: usize) -> bool {
        let order = atomic::Ordering::Relaxed;
        let has_grown = self.budget.used.fetch_update(order, order, |used| {
            used.checked_add(bytes).filter(|sum| *sum <= limit)
        });
        if has_grown.is_ok() {
            self.bytes += bytes;
        }
        has_grown.is_ok()
    }

    /// Returns all but `bytes` to the budget.
    pub(in super::super) fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget
            .used
            .fetch_sub(surplus, atomic::Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .used
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
