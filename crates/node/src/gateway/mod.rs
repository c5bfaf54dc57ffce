//! The HTTP gateway: clients' requests go to backend servers as they are.
//!
//! It knows no platform: names of headers, the feed of configuration and backend servers, and the
//! form of look-ups are given to it.

mod access;
mod activity;
mod arrivals;
mod body;
mod connections;
mod error;
mod follow;
mod forward;
mod frontend;
#[allow(
    clippy::module_inception,
    reason = "files are named after their main type"
)]
mod gateway;
mod gossip;
mod header_names;
mod lines;
mod metrics;
mod reply;
mod sending;
mod update;

pub use access::{Access, Newest};
pub use body::Body;
pub use follow::{Change, Events, Freshness, Listing, News, Pace, Source, SourceError, follow};
pub use frontend::Frontend;
pub use gateway::{Gateway, Settings};
pub use gossip::gossip;
pub use header_names::{HeaderNames, ServerLoad};
pub use metrics::Metrics;
pub use update::Update;
