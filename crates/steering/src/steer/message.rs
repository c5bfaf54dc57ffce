//! Messages between the steering of different hosts.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::{capacity, model, numbers, shift};

/// An action that the user of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost, delayed, duplicated or reordered.
    Send {
        /// Receiving host.
        to: model::HostId,
        /// Message.
        message: Message,
    },
}

/// A message from the steering of one host to that of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests grants from an owner, for a host of the given data centre.
    Ask(model::DataCentreId, Vec<capacity::GrantRequest>),
    /// Response to [`Message::Ask`].
    Grant(Vec<capacity::Grant>),
    /// Load of the sender and shares of one of its flows, for hosts of its data centre.
    Report(Report),
    /// Requests the shares in force, after a start of the sender.
    SharesAsk,
    /// Response to [`Message::SharesAsk`]; empty if the sender is starting too.
    Shares(Vec<FlowShares>),
}

/// Load of one host, and the shares of one of its flows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Load by service.
    pub services: collections::BTreeMap<model::ServiceId, Load>,
    /// Shares of one flow that is not entirely at home; reports cycle through such flows.
    pub shares: Option<FlowShares>,
}

/// Load of one host for one service.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Usable slots, slots in use and waiting requests of the servers that the host owns.
    pub capacity: capacity::Capacity,
    /// Demand in slots of the requests that arrive at the host from callers of its own data centre,
    /// wherever they are served.
    #[serde_as(as = "numbers::Finite")]
    pub demand_slots: f64,
}

/// Shares of one kind of work for the callers of one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowShares {
    /// Kind of work.
    pub work: model::WorkId,
    /// Home data centre of the callers.
    pub origin: model::DataCentreId,
    /// Division between data centres.
    pub shares: shift::Shares,
    /// Age of each recent move and the number of cells moved.
    pub moves: Vec<(time::Duration, u32)>,
}
