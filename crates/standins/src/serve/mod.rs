//! The HTTP server that the stand-ins share.

mod answer;
mod server;

pub use answer::{Answer, Body, Broken, empty, full, json, truncated};
pub use server::Server;
