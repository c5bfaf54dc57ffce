//! Actions that the user of a pool carries out.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model;

/// An action that a pool requests from its user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send the request to the backend server and report its end with `Pool::finished`.
    Start {
        /// Id of the request.
        id: model::RequestId,
        /// Backend server.
        server: model::ServerId,
        /// Number of the attempt, 1 for the first.
        attempt: u32,
        /// Time after which the user of the pool has to end the attempt as timed out.
        timeout: time::Duration,
    },
    /// Cancel the attempt on the backend server and report its end with `Pool::finished`.
    Cancel {
        /// Id of the request.
        id: model::RequestId,
        /// Backend server.
        server: model::ServerId,
    },
    /// The request is done; the response of this backend server is the one to use.
    Done {
        /// Id of the request.
        id: model::RequestId,
        /// Backend server.
        server: model::ServerId,
    },
    /// The request ends without a response.
    Fail {
        /// Id of the request.
        id: model::RequestId,
        /// Outcome; never [`model::Outcome::Done`].
        outcome: model::Outcome,
        /// Why the request was not run; absent if it may have run.
        reason: Option<model::NotRunReason>,
        /// Time after which a retry by the client is likely to be accepted.
        retry_after: Option<time::Duration>,
    },
}
