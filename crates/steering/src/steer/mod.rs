//! The arrival side of a request: which data centre and which owning host serve it.

mod alignment;
mod averages;
mod flow;
mod heat;
mod message;
mod peers;
mod plan;
mod route;
mod router;
mod status;
mod steps;
mod takeover;
mod topology;

pub use flow::FlowKey;
pub use heat::Heat;
pub use message::{Action, FlowShares, Load, Message, Report};
pub use peers::{Peer, Peers};
pub use plan::{Cause, Input, Move, Plan, plan};
pub use route::{Completion, Route};
pub use router::{Capacities, Router, TICK_INTERVAL};
pub use status::{DrainStatus, FlowStatus, GivenStatus, HeldStatus, Status};
pub use topology::Topology;
