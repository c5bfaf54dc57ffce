//! Protocol between entry hosts.

mod error;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
mod links;
mod replay;
mod service;
mod tls;
mod wire;

pub use error::Error;
pub use links::{Links, Me};
pub use replay::Replay;
pub use service::{
    Batch, ForwardResult, Handlers, OnBatch, OnChunk, OnForward, OnRefused, Service, server,
};
pub use tls::Identity;
pub use wire::{Purpose, answer_from_wire, answer_to_wire, job_from_wire, job_to_wire};
