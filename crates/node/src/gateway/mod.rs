//! The HTTP gateway: forwards clients' requests unchanged to backend servers.
//!
//! It is independent of the platform: an adapter supplies the header names, the updates of
//! configuration and backend servers, and the protocol of look-ups.

mod activity;
mod activity_mark;
mod attempt;
mod authentication;
mod body;
mod broken_answers;
mod connection_pool;
mod demand;
mod error;
mod exchange;
mod fingerprint;
mod forward;
mod frontend;
#[allow(
    clippy::module_inception,
    reason = "files are named after their main type"
)]
mod gateway;
mod gossip;
mod header_names;
mod hedge;
mod list_watch;
mod log_limit;
mod memory;
mod metrics;
mod pipeline;
mod quota;
mod report;
mod response;
mod settings;
mod state;
mod status_check;
mod store_copy;
mod store_state;
mod update;

pub use activity_mark::ActivityMark;
pub use body::Body;
pub use frontend::Frontend;
pub use gateway::Gateway;
pub use gossip::gossip;
pub use header_names::HeaderNames;
pub use list_watch::{
    Change, Followed, Freshness, Listing, StoreError, StoreEvent, StoreReader, WatchBatch,
    WatchLimits, WatchOptions, list_and_watch,
};
pub use metrics::Metrics;
pub use pipeline::{AheadLimit, Found, Head, HeadFinder, request_parts};
pub use settings::Settings;
pub use store_copy::{CopyError, RawChange, RawChanges, RawListing, StoreCopy};
pub use store_state::StoreState;
pub use update::Update;
