//! Calls of the platform's object that holds the configuration.

use std::sync;

use crate::config;

/// Number of a call, to match its answer.
pub type CallId = u64;

/// Version that the platform gives the object, larger with each write.
pub type Revision = u64;

/// A call of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Reads the object.
    Get,
    /// Waits until the object's revision is above `after`, and reads it.
    Watch {
        /// Revision that is known.
        after: Revision,
    },
    /// Writes the object if it still has a revision.
    PutIf {
        /// The revision; absent if there must be no object.
        revision: Option<Revision>,
        /// What to write.
        stored: sync::Arc<config::StoredConfig>,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The object.
    Object {
        /// Its revision.
        revision: Revision,
        /// Its value.
        stored: sync::Arc<config::StoredConfig>,
    },
    /// A watch ended without a change.
    Unchanged,
    /// There is no object.
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
    /// Nobody knows whether the call was carried out: time-out or broken connection.
    Lost,
}
