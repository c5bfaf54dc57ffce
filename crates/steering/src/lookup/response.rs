//! Responses to look-ups.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;
use xxhash_rust::xxh3;

use super::{block_table, host_directory};
use crate::{config, model};

/// Largest number of hosts of the first data centre in a response.
const FIRST_HOST_COUNT: usize = 2;
/// Number of data centres after the first one in a response, with one host each. The first data
/// centre of each region not yet included comes in addition.
const NEXT_DATA_CENTRE_COUNT: usize = 2;

/// Entry hosts for a caller, the preferred one first.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Site of the caller.
    pub site: model::SiteId,
    /// How long the response may be cached.
    #[serde(rename = "ttl_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: time::Duration,
    /// Entry hosts.
    pub hosts: Vec<Host>,
}

/// An entry host in a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host, part of idempotency keys.
    pub host: model::HostId,
    /// Incarnation (start of its process), part of idempotency keys.
    pub incarnation: model::Incarnation,
    /// Data centre of the host.
    pub data_centre: model::DataCentreId,
    /// Address for callers.
    pub address: net::SocketAddr,
}

/// Why a look-up failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// This host has no configuration yet.
    #[error("this host has no configuration yet")]
    NotReady,
    /// The kind of work is not configured.
    #[error("there is no kind of work {0}")]
    UnknownWork(String),
    /// No known host serves callers.
    #[error("no entry host is known to serve callers now")]
    NoHosts,
}

/// Responds to the look-up of a client for a kind of work.
///
/// Hosts of every region are eligible, also those that the policy of the work excludes: the host
/// where a request arrives forwards it.
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
        .flat_map(|(i, dc)| {
            directory.select_hosts(dc, key, if i == 0 { FIRST_HOST_COUNT } else { 1 })
        })
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

/// Key of a client outside all blocks: its /24 or /48 prefix.
fn default_key(client: net::IpAddr) -> u64 {
    match client.to_canonical() {
        net::IpAddr::V4(address) => u64::from(address.to_bits() >> 8),
        net::IpAddr::V6(address) => (address.to_bits() >> 80) as u64,
    }
}

/// Selects data centres with hosts in the order of the site, silent ones last: the first ones, and
/// the first of each other region.
fn choose_data_centres<'a>(
    doc: &config::Document,
    directory: &host_directory::HostDirectory,
    site: &'a [model::DataCentreId],
) -> Vec<&'a model::DataCentreId> {
    let (silent, reachable): (Vec<_>, Vec<_>) = site
        .iter()
        .filter(|dc| directory.has_hosts(dc))
        .partition(|dc| directory.is_silent(dc));
    let mut regions = collections::BTreeSet::new();
    reachable
        .into_iter()
        .chain(silent)
        .enumerate()
        .filter(|(i, dc)| regions.insert(doc.region_of(dc)) || *i <= NEXT_DATA_CENTRE_COUNT)
        .map(|(_, dc)| dc)
        .collect()
}
