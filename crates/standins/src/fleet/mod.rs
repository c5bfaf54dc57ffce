//! Entry hosts' state machines in one thread, in virtual time, with messages passed by hand.

mod host;
mod meter;
mod network;
mod store;

pub use host::Host;
pub use meter::{Meter, Traffic};
pub use network::{Fleet, Place, Reply, TICK, data_centre_name};
pub use store::Store;
