//! Witness selection.

use std::cmp;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{config, model};

/// A live entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host name.
    pub host: model::HostId,
    /// Incarnation of its process.
    pub incarnation: model::Incarnation,
    /// Data centre of the host.
    pub data_centre: model::DataCentreId,
    /// Whether the host is leaving before a planned shutdown.
    pub leaving: bool,
}

impl Peer {
    /// Process that runs on the host.
    pub fn process(&self) -> model::Process {
        model::Process {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Selects the witness for a home by rendezvous hashing.
///
/// Hosts in the home's data centre are preferred over other hosts in its region.  Any host may
/// select for any home, because the key carries the result.
pub fn select_witness<'a>(
    doc: &config::Document,
    home: &Peer,
    peers: impl Iterator<Item = &'a Peer>,
) -> Option<model::Process> {
    peers
        .filter(|peer| peer.host != home.host && !peer.leaving)
        .filter(|peer| is_in_region(doc, home, peer))
        .max_by_key(|peer| score(home, peer))
        .map(Peer::process)
}

fn is_in_region(doc: &config::Document, home: &Peer, peer: &Peer) -> bool {
    let region = doc.region_of(&home.data_centre);
    home.data_centre == peer.data_centre
        || (region.is_some() && region == doc.region_of(&peer.data_centre))
}

fn score<'a>(home: &Peer, peer: &'a Peer) -> (bool, u64, cmp::Reverse<&'a model::HostId>) {
    let text = format!("{}~{}", home.host, peer.host);
    let hash = xxh3::xxh3_64(text.as_bytes());
    let local = peer.data_centre == home.data_centre;
    (local, hash, cmp::Reverse(&peer.host))
}
