//! A randomized soak: the real daemon as separate processes, with faults injected from outside.

pub mod book;
pub mod cases;
pub mod flags;
pub mod host;
pub mod judge;
pub mod keys;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod server;
pub mod traffic;
pub mod world;
