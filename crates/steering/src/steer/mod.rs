//! Traffic steering on the entry host: selects the data centre and the owning host for a request.

mod alignment;
mod averages;
mod flow;
mod message;
mod peers;
mod plan;
mod route;
mod router;
mod share_sync;
mod spillover;
mod status;
mod tick;
mod topology;

pub use flow::FlowKey;
pub use message::{Action, FlowShares, Load, Message, Report};
pub use peers::{Peer, Peers};
pub use plan::{Cause, CellMove, Plan, PlanInput, plan};
pub use route::{Completion, Route};
pub use router::{Capacities, Router, TICK_INTERVAL};
pub use spillover::Spillover;
pub use status::{DrainStatus, FlowStatus, HeldGrantStatus, IssuedGrantStatus, Status};
pub use topology::Topology;
