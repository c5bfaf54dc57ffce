//! Starts requests that a client sends before the earlier ones are answered.

mod answer;
mod connection;
mod gated_body;
mod head;
mod limit;
mod reader;
mod stream;

pub(super) use connection::Connection;
pub use head::{Found, Head, HeadFinder, request_parts};
pub use limit::AheadLimit;
pub(super) use stream::PipelinedStream;
