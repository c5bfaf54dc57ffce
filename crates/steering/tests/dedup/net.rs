//! Simulated hosts and the messages between them.

use std::{collections, sync, time};

use yuccatide_steering::{config, dedup, model};

/// Start time of every test.
pub const START: time::Duration = time::Duration::from_secs(1_700_000_000);

/// Hosts, messages in flight and the actions that the hosts emitted.
pub struct Net {
    pub now: model::Time,
    pub hosts: collections::BTreeMap<String, dedup::Dedup>,
    pub in_flight: Vec<(String, String, dedup::Message)>,
    pub runs: Vec<(String, model::RequestId)>,
    pub forwards: Vec<(String, model::RequestId)>,
    pub responses: Vec<(model::RequestId, dedup::Response)>,
    peers: Vec<dedup::Peer>,
    limits: dedup::Limits,
}

pub fn document() -> sync::Arc<config::Document> {
    let text = include_str!("../../../../deployments/camara/config.json");
    sync::Arc::new(config::Document::from_json(text).unwrap())
}

pub fn peer(host: &str, incarnation: u64) -> dedup::Peer {
    dedup::Peer {
        host: host.to_string(),
        incarnation,
        data_centre: "rosario".to_string(),
        leaving: false,
    }
}

pub fn result(text: &str) -> dedup::RunOutcome {
    dedup::RunOutcome::done(dedup::StoredResult {
        status: 201,
        headers: Vec::new(),
        body: text.as_bytes().to_vec(),
    })
}

pub fn done(text: &str) -> dedup::Response {
    dedup::Response::from(&result(text))
}

impl Net {
    /// Creates hosts in one data centre, each with all others as members.
    pub fn new(names: &[&str], limits: dedup::Limits) -> Net {
        let mut net = Net {
            now: START,
            hosts: collections::BTreeMap::new(),
            in_flight: Vec::new(),
            runs: Vec::new(),
            forwards: Vec::new(),
            responses: Vec::new(),
            peers: Vec::new(),
            limits,
        };
        names.iter().for_each(|name| net.start(name, 1));
        net
    }

    /// Starts a process and updates the members of all hosts.
    pub fn start(&mut self, name: &str, incarnation: u64) {
        let local = peer(name, incarnation);
        self.peers.retain(|peer| peer.host != name);
        self.peers.push(local.clone());
        let host = dedup::Dedup::new(document(), local, self.limits.clone());
        self.hosts.insert(name.to_string(), host);
        self.update_members();
    }

    /// Kills a process and updates the members of all hosts.
    pub fn kill(&mut self, name: &str) {
        self.hosts.remove(name);
        self.peers.retain(|peer| peer.host != name);
        self.update_members();
    }

    fn update_members(&mut self) {
        let (peers, now) = (self.peers.clone(), self.now);
        for name in self.names() {
            self.apply(&name, |host| host.set_members(&peers, now));
        }
    }

    fn names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Key whose home is the given host, minted now.
    pub fn key(&self, home: &str, token: &str) -> model::IdempotencyKey {
        let prefix = self.hosts[home].key_prefix(home, self.now).unwrap();
        prefix.with_token(token)
    }

    /// Sends a request to a host; its deadline is 5 s ahead.
    pub fn request(&mut self, host: &str, id: u128, key: &model::IdempotencyKey, fingerprint: u64) {
        let meta = model::RequestMeta {
            id,
            work: "certificate".to_string(),
            origin: "rosario".to_string(),
            affinity: 0,
            deadline: self.now + time::Duration::from_secs(5),
            body_bytes: 0,
            key: Some(key.clone()),
        };
        let now = self.now;
        self.apply(host, |host| host.on_request(meta, fingerprint, now));
    }

    /// Calls a host and collects the actions it returns.
    pub fn apply(&mut self, host: &str, f: impl FnOnce(&mut dedup::Dedup) -> Vec<dedup::Action>) {
        for action in f(self.hosts.get_mut(host).unwrap()) {
            match action {
                dedup::Action::Run { id } => self.runs.push((host.to_string(), id)),
                dedup::Action::Forward { id, .. } => self.forwards.push((host.to_string(), id)),
                dedup::Action::Respond { id, response } => self.responses.push((id, response)),
                dedup::Action::Send { to, message } => {
                    self.in_flight.push((host.to_string(), to, message));
                }
            }
        }
    }

    /// Delivers all messages and the replies to them.
    pub fn deliver(&mut self) {
        while !self.in_flight.is_empty() {
            let (from, to, message) = self.in_flight.remove(0);
            if self.hosts.contains_key(&to) {
                let now = self.now;
                self.apply(&to, |host| host.on_message(&from, message, now));
            }
        }
    }

    /// Reports the outcome of a run.
    pub fn on_run_ended(&mut self, host: &str, id: u128, outcome: dedup::RunOutcome) {
        let now = self.now;
        self.apply(host, |host| host.on_run_ended(id, outcome, now));
    }

    /// Advances time in steps of 50 ms, delivering or dropping the messages.
    pub fn advance(&mut self, duration: time::Duration, deliver: bool) {
        let until = self.now + duration;
        while self.now < until {
            self.now += time::Duration::from_millis(50);
            let now = self.now;
            for name in self.names() {
                self.apply(&name, |host| host.tick(now));
            }
            if deliver {
                self.deliver();
            } else {
                self.in_flight.clear();
            }
        }
    }

    /// The response to a request, if any; panics if there are several.
    pub fn response(&self, id: u128) -> Option<&dedup::Response> {
        let mut found = self.responses.iter().filter(|(i, _)| *i == id);
        let response = found.next().map(|(_, response)| response);
        assert!(found.next().is_none(), "request {id} was answered twice");
        response
    }
}
