//! Look-ups: selects the entry hosts that a caller should use.

mod block_table;
mod chunk;
mod host_directory;
mod loader;
mod ranges;
mod response;

pub use block_table::{BlockMatch, BlockTable};
pub use chunk::{Block, Chunk, ChunkError, EncodedChunk, encode};
pub use host_directory::HostDirectory;
pub use loader::Loader;
pub use response::{Error, Host, Response, respond};
