//! Hedging: a second attempt for a request that may be repeated, when the first is slower than
//! nearly all of its kind.

mod extra_work;
mod hedger;
mod latency_quantile;

pub use hedger::Hedger;
