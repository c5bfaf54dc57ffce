//! Connections of clients, and which of them is closed where memory or descriptors are short.

mod connection_table;
mod progress;

pub use connection_table::{ConnectionId, ConnectionTable, Phase};
pub use progress::Progress;
