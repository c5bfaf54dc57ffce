//! A few hosts and the messages between them.

use std::{collections, sync, time};

use yuccatide_steering::{config, dedup, model};

/// Time at which every test starts.
pub const START: time::Duration = time::Duration::from_secs(1_700_000_000);

/// Hosts, messages under way, and what the hosts did.
pub struct Net {
    pub now: model::Time,
    pub hosts: collections::BTreeMap<String, dedup::Dedup>,
    pub wire: Vec<(String, String, dedup::Message)>,
    pub runs: Vec<(String, model::RequestId)>,
    pub forwards: Vec<(String, model::RequestId)>,
    pub answers: Vec<(model::RequestId, dedup::Response)>,
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
    /// Hosts in one data centre that know each other.
    pub fn new(names: &[&str], limits: dedup::Limits) -> Net {
        let mut net = Net {
            now: START,
            hosts: collections::BTreeMap::new(),
            wire: Vec::new(),
            runs: Vec::new(),
            forwards: Vec::new(),
            answers: Vec::new(),
            peers: Vec::new(),
            limits,
        };
        names.iter().for_each(|name| net.start(name, 1));
        net
    }

    /// Starts a process and tells all of it.
    pub fn start(&mut self, name: &str, incarnation: u64) {
        let me = peer(name, incarnation);
        self.peers.retain(|peer| peer.host != name);
        self.peers.push(me.clone());
        let host = dedup::Dedup::new(document(), me, self.limits.clone());
        self.hosts.insert(name.to_string(), host);
        self.tell_members();
    }

    /// Kills a process and tells all of it.
    pub fn kill(&mut self, name: &str) {
        self.hosts.remove(name);
        self.peers.retain(|peer| peer.host != name);
        self.tell_members();
    }

    fn tell_members(&mut self) {
        let (peers, now) = (self.peers.clone(), self.now);
        for name in self.names() {
            self.act(&name, |host| host.set_members(&peers, now));
        }
    }

    fn names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// A key of a host, minted now.
    pub fn key(&self, home: &str, token: &str) -> model::IdempotencyKey {
        let prefix = self.hosts[home].key_prefix(home, self.now).unwrap();
        prefix.with_token(token)
    }

    /// Sends a request to a host; its deadline is 5 s ahead.
    pub fn request(&mut self, host: &str, id: u128, key: &model::IdempotencyKey, fp: u64) {
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
        self.act(host, |host| host.on_request(meta, fp, now));
    }

    /// Lets a host do something and collects its actions.
    pub fn act(&mut self, host: &str, f: impl FnOnce(&mut dedup::Dedup) -> Vec<dedup::Action>) {
        for action in f(self.hosts.get_mut(host).unwrap()) {
            match action {
                dedup::Action::Run { id } => self.runs.push((host.to_string(), id)),
                dedup::Action::Forward { id, .. } => self.forwards.push((host.to_string(), id)),
                dedup::Action::Respond { id, response } => self.answers.push((id, response)),
                dedup::Action::Send { to, message } => {
                    self.wire.push((host.to_string(), to, message));
                }
            }
        }
    }

    /// Delivers all messages, and those that answer them.
    pub fn deliver(&mut self) {
        while !self.wire.is_empty() {
            let (from, to, message) = self.wire.remove(0);
            if self.hosts.contains_key(&to) {
                let now = self.now;
                self.act(&to, |host| host.on_message(&from, message, now));
            }
        }
    }

    /// Reports the end of a run.
    pub fn ended(&mut self, host: &str, id: u128, end: dedup::RunOutcome) {
        let now = self.now;
        self.act(host, |host| host.on_run_ended(id, end, now));
    }

    /// Lets time pass in steps of 50 ms, with messages delivered or not.
    pub fn pass(&mut self, time: time::Duration, delivered: bool) {
        let until = self.now + time;
        while self.now < until {
            self.now += time::Duration::from_millis(50);
            let now = self.now;
            for name in self.names() {
                self.act(&name, |host| host.tick(now));
            }
            if delivered {
                self.deliver();
            } else {
                self.wire.clear();
            }
        }
    }

    /// The only answer to a request.
    pub fn answer(&self, id: u128) -> Option<&dedup::Response> {
        let mut found = self.answers.iter().filter(|(i, _)| *i == id);
        let answer = found.next().map(|(_, answer)| answer);
        assert!(found.next().is_none(), "request {id} was answered twice");
        answer
    }
}
