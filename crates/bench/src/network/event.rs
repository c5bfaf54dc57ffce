//! What happens at a point of virtual time.

use yuccatide_steering::{capacity, model, steer};

use super::node;

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request of a kind of work arrives from a caller of a data centre.
    Arrive(model::WorkId, model::DataCentreId),
    /// A request reaches an owner from another host.
    Hop(model::HostId, node::Job, Option<capacity::GrantId>),
    /// A backend server ends a request of an owner.
    Served(model::HostId, node::Job, model::ServerId),
    /// The answer reaches the entry host: the time that a slot was held, or the refusal.
    Answer(
        node::Job,
        Result<(model::DataCentreId, steer::Completion), model::NotRunReason>,
    ),
    /// A message reaches a host.
    Message(model::HostId, model::HostId, steer::Message),
    /// A host's periodic work is due.
    Tick(model::HostId, model::Incarnation),
    /// The hosts learn of a change.
    Learn,
    /// A step of the scenario is due.
    Script(usize),
}
