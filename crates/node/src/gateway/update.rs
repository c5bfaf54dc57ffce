//! What the platform tells a gateway.

use std::collections;

use yuccatide_steering::{gateway, model};

/// What the platform tells a gateway.
#[derive(Clone, Debug)]
pub enum Update {
    /// A version of the configuration.
    Policy(gateway::Policy),
    /// All registered backend servers.
    Servers(Vec<gateway::ServerEntry>),
    /// A backend server that registered or changed.
    Server(gateway::ServerEntry),
    /// A backend server whose entry is gone.
    ServerGone(model::ServerId),
    /// The data centres that must get no requests.
    Evacuated(collections::BTreeSet<model::DataCentreId>),
    /// The hosts that are registered.
    Members(Vec<gateway::Member>),
    /// Whether the store answers.
    StoreAnswers(bool),
}
