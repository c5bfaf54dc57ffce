//! Starts requests that a client sends before the earlier ones are answered.

mod ahead_limit;
mod connection;
mod guarded_body;
mod head_finder;
mod reader;
mod started_request;
mod stream;

pub use ahead_limit::AheadLimit;
pub(super) use connection::Connection;
pub use head_finder::{Found, Head, HeadFinder, request_parts};
pub(super) use stream::PipelinedStream;
