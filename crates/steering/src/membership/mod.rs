//! Liveness of hosts: failure detection within a data centre, and summaries between data centres.

mod entry;
mod gossip;
mod member;
mod merge;
mod message;
mod probe;
mod relay;
mod rendezvous;
mod state;
mod sync;
mod timing;

pub use member::{Attributes, Identity, ListedHost, Member, Record, State, Status};
pub use message::{Body, Message, Sender, Update};
pub use relay::{relays, watchers};
pub use rendezvous::{candidate_hash, score, top_candidates, weighted_score};
pub use state::{Action, Membership, Notice};
