//! What backend servers say of themselves in their answers.

/// Signals in one answer of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Requests that it has, running and waiting.
    pub load: Option<u32>,
    /// Requests per second that it takes from all hosts together; `None` without such a limit.
    pub limit: Option<f64>,
}
