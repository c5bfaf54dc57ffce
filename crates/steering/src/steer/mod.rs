//! Traffic steering on the entry host: selects the data centre and the owning host for a request.
//!
//! A *flow* is the traffic of one kind of work from the callers of one home data centre.  It is
//! divided into *cells*, each assigned to one data centre; the *share* of a data centre is the part
//! of the cells that it has.  A *slot* is room for one running request on a backend server.  The
//! *owner* of a server is the host that sends requests to it and issues *grants*: leases of slots,
//! and of bytes per second on the link between regions, to other hosts.  The *document* is the
//! configuration in force.

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
