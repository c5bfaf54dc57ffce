//! Propagation of accepted configurations to every host.

mod backoff;
mod call;
mod message;
mod platform;
mod propagate;
mod pull;
mod start;
mod state;
mod submit;
mod timing;

pub use call::{CallId, Request, Response, Revision};
pub use message::{Body, Message};
pub use state::{Action, Follower, Identity, Notice};
pub use submit::{SubmissionId, SubmitResult};
