//! Bandwidth limits for the links between regions.

mod ranked;
mod rate;
mod window;

pub use ranked::RankedWindow;
pub use rate::owner_link_rate;
pub use window::{WINDOW_LENGTH, Window};
