//! Decision logic of the HTTP gateway: route selection, placement on backend servers, queueing,
//! refusals, retries, membership, and the look-ups that distribute clients over data centres.

mod admission;
mod client_retry;
mod crash_book;
mod dispatcher;
mod evacuations;
mod fairness;
mod lookup_balancer;
mod members;
mod outcome;
mod placement;
mod policy;
mod remote_in_flight;
mod request;
mod retry_budget;
mod route_table;
mod send_shares;
mod server;
mod server_set;
mod service_times;
mod signal_book;
mod signals;
mod store_readers;
mod store_revision;
mod target_shares;
mod traffic_splitter;

pub use client_retry::ClientRetryDetector;
pub use crash_book::{Crash, CrashBook, CrashReport};
pub use dispatcher::{Decision, Dispatcher, RetryLimits, Ticket};
pub use evacuations::Evacuations;
pub use lookup_balancer::{CapacityAndDemand, Client, LookupBalancer};
pub use members::{
    HEARTBEAT_INTERVAL, Heartbeat, Load, LookupShares, Member, Members, Message, Outgoing,
    SUMMARY_INTERVAL, Summary,
};
pub use outcome::{NextAction, Outcome, Reason};
pub use policy::{ClientLimits, Policy, Route, Service, WeightedService};
pub use remote_in_flight::RemoteInFlight;
pub use request::{Fingerprint, Request};
pub use retry_budget::RetryBudget;
pub use route_table::{RouteMatch, RouteTable};
pub use send_shares::{ColdTolerance, KnownHosts};
pub use server::{MAX_PAUSE, Server, ServerEntry, ServerState};
pub use server_set::{Removal, ServerIndex, ServerSet};
pub use service_times::ServiceTimeEstimates;
pub use signal_book::{SignalBook, SignalNews};
pub use signals::{ServerSignals, SignalChange};
pub use store_readers::sources as store_sources;
pub use store_revision::{StoreEra, StoreProgress, StoreRevision};
pub use traffic_splitter::TrafficSplitter;
