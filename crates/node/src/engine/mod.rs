//! The decisions of one host, with the actions that they ask for carried out.

mod attempt;
mod blocks;
mod control;
mod describe;
#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod engine;
mod explain;
mod follow;
mod gauges;
mod keys;
mod leave;
mod load;
mod lookup;
mod members;
mod run;
mod state;
mod steering;
mod view;

pub use engine::{Engine, Parts};
pub use lookup::{Host, Lookup};
pub use view::View;
