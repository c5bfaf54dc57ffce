//! Configuration: one versioned document, changed by patches.

mod check;
mod document;
mod patch;
mod stored;

pub use check::{Problem, check};
pub use document::{
    BlockChunk, DataCentre, Document, Drain, DrainTarget, Latency, Link, Policy, Region, Server,
    Service, ShiftCap, Site, Team, Token, Work,
};
pub use patch::{Patch, PatchError, PatchId};
pub use stored::{Change, KEPT_CHANGE_COUNT, StoredConfig};
