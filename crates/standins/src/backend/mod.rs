//! A backend server.

#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod backend;
mod load;
mod run;
mod state;

pub use backend::{Backend, Config};
pub use load::Load;
pub use run::{Ending, Run};
