//! Administration API: JSON types and authorization.

mod authorize;
mod explain;
mod responses;
mod status;

pub use authorize::{
    Author, MAX_PATCH_BYTES, Refusal, authenticate, authorize, authorize_blocks, is_administrator,
};
pub use explain::{Candidate, Explain, Step};
pub use responses::{History, Invalid, Outdated, Problem, Refused, Unknown, Version};
pub use status::{
    Control, DataCentreStatus, DrainStatus, HostState, HostStatus, ServerState, ServerStatus,
    Status,
};
