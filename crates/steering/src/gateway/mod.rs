//! Decisions of the HTTP gateway: routes, placement on backend servers, waiting, refusals, retries
//! and the look-ups that spread clients over data centres.

mod admission;
mod budget;
mod directory;
mod estimate;
mod fairness;
mod fleet;
mod members;
mod outcome;
mod placement;
mod policy;
mod pool;
mod request;
mod returns;
mod server;
mod split;
mod table;
mod targets;

pub use budget::RetryBudget;
pub use directory::{Client, Directory, Spread};
pub use estimate::ServiceTimes;
pub use fleet::{Fleet, ServerIndex};
pub use members::{BEAT, Beat, Load, Member, Members, Message, NameShares, SUMMARY, Summary};
pub use outcome::{Next, Outcome, Reason};
pub use policy::{Limits, Part, Policy, Route, Service};
pub use pool::{Decision, Pool, RetryLimits, Ticket};
pub use request::Request;
pub use returns::Returns;
pub use server::{Entry, Server, ServerState};
pub use split::Splits;
pub use table::{Found, Table};
