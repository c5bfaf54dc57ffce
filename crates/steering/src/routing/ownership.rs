//! Assignment of backend servers to the hosts that own them.

use std::collections;

use xxhash_rust::xxh3;

use crate::{config, model};

/// Maps each backend server of a data centre to the live host that owns it.
///
/// Bounded-load rendezvous hashing: (server, host) pairs are taken in descending order of their
/// hash, and each assigns its server to its host if the server is unassigned and the host owns
/// fewer of the service's servers than the equal share, rounded down.  The remaining servers go, at
/// most one to a host, to the hosts that own the fewest servers of the services assigned before.
/// When a host joins or leaves, only its own servers and few others are reassigned.
pub fn ownership(
    doc: &config::Document,
    data_centre: &str,
    live_hosts: &collections::BTreeSet<model::HostId>,
) -> collections::BTreeMap<model::ServerId, model::HostId> {
    let mut owners = collections::BTreeMap::new();
    let mut totals = collections::BTreeMap::<&model::HostId, usize>::new();
    for service in doc.services.keys() {
        let servers = doc
            .servers
            .iter()
            .filter(|(_, s)| s.data_centre == data_centre && &s.service == service)
            .map(|(id, _)| id)
            .collect::<Vec<_>>();
        for (server, host) in assign(&servers, live_hosts, &totals) {
            *totals.entry(host).or_default() += 1;
            owners.insert(server.clone(), host.clone());
        }
    }
    owners
}

/// A backend server and a host that may own it.
type Pair<'a> = (&'a model::ServerId, &'a model::HostId);

/// Assigns the servers of one service to hosts; `totals` is the number of servers per host of the
/// services assigned before.
fn assign<'a>(
    servers: &[&'a model::ServerId],
    hosts: &'a collections::BTreeSet<model::HostId>,
    totals: &collections::BTreeMap<&'a model::HostId, usize>,
) -> Vec<Pair<'a>> {
    if hosts.is_empty() {
        return Vec::new();
    }
    let quota = servers.len() / hosts.len();
    let mut pairs = servers
        .iter()
        .flat_map(|server| hosts.iter().map(move |host| (*server, host)))
        .collect::<Vec<_>>();
    pairs.sort_by_key(|(server, host)| u64::MAX - rendezvous_hash(server, host));
    let assigned = assign_in_order(&pairs, quota, Vec::new());
    // The remaining servers go to the hosts with the fewest servers.
    pairs.sort_by_key(|(_, host)| totals.get(host).copied().unwrap_or(0));
    assign_in_order(&pairs, quota + 1, assigned)
}

/// Assigns unassigned servers in the order of the pairs, up to `quota` servers per host.
fn assign_in_order<'a>(
    pairs: &[Pair<'a>],
    quota: usize,
    mut assigned: Vec<Pair<'a>>,
) -> Vec<Pair<'a>> {
    let mut assigned_servers = assigned
        .iter()
        .map(|(server, _)| *server)
        .collect::<collections::BTreeSet<_>>();
    let mut counts = collections::BTreeMap::<_, usize>::new();
    for (_, host) in &assigned {
        *counts.entry(*host).or_default() += 1;
    }
    for (server, host) in pairs {
        let count = counts.entry(*host).or_default();
        if *count < quota && assigned_servers.insert(*server) {
            *count += 1;
            assigned.push((*server, *host));
        }
    }
    assigned
}

fn rendezvous_hash(server: &str, host: &str) -> u64 {
    xxh3::xxh3_64_with_seed(server.as_bytes(), xxh3::xxh3_64(host.as_bytes()))
}
