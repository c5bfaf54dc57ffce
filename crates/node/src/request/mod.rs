//! Requests and answers as they pass through a host.

mod answer;
mod headers;
mod job;

pub use answer::Answer;
pub use headers::{
    DEADLINE, Header, IDEMPOTENCY_KEY, NOT_RUN, OUTCOME, RANK, REASON, REQUEST_ID, SERVER,
    forwarded,
};
pub use job::Job;
