//! Budget shared by retries and hedged attempts.

mod budget;

pub use budget::Budget;
