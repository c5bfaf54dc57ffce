//! Messages between hosts about tokens.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model;

/// A message about tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens.
    Ask(Ask),
    /// Grants tokens.
    Grant(Grant),
}

/// A host that lacks tokens asks another one for some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The host that asks.
    pub host: model::HostId,
    /// Number of the ask, unique for the host that asks.
    pub number: u64,
    /// Tokens wanted, by the hash of the customer's name.
    pub wanted: Vec<(u64, f32)>,
}

/// Response to an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The host that grants.
    pub host: model::HostId,
    /// Number of the ask.
    pub number: u64,
    /// What it grants for each customer.
    pub granted: Vec<Granted>,
}

/// Tokens of one customer that a host grants to another one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Tokens; zero if the host has none to give.
    pub tokens: f32,
    /// What the host has left.
    pub rest: Rest,
}

/// What a host that grants tokens of a customer has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rest {
    /// At least one token.
    Some,
    /// Less than a token; of no use to ask again before this time has passed.
    NoneFor(time::Duration),
    /// It holds no part of the customer's quota.
    NothingHeld,
}
