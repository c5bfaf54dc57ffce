//! Messages and ticks of the hosts, what they learn, and what is measured over time.

use std::{collections, sync};

use yuccatide_steering::{model, steer};

use super::{event, machine};

impl machine::Fleet {
    pub(super) fn on_message(&mut self, from: &str, to: &str, message: steer::Message) {
        let now = self.now;
        if !self.reaches(from, to) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(to) {
            let actions = node.steer.on_message(from, message, now);
            self.act(to, actions);
        }
    }

    pub(super) fn on_tick(&mut self, host: &str, incarnation: model::Incarnation) {
        let known = self.known_servers();
        let now = self.now;
        let Some(node) = self.nodes.get_mut(host) else {
            return;
        };
        if node.incarnation != incarnation {
            return;
        }
        let capacities = node.capacities(&self.doc, &self.servers, |id| known.contains(id));
        node.steer.set_own_capacity(&capacities, now);
        let actions = node.steer.tick(now);
        self.act(host, actions);
        self.schedule(
            steer::TICK_INTERVAL,
            event::Event::Tick(host.to_string(), incarnation),
        );
    }

    pub(super) fn act(&mut self, host: &str, actions: Vec<steer::Action>) {
        let from = self.data_centre_of(host);
        for steer::Action::Send { to, message } in actions {
            let delay = self.delay(&from, &self.data_centre_of(&to));
            self.tally.messages += 1;
            self.tally.message_bytes += bytes(&message);
            let event = event::Event::Message(host.to_string(), to, message);
            self.schedule(delay, event);
        }
    }

    /// Every tick: lists, and what is measured over time.
    pub(super) fn on_learn(&mut self) {
        self.record_list();
        let hosts = self.nodes.keys().cloned().collect::<Vec<_>>();
        hosts.iter().for_each(|host| self.give_list(host, false));
        self.measure_use();
        if self.way == machine::Way::Steer {
            let doc = sync::Arc::clone(&self.doc);
            self.probe.look(&doc, &self.nodes, &self.callers, self.now);
        }
        self.schedule(steer::TICK_INTERVAL, event::Event::Learn);
    }

    pub(super) fn measure_use(&mut self) {
        let services = self.doc.services.keys().cloned().collect::<Vec<_>>();
        for dc in self.doc.data_centres().cloned().collect::<Vec<_>>() {
            for service in &services {
                let used = self.use_of(&dc, service);
                self.tally.peak = self.tally.peak.max(used);
                if used > 1.0 {
                    let key = (dc.clone(), service.clone());
                    *self.tally.above.entry(key).or_default() += steer::TICK_INTERVAL;
                }
            }
        }
        let displaced = self.nodes.values().any(|n| {
            let waiting = n.queues.values().flatten().count() > 0;
            waiting && n.queues.values().flatten().any(|job| job.from_elsewhere)
        });
        if displaced {
            self.tally.displaced += steer::TICK_INTERVAL;
        }
    }

    pub(super) fn record_list(&mut self) {
        let hosts = self
            .nodes
            .values()
            .map(|n| (n.host.clone(), n.data_centre.clone()))
            .collect();
        let servers = self.servers.iter().filter(|(_, s)| s.live);
        let servers = servers.map(|(id, _)| id.clone()).collect();
        self.lists.push_back((self.now, hosts, servers));
        let kept = self.now.saturating_sub(self.lag);
        while self.lists.len() > 1 && self.lists[1].0 <= kept {
            self.lists.pop_front();
        }
    }

    pub(super) fn known_servers(&self) -> collections::BTreeSet<model::ServerId> {
        let oldest = self.lists.front();
        oldest
            .map(|(_, _, servers)| servers.clone())
            .unwrap_or_default()
    }

    /// Gives a host the list of hosts that it can reach; a starting one sees the present list.
    pub(super) fn give_list(&mut self, host: &str, starting: bool) {
        let own = self.data_centre_of(host);
        let lists = match starting {
            true => self.lists.back(),
            false => self.lists.front(),
        };
        let listed = lists.map(|(_, hosts, _)| hosts.clone()).unwrap_or_default();
        let mut peers = listed
            .into_iter()
            .filter(|(_, dc)| !self.cut.contains(&(own.clone(), dc.clone())))
            .map(|(host, data_centre)| steer::Peer {
                host,
                data_centre,
                leaving: false,
            })
            .collect::<Vec<_>>();
        if peers.iter().all(|p| p.host != host) {
            peers.push(steer::Peer {
                host: host.to_string(),
                data_centre: own.clone(),
                leaving: false,
            });
        }
        let now = self.now;
        let node = self.nodes.get_mut(host).expect("the host is live");
        let actions = node.steer.set_members(&peers, now);
        node.owned = node.steer.topology().owned_by(host).cloned().collect();
        self.act(host, actions);
    }
}

fn bytes(message: &steer::Message) -> u64 {
    // A tonic call adds headers and framing of about this size on a kept connection.
    const CALL_BYTES: u64 = 100;
    postcard::to_stdvec(message).map_or(0, |b| b.len() as u64) + CALL_BYTES
}
