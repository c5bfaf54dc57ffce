//! Look-ups, answered from memory without a lock.

use std::{collections, net, time};

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use yuccatide_steering::{config, dedup, lookup, membership, model};

use super::{engine, view};
use crate::callers;

/// Answer to a look-up.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Lookup {
    /// Entry hosts to use, the preferred one first.
    pub hosts: Vec<Host>,
    /// How long the answer may be cached.
    #[serde(rename = "ttl_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: time::Duration,
    /// Site of the client.
    pub site: model::SiteId,
}

/// An entry host in the answer to a look-up.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Host {
    /// Name.
    pub host: model::HostId,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Process start.
    pub incarnation: model::Incarnation,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Beginning of idempotency keys for requests that are sent to this host.
    pub key_prefix: String,
}

impl engine::Engine {
    /// Home data centre of a client.
    pub fn origin(&self, client: net::IpAddr) -> model::DataCentreId {
        let view = self.view.load();
        let site = view.doc.as_ref().and_then(|doc| {
            let found = view.table.find(client).map(|found| found.site);
            let site = found.and_then(|site| doc.sites.get(site));
            site.or_else(|| doc.sites.get(&doc.default_site))
        });
        site.and_then(|site| site.data_centres.first().cloned())
            .unwrap_or_else(|| self.me.data_centre.clone())
    }

    /// Answers a look-up.
    pub fn lookup(&self, client: net::IpAddr, work: &str) -> Result<Lookup, callers::Error> {
        let view = self.view.load();
        let doc = view.doc.as_deref();
        let answer = lookup::respond(doc, &view.table, &view.directory, client, work)?;
        let minted_unix_ms = self.now().as_millis() as u64;
        let hosts = answer.hosts.into_iter();
        Ok(Lookup {
            hosts: hosts.map(|h| host(&view, h, minted_unix_ms)).collect(),
            ttl: answer.ttl,
            site: answer.site,
        })
    }
}

fn host(view: &view::View, host: lookup::Host, minted_unix_ms: u64) -> Host {
    let prefix = model::KeyPrefix {
        home: model::Process {
            host: host.host.clone(),
            incarnation: host.incarnation,
        },
        minted_unix_ms,
        witness: view.witnesses.get(&host.host).cloned(),
    };
    Host {
        host: host.host,
        address: host.address,
        incarnation: host.incarnation,
        data_centre: host.data_centre,
        key_prefix: prefix.to_string(),
    }
}

/// Witness of each serving host, by name.
pub(super) fn witnesses(
    doc: &config::Document,
    members: &[membership::Member],
) -> collections::BTreeMap<model::HostId, model::Process> {
    let peers = members.iter().filter(|m| m.serves()).map(members_peer);
    let peers = peers.collect::<Vec<_>>();
    let mut by_data_centre = collections::BTreeMap::<_, Vec<_>>::new();
    for peer in &peers {
        let group = by_data_centre.entry(&peer.data_centre).or_default();
        group.push(peer);
    }
    peers
        .iter()
        .filter_map(|peer| {
            // Where a data centre has a second host, no other data centre can have the witness.
            let near = &by_data_centre[&peer.data_centre];
            let witness = match near.len() {
                0 | 1 => dedup::select_witness(doc, peer, peers.iter()),
                _ => dedup::select_witness(doc, peer, near.iter().copied()),
            };
            Some((peer.host.clone(), witness?))
        })
        .collect()
}

/// A member as deduplication knows it.
pub(super) fn members_peer(member: &membership::Member) -> dedup::Peer {
    dedup::Peer {
        host: member.host.clone(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        leaving: member.state == membership::State::Leaving,
    }
}
