//! Quotas: bounds on the requests of a customer, summed over all hosts.
//!
//! Each host holds a fixed part of each quota as a token bucket; one request takes one token.  A
//! host that lacks tokens asks hosts that hold more for some, which end after a short time.  No
//! part ever changes hands, so hosts need not agree on anything but their number.

mod account;
mod allotment;
mod bucket;
mod holders;
mod ledger;
mod messages;
#[allow(
    clippy::module_inception,
    reason = "files are named after their main type"
)]
mod quota;
mod stock;
mod usage;

pub use holders::{Holders, Peer};
pub use ledger::{Admission, Ledger, Outgoing, Refusal, Verdict};
pub use messages::{Ask, Grant, Granted, Message, Rest};
pub use quota::{Bounds, Quota};
pub use stock::Token;
