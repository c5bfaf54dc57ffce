//! Choice of the witness.

use std::cmp;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{config, model};

/// A live entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name.
    pub host: model::HostId,
    /// Start of its process.
    pub incarnation: model::Incarnation,
    /// Data centre that it stands in.
    pub data_centre: model::DataCentreId,
    /// Whether it is being stopped.
    pub leaving: bool,
}

impl Peer {
    /// The process.
    pub fn process(&self) -> model::Process {
        model::Process {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Picks the witness for a home by rendezvous hashing.
///
/// Hosts of the home's data centre come first, then those of its region.  Any host may pick for
/// any home: the key carries the choice.
pub fn select_witness<'a>(
    doc: &config::Document,
    home: &Peer,
    peers: impl Iterator<Item = &'a Peer>,
) -> Option<model::Process> {
    peers
        .filter(|peer| peer.host != home.host && !peer.leaving)
        .filter(|peer| is_near(doc, home, peer))
        .max_by_key(|peer| rank(home, peer))
        .map(Peer::process)
}

fn is_near(doc: &config::Document, home: &Peer, peer: &Peer) -> bool {
    let region = doc.region_of(&home.data_centre);
    home.data_centre == peer.data_centre
        || (region.is_some() && region == doc.region_of(&peer.data_centre))
}

fn rank<'a>(home: &Peer, peer: &'a Peer) -> (bool, u64, cmp::Reverse<&'a model::HostId>) {
    let text = format!("{}~{}", home.host, peer.host);
    let hash = xxh3::xxh3_64(text.as_bytes());
    let local = peer.data_centre == home.data_centre;
    (local, hash, cmp::Reverse(&peer.host))
}
