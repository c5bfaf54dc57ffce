//! Selection of a backend server for a request, and assignment of backend servers to hosts.

mod attempt_outcome;
mod foreign_load;
mod limits;
mod load_report;
mod outlier;
mod ownership;
mod server;
mod server_state;
mod utilization_meter;

pub use attempt_outcome::AttemptOutcome;
pub use foreign_load::ForeignLoad;
pub use limits::{Limits, SlotLimit};
pub use load_report::LoadReport;
pub use outlier::OutlierDetector;
pub use ownership::ownership;
pub use server::Server;
pub use server_state::{ServerSnapshot, ServerState};
pub use utilization_meter::UtilizationMeter;
