//! A caller.

mod answer;
#[expect(
    clippy::module_inception,
    reason = "the type carries the name of its folder"
)]
mod caller;
mod lookup;
mod request;

pub use answer::{Answer, Error};
pub use caller::{Caller, Config};
pub use lookup::{Host, Lookup};
pub use request::Request;
