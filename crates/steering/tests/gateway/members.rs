//! Which hosts are alive.

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

/// Hosts that exchange messages without delay; those in `down` neither send nor receive.
struct Net {
    hosts: collections::BTreeMap<net::SocketAddr, gateway::Members>,
    down: collections::BTreeSet<model::HostId>,
}

impl Net {
    fn new() -> Net {
        let all = [
            member("a1-1", "a1", 1),
            member("a1-2", "a1", 2),
            member("b1-1", "b1", 3),
            member("b1-2", "b1", 4),
        ];
        let hosts = all.iter().map(|own| {
            let mut members = gateway::Members::new(own.clone());
            all.iter().cloned().for_each(|other| members.upsert(other));
            (own.peers, members)
        });
        Net {
            hosts: hosts.collect(),
            down: collections::BTreeSet::new(),
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
                let beat = gateway::Heartbeat {
                    member: host.own().clone(),
                    is_ready: true,
                    in_flight: Vec::new(),
                    loads: Vec::new(),
                    blocks: Vec::new(),
                    shares: Vec::new(),
                    newest: Default::default(),
                };
                messages.extend(host.heartbeats(&beat));
                if now_ms % 480 == 0 {
                    messages.extend(host.summaries(&beat, ms(now_ms)));
                }
            }
            while let Some((to, message)) = messages.pop() {
                if !self.is_down(&to) {
                    let host = self.hosts.get_mut(&to).unwrap();
                    messages.extend(host.receive(message, ms(now_ms)));
                }
            }
        }
    }

    fn seen(&self, port: u16, data_centre: &str, now_ms: u64) -> Vec<model::HostId> {
        let host = &self.hosts[&net::SocketAddr::from(([10, 0, 1, 1], port))];
        let ready = host.ready_members(data_centre, true, ms(now_ms));
        ready.into_iter().map(|member| member.host).collect()
    }
}

#[test]
fn all_hosts_see_all() {
    let mut net = Net::new();
    net.run(0, 2000);
    for port in 1..=4 {
        assert_eq!(net.seen(port, "a1", 2000).len(), 2, "{port}");
        assert_eq!(net.seen(port, "b1", 2000).len(), 2, "{port}");
    }
}

#[test]
fn a_dead_host_is_left_out_also_where_it_spoke_for_its_data_centre() {
    let mut net = Net::new();
    net.run(0, 2000);
    net.down.insert("b1-1".to_string());
    net.run(2000, 6000);
    assert_eq!(net.seen(4, "b1", 6000), ["b1-2"]);
    assert_eq!(net.seen(1, "b1", 6000), ["b1-2"]);
    assert_eq!(net.seen(2, "b1", 6000), ["b1-2"]);
    // The one that is left hears of the others although they sent to the dead one.
    assert_eq!(net.seen(4, "a1", 6000).len(), 2);
}

#[test]
fn a_data_centre_that_is_lost_is_left_out_and_comes_back() {
    let mut net = Net::new();
    net.run(0, 2000);
    net.down.extend(["b1-1".to_string(), "b1-2".to_string()]);
    net.run(2000, 6000);
    assert!(net.seen(1, "b1", 6000).is_empty());
    net.down.clear();
    net.run(6000, 10_000);
    assert_eq!(net.seen(1, "b1", 10_000).len(), 2);
    assert_eq!(net.seen(3, "a1", 10_000).len(), 2);
}

#[test]
fn a_host_is_known_from_its_messages_alone() {
    let mut members = gateway::Members::new(member("a1-1", "a1", 1));
    let beat = gateway::Heartbeat {
        member: member("a1-9", "a1", 9),
        is_ready: true,
        in_flight: Vec::new(),
        loads: Vec::new(),
        blocks: Vec::new(),
        shares: Vec::new(),
        newest: Default::default(),
    };
    members.receive(gateway::Message::Heartbeat(beat), ms(0));
    assert_eq!(members.ready_members("a1", true, ms(1)).len(), 2);
    assert_eq!(members.live_host_count(ms(1)), 2);
    assert_eq!(members.live_host_count(ms(5000)), 1);
}
