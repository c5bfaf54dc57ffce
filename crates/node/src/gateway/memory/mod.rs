//! Memory and connections that a host holds for clients.

mod answer_body;
mod client_connections;
mod holder;
mod memory_budget;

pub(super) use answer_body::answer;
pub(super) use client_connections::{ClientConnection, ClientConnections};
pub(super) use holder::{Holder, SMALL_BODY_BYTES, Transfer};
pub(super) use memory_budget::{MemoryBudget, Reservation};
