//! Updates from the platform to a gateway.

use std::collections;

use yuccatide_steering::{gateway, model};

/// Update from the platform to a gateway.
#[derive(Clone, Debug)]
pub enum Update {
    /// A version of the configuration.
    Policy(gateway::Policy),
    /// All registered backend servers.
    Servers(Vec<gateway::ServerEntry>),
    /// All backend servers that are registered in a store which has come back from an older copy.
    RestoredServers(Vec<gateway::ServerEntry>),
    /// A backend server that registered or changed.
    Server(gateway::ServerEntry),
    /// A backend server whose entry was deleted.
    ServerRemoved(model::ServerId),
    /// A backend server whose entry can no longer be decoded.
    ServerUnreadable(model::ServerId),
    /// All data centres that must receive no requests.
    Evacuations(collections::BTreeSet<model::DataCentreId>),
    /// The same, in a store that has come back from an older copy.
    RestoredEvacuations(collections::BTreeSet<model::DataCentreId>),
    /// A data centre that must receive no requests, or may again.
    Evacuation {
        /// The data centre.
        data_centre: model::DataCentreId,
        /// Whether it must receive none.
        is_evacuated: bool,
    },
    /// All registered hosts.
    Members(Vec<gateway::Member>),
    /// Whether the store responds.
    StoreAvailable(bool),
}
