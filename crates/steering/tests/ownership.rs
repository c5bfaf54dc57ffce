//! Assignment of backend servers to hosts.

use std::collections;

use rstest::rstest;
use yuccatide_steering::{config, model, routing};

fn doc(name: &str) -> config::Document {
    let text = match name {
        "camara" => include_str!("../../../deployments/camara/config.json"),
        _ => include_str!("../../../deployments/lampolie/config.json"),
    };
    config::Document::from_json(text).unwrap()
}

fn hosts(count: usize) -> collections::BTreeSet<model::HostId> {
    (0..count).map(|i| format!("host-{i}")).collect()
}

/// Number of servers of a service that each host owns.
fn counts(
    doc: &config::Document,
    owners: &collections::BTreeMap<model::ServerId, model::HostId>,
    service: &str,
) -> collections::BTreeMap<model::HostId, usize> {
    let mut counts = collections::BTreeMap::new();
    for (server, host) in owners {
        if doc.servers[server].service == service {
            *counts.entry(host.clone()).or_default() += 1;
        }
    }
    counts
}

#[rstest]
fn every_server_is_owned_and_servers_are_balanced(
    #[values("camara", "lampolie")] name: &str,
    #[values(1, 2, 3, 5)] count: usize,
) {
    let doc = doc(name);
    let hosts = hosts(count);
    for dc in doc.data_centres() {
        let owners = routing::ownership(&doc, dc, &hosts);
        let local_servers = doc.servers.values().filter(|s| &s.data_centre == dc);
        assert_eq!(owners.len(), local_servers.count());
        for service in doc.services.keys() {
            let counts = counts(&doc, &owners, service);
            let total = counts.values().sum::<usize>();
            assert!(counts.values().all(|c| *c <= total.div_ceil(count)));
            assert!(
                counts.len() == total.min(count),
                "{dc} {service} {counts:?}"
            );
        }
    }
}

#[rstest]
fn removing_a_host_moves_at_most_as_many_other_servers_as_it_owned() {
    let doc = doc("camara");
    let all = hosts(4);
    let mut remaining = all.clone();
    remaining.pop_last();
    let (mut moved, mut orphaned) = (0, 0);
    for dc in doc.data_centres() {
        let before = routing::ownership(&doc, dc, &all);
        let after = routing::ownership(&doc, dc, &remaining);
        let owner_remains = |s: &model::ServerId| remaining.contains(&before[s]);
        orphaned += before.keys().filter(|s| !owner_remains(s)).count();
        moved += before
            .keys()
            .filter(|s| owner_remains(s) && before[*s] != after[*s])
            .count();
    }
    assert!(
        moved <= orphaned,
        "{moved} servers moved, {orphaned} lost their host"
    );
}

#[rstest]
fn no_server_is_owned_without_live_hosts() {
    assert!(routing::ownership(&doc("camara"), "rosario", &hosts(0)).is_empty());
}
