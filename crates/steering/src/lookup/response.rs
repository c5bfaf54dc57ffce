//! The answer to a look-up.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;
use xxhash_rust::xxh3;

use super::{block_table, host_directory};
use crate::{config, model};

/// Hosts of the first data centre in an answer, where there are as many.
const FIRST_HOSTS: usize = 2;
/// Following data centres of the site's list in an answer, with one host each, beside the first
/// of each further region.
const NEXT_DATA_CENTRES: usize = 2;

/// Entry hosts for a caller, the preferred one first.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Site of the caller.
    pub site: model::SiteId,
    /// How long the answer may be cached.
    #[serde(rename = "ttl_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: time::Duration,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// An entry host in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, for idempotency keys.
    pub host: model::HostId,
    /// Start of its process, for idempotency keys.
    pub incarnation: model::Incarnation,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address for callers.
    pub address: net::SocketAddr,
}

/// Why a look-up has no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// This host has no configuration yet.
    #[error("this host has no configuration yet")]
    NotReady,
    /// The configuration has no such kind of work.
    #[error("there is no kind of work {0}")]
    UnknownWork(String),
    /// No host that serves callers is known.
    #[error("no entry host is known to serve callers now")]
    NoHosts,
}

/// Answers a look-up of a client for a kind of work.
///
/// Any region may take requests in, whatever regions the policy of the work names: the arrival
/// host passes them on.
pub fn respond(
    doc: Option<&config::Document>,
    table: &block_table::BlockTable,
    directory: &host_directory::HostDirectory,
    client: net::IpAddr,
    work: &str,
) -> Result<Response, Error> {
    let doc = doc.ok_or(Error::NotReady)?;
    if !doc.work.contains_key(work) {
        return Err(Error::UnknownWork(work.to_string()));
    }
    let found = table
        .find(client)
        .filter(|found| doc.sites.contains_key(found.site));
    let (site, key) = match found {
        Some(found) => (found.site, found.key),
        None => (&doc.default_site, default_key(client)),
    };
    let key = xxh3::xxh3_64_with_seed(site.as_bytes(), key);
    let data_centres = choose_data_centres(doc, directory, &doc.sites[site].data_centres);
    let hosts = data_centres
        .iter()
        .enumerate()
        .flat_map(|(i, dc)| directory.pick(dc, key, if i == 0 { FIRST_HOSTS } else { 1 }))
        .map(|m| Host {
            host: m.host.clone(),
            incarnation: m.incarnation,
            data_centre: m.data_centre.clone(),
            address: m.address,
        })
        .collect::<Vec<_>>();
    if hosts.is_empty() {
        return Err(Error::NoHosts);
    }
    Ok(Response {
        site: site.clone(),
        ttl: doc.lookup_ttl,
        hosts,
    })
}

/// Key of a client that no block names: its /24 or /48.
fn default_key(client: net::IpAddr) -> u64 {
    match client.to_canonical() {
        net::IpAddr::V4(address) => u64::from(address.to_bits() >> 8),
        net::IpAddr::V6(address) => (address.to_bits() >> 80) as u64,
    }
}

/// Data centres with hosts in the site's order, the silent ones last: the first ones of the list,
/// then the first of each region that is not among them.
fn choose_data_centres<'a>(
    doc: &config::Document,
    directory: &host_directory::HostDirectory,
    site: &'a [model::DataCentreId],
) -> Vec<&'a model::DataCentreId> {
    let (silent, heard): (Vec<_>, Vec<_>) = site
        .iter()
        .filter(|dc| directory.has_hosts(dc))
        .partition(|dc| directory.is_silent(dc));
    let mut regions = collections::BTreeSet::new();
    heard
        .into_iter()
        .chain(silent)
        .enumerate()
        .filter(|(i, dc)| regions.insert(doc.region_of(dc)) || *i <= NEXT_DATA_CENTRES)
        .map(|(_, dc)| dc)
        .collect()
}
