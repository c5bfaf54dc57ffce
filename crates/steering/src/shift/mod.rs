//! Traffic shares of data centres, and limits on how fast traffic shifts between them.

mod move_log;
mod ramp;
mod shares;

pub use move_log::MoveLog;
pub use ramp::Ramp;
pub use shares::{CELL_COUNT, Shares, cell_of};
