//! Messages between the steering of different hosts.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{capacity, model, shift};

/// What the caller of the state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost, late, repeated or out of order.
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
    /// Asks an owner for capacity, from a host of the data centre named.
    Ask(model::DataCentreId, Vec<capacity::GrantRequest>),
    /// Answers [`Message::Ask`].
    Grant(Vec<capacity::Grant>),
    /// Tells a host of the same data centre the sender's load.
    Report(Report),
    /// Asks for the shares in force, after a start.
    SharesAsk,
    /// Answers [`Message::SharesAsk`]; empty from a host that has just started too.
    Shares(Vec<FlowShares>),
}

/// Load of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Load by service.
    pub services: collections::BTreeMap<model::ServiceId, Load>,
    /// Shares of one flow that is not all at home, a different one in each report.
    pub shares: Option<FlowShares>,
}

/// Load of one host for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Use of the servers that the host owns.
    pub capacity: capacity::Capacity,
    /// Slots that the requests arriving at the host from callers of its own data centre need,
    /// wherever they are served.
    pub demand_slots: f64,
}

/// Shares of one kind of work for callers of one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowShares {
    /// Kind of work.
    pub work: model::WorkId,
    /// Home data centre of the callers.
    pub origin: model::DataCentreId,
    /// Division between data centres.
    pub shares: shift::Shares,
    /// Ages of the last moves and the cells moved.
    pub moves: Vec<(time::Duration, u32)>,
}
