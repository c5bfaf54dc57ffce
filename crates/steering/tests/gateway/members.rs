//! Membership: which hosts are seen as live.

use std::{collections, net};

use yuccatide_steering::{gateway, model};

use crate::fixtures::ms;

fn member(host: &str, data_centre: &str, port: u16) -> gateway::Member {
    gateway::Member {
        host: host.to_string(),
        data_centre: data_centre.to_string(),
        callers: net::SocketAddr::from(([10, 0, 0, 1], port)),
        peers: net::SocketAddr::from(([10, 0, 1, 1], port)),
    }
}

/// Simulated network without delay; hosts in `down` neither send nor receive.
struct Network {
    hosts: collections::BTreeMap<net::SocketAddr, gateway::Members>,
    down: collections::BTreeSet<model::HostId>,
    /// Largest number of messages that a host sent in one interval.
    most_sent: usize,
}

impl Network {
    fn new() -> Network {
        Network::with_hosts(&[
            member("a1-1", "a1", 1),
            member("a1-2", "a1", 2),
            member("b1-1", "b1", 3),
            member("b1-2", "b1", 4),
        ])
    }

    fn with_hosts(all: &[gateway::Member]) -> Network {
        let hosts = all.iter().map(|own| {
            let mut members = gateway::Members::new(own.clone());
            all.iter().cloned().for_each(|other| members.upsert(other));
            (own.peers, members)
        });
        Network {
            hosts: hosts.collect(),
            down: collections::BTreeSet::new(),
            most_sent: 0,
        }
    }

    fn is_down(&self, address: &net::SocketAddr) -> bool {
        self.hosts
            .get(address)
            .is_none_or(|host| self.down.contains(&host.own().host))
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(40) {
            let mut messages = Vec::new();
            let addresses: Vec<net::SocketAddr> = self.hosts.keys().copied().collect();
            for address in &addresses {
                if self.is_down(address) {
                    continue;
                }
                let host = self.hosts.get_mut(address).unwrap();
                let heartbeat = gateway::Heartbeat {
                    member: host.own().clone(),
                    is_ready: true,
                    in_flight: Vec::new(),
                    loads: Vec::new(),
                    blocks: Vec::new(),
                    shares: Vec::new(),
                    store: Default::default(),
                    store_checks: Default::default(),
                    version: None,
                    limits: Vec::new(),
                    leaving: Vec::new(),
                    crashes: Vec::new(),
                    contacts: Vec::new(),
                };
                let summary = (now_ms % 480 == 0)
                    .then(|| host.summary_to_send(&heartbeat, ms(now_ms)))
                    .flatten();
                let to = host.heartbeat_recipients(ms(now_ms));
                let summaries = summary.as_ref().map_or(0, |summary| summary.to.len());
                self.most_sent = self.most_sent.max(to.len() + summaries);
                messages.push(gateway::Outgoing {
                    to,
                    message: gateway::Message::Heartbeat(heartbeat),
                });
                messages.extend(summary);
            }
            while let Some(gateway::Outgoing { to, message }) = messages.pop() {
                let reached: Vec<net::SocketAddr> =
                    to.into_iter().filter(|to| !self.is_down(to)).collect();
                for address in reached {
                    let host = self.hosts.get_mut(&address).unwrap();
                    messages.extend(host.receive(message.clone(), ms(now_ms)));
                }
            }
        }
    }

    fn visible_hosts(&self, port: u16, data_centre: &str, now_ms: u64) -> Vec<model::HostId> {
        let host = &self.hosts[&net::SocketAddr::from(([10, 0, 1, 1], port))];
        let ready = host.ready_members(data_centre, true, ms(now_ms));
        ready.into_iter().map(|member| member.host).collect()
    }
}

#[test]
fn every_host_sees_all_live_hosts() {
    let mut network = Network::new();
    network.run(0, 2000);
    for port in 1..=4 {
        assert_eq!(network.visible_hosts(port, "a1", 2000).len(), 2, "{port}");
        assert_eq!(network.visible_hosts(port, "b1", 2000).len(), 2, "{port}");
    }
}

#[test]
fn dead_host_is_removed_even_if_it_sent_the_summaries() {
    let mut network = Network::new();
    network.run(0, 2000);
    network.down.insert("b1-1".to_string());
    network.run(2000, 6000);
    assert_eq!(network.visible_hosts(4, "b1", 6000), ["b1-2"]);
    assert_eq!(network.visible_hosts(1, "b1", 6000), ["b1-2"]);
    assert_eq!(network.visible_hosts(2, "b1", 6000), ["b1-2"]);
    // The remaining host gets summaries although they were sent to the dead host before.
    assert_eq!(network.visible_hosts(4, "a1", 6000).len(), 2);
}

/// Hosts of two data centres of `count` hosts each.
fn large_data_centres(count: u16) -> Vec<gateway::Member> {
    (0..count)
        .flat_map(|i| {
            [
                member(&format!("a1-{i:03}"), "a1", 2 * i + 1),
                member(&format!("b1-{i:03}"), "b1", 2 * i + 2),
            ]
        })
        .collect()
}

#[test]
fn messages_of_a_host_do_not_grow_with_its_data_centre() {
    let mut small = Network::with_hosts(&large_data_centres(10));
    small.run(0, 4000);
    let mut large = Network::with_hosts(&large_data_centres(60));
    large.run(0, 4000);
    assert!(
        large.most_sent <= small.most_sent,
        "{} messages in an interval at 60 hosts, {} at 10",
        large.most_sent,
        small.most_sent
    );
    assert_eq!(large.visible_hosts(1, "a1", 4000).len(), 60);
    assert_eq!(large.visible_hosts(1, "b1", 4000).len(), 60);
}

#[test]
fn dead_hosts_of_a_large_data_centre_are_removed_within_two_seconds() {
    let mut network = Network::with_hosts(&large_data_centres(40));
    network.run(0, 4000);
    let dead = (0..20).map(|i| format!("a1-{i:03}"));
    network.down.extend(dead);
    network.run(4000, 6000);
    assert_eq!(network.visible_hosts(79, "a1", 6000).len(), 20);
    assert_eq!(network.visible_hosts(79, "b1", 6000).len(), 40);
}

#[test]
fn silent_data_centre_is_removed_and_returns_with_its_messages() {
    let mut network = Network::new();
    network.run(0, 2000);
    network
        .down
        .extend(["b1-1".to_string(), "b1-2".to_string()]);
    network.run(2000, 6000);
    assert!(network.visible_hosts(1, "b1", 6000).is_empty());
    network.down.clear();
    network.run(6000, 10_000);
    assert_eq!(network.visible_hosts(1, "b1", 10_000).len(), 2);
    assert_eq!(network.visible_hosts(3, "a1", 10_000).len(), 2);
}

#[test]
fn host_becomes_known_by_its_heartbeat() {
    let mut members = gateway::Members::new(member("a1-1", "a1", 1));
    let heartbeat = gateway::Heartbeat {
        member: member("a1-9", "a1", 9),
        is_ready: true,
        in_flight: Vec::new(),
        loads: Vec::new(),
        blocks: Vec::new(),
        shares: Vec::new(),
        store: Default::default(),
        store_checks: Default::default(),
        version: None,
        limits: Vec::new(),
        leaving: Vec::new(),
        crashes: Vec::new(),
        contacts: Vec::new(),
    };
    members.receive(gateway::Message::Heartbeat(heartbeat), ms(0));
    assert_eq!(members.ready_members("a1", true, ms(1)).len(), 2);
    assert_eq!(members.live_host_count(ms(1)), 2);
    assert_eq!(members.live_host_count(ms(5000)), 1);
}

/// Guards against messages to the address of an earlier process of a host, whose entry the store still
/// has or has again.
#[test]
fn what_a_live_host_says_of_itself_goes_before_its_entry() {
    let mut network = Network::new();
    network.run(0, 1000);
    let own = member("a1-1", "a1", 1);
    let members = network.hosts.get_mut(&own.peers).unwrap();
    let (now, earlier) = (member("a1-2", "a1", 2), member("a1-2", "a1", 99));
    members.upsert_registered(earlier.clone(), ms(1000));
    assert_eq!(members.heartbeat_recipients(ms(1000)), [now.peers]);
    // A host that is not heard is looked for where the store says.
    members.upsert_registered(earlier.clone(), ms(9000));
    assert_eq!(members.heartbeat_recipients(ms(9000)), [earlier.peers]);
}
