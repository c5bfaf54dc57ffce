//! State shared by the parts of [`super::Dedup`].

use std::collections;

use super::{action, selection, snapshot};
use crate::model;

/// Live entry hosts by name.
pub(super) type Members = collections::BTreeMap<model::HostId, selection::Peer>;

/// Shared members, counters and pending actions.
#[derive(Debug, Default)]
pub(super) struct Context {
    /// Live entry hosts other than this one.
    pub(super) members: Members,
    /// Counters since the start of the process.
    pub(super) counters: snapshot::Counters,
    /// Actions to execute, in order.
    pub(super) actions: Vec<action::Action>,
}
