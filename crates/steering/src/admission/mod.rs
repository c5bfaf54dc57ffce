//! Admission control: which waiting request gets the next free slot, and which is refused.

mod contender;
mod demand;
mod guarantee;
mod queue;
mod service_time;

pub use contender::{ClaimBasis, Contender, sort_contenders};
pub use demand::Demand;
pub use guarantee::Guarantee;
pub use queue::Queue;
pub use service_time::ServiceTime;
