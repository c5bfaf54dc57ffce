//! HTTP servers, for callers and for operators.

mod reply;
mod server;

pub use reply::{Reply, json, json_text, parameter, text};
pub use server::Server;
