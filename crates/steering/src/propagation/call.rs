//! Calls to the platform for the object that holds the configuration.

use std::sync;

use crate::config;

/// Number of a call, which its response repeats.
pub type CallId = u64;

/// Revision that the platform assigns to the object; it rises with each write.
pub type Revision = u64;

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Reads the object.
    Get,
    /// Waits until the object's revision is larger than `after`, then reads it.
    Watch {
        /// Latest known revision.
        after: Revision,
    },
    /// Writes the object if its revision is still the given one.
    PutIf {
        /// Expected revision; absent if the object must not exist.
        revision: Option<Revision>,
        /// Value to write.
        stored: sync::Arc<config::StoredConfig>,
    },
}

/// Response of the platform to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The object.
    Object {
        /// Its revision.
        revision: Revision,
        /// Its value.
        stored: sync::Arc<config::StoredConfig>,
    },
    /// The watch ended without a change.
    Unchanged,
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// The new revision.
        revision: Revision,
    },
    /// The write did not take effect: the object has another revision.
    Conflict,
    /// The call was not carried out.
    Unavailable,
    /// It is unknown whether the call was carried out: time-out or broken connection.
    Lost,
}
