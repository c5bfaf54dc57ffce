//! Memory that a host holds for clients.

mod memory_budget;

pub(super) use memory_budget::{MemoryBudget, Reservation};
