//! What is read without a lock.

use std::{collections, sync};

use yuccatide_steering::{config, lookup, membership, model};

/// Configuration and members as of one moment; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration; absent until the first one is known.
    pub doc: Option<sync::Arc<config::Document>>,
    /// Table of client blocks; empty until all its chunks are there.
    pub table: sync::Arc<lookup::BlockTable>,
    /// Hosts that look-ups may name.
    pub directory: lookup::HostDirectory,
    /// Known hosts, this one included, by name.
    pub members: collections::BTreeMap<model::HostId, membership::Member>,
    /// Witness of each serving host, by name.
    pub witnesses: collections::BTreeMap<model::HostId, model::Process>,
    /// Whether the host takes requests.
    pub ready: bool,
}
