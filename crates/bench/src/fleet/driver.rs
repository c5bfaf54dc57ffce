//! The driver.

use std::{collections, sync, time};

use rand::{Rng, SeedableRng};
use yuccatide_steering::{config, model, pool};

use super::{
    events::{Event, Events},
    hosts, records, server, traffic,
};

/// Time between two ticks of the pools.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Time between two exchanges of the hosts' free slots.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time between two load reports of a server.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Age of what the load reports say.
const REPORT_LAG: time::Duration = time::Duration::from_secs(5);

/// How a backend server is found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By the pools of the owning hosts.
    Pools,
    /// The server of the caller's data centre with the fewest connections, without admission.
    LeastConnections,
    /// A server of the caller's data centre at random, without admission.
    Random,
}

/// A change in the course of a run.
pub type Change = Box<dyn Fn(&mut Driver, model::Time)>;

/// What is run.
pub struct Setting {
    /// Configuration at the start.
    pub doc: config::Document,
    /// Requests.
    pub streams: Vec<traffic::Stream>,
    /// Scheduled changes.
    pub changes: Vec<(model::Time, Change)>,
    /// End of the run.
    pub until: model::Time,
    /// Way of finding a server.
    pub way: Way,
    /// Seed of everything random.
    pub seed: u64,
}

/// A run.
pub struct Driver {
    /// Configuration.
    pub doc: config::Document,
    /// Backend servers.
    pub servers: Vec<server::FakeServer>,
    /// Copies of the backend servers' states, taken by `keep_use`.
    pub kept: Vec<Vec<server::FakeServer>>,
    /// Requests in the order of their arrival; the id of a request is its position.
    pub records: Vec<records::Record>,
    hosts: hosts::Hosts,
    positions: collections::BTreeMap<model::ServerId, usize>,
    owners: collections::BTreeMap<model::RequestId, usize>,
    attempts: collections::BTreeMap<(model::RequestId, usize), Attempt>,
    streams: Vec<traffic::Stream>,
    way: Way,
    rng: rand_pcg::Pcg64Mcg,
    events: Events,
    serial: u64,
    reported: model::Time,
    exchanged: model::Time,
}

#[derive(Debug)]
struct Attempt {
    serial: u64,
    started: model::Time,
    timed_out: bool,
}

impl Driver {
    /// Carries out a setting.
    pub fn run(setting: Setting) -> Driver {
        let doc = &setting.doc;
        let servers = doc
            .servers
            .iter()
            .map(|(id, s)| server::FakeServer::new(id, s, &doc.services[&s.service]))
            .collect::<Vec<_>>();
        let positions = servers.iter().enumerate();
        let mut driver = Driver {
            positions: positions.map(|(i, s)| (s.id.clone(), i)).collect(),
            hosts: hosts::Hosts::new(doc, setting.seed, model::Time::ZERO),
            doc: setting.doc,
            servers,
            records: Vec::new(),
            kept: Vec::new(),
            owners: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            streams: setting.streams,
            way: setting.way,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(setting.seed),
            events: Events::default(),
            serial: 0,
            reported: model::Time::ZERO,
            exchanged: model::Time::ZERO,
        };
        driver.schedule(&setting.changes);
        while let Some((now, event)) = driver.events.pop() {
            if now >= setting.until {
                break;
            }
            match event {
                Event::Arrive(stream) => driver.arrive(stream, now),
                Event::End { id, server, serial } => driver.end(id, server, serial, now),
                Event::Tick => driver.tick(now),
                Event::Change(i) => (setting.changes[i].1)(&mut driver, now),
            }
        }
        let until = setting.until;
        driver.servers.iter_mut().for_each(|s| s.change(0, until));
        driver
    }

    fn schedule(&mut self, changes: &[(model::Time, Change)]) {
        for (i, (at, _)) in changes.iter().enumerate() {
            self.events.push(*at, Event::Change(i));
        }
        self.events.push(model::Time::ZERO, Event::Tick);
        for i in 0..self.streams.len() {
            self.events.push(self.streams[i].from, Event::Arrive(i));
        }
    }

    /// Gives all hosts a new document.
    pub fn set_document(&mut self, doc: config::Document, now: model::Time) {
        self.doc = doc;
        let shared = sync::Arc::new(self.doc.clone());
        for host in 0..self.hosts.pools.len() {
            let actions = self.hosts.pools[host].set_document(shared.clone(), now);
            self.act(host, actions, now);
        }
    }

    /// Begins to count the use of the servers anew.
    pub fn reset_use(&mut self, now: model::Time) {
        self.servers.iter_mut().for_each(|s| s.reset_use(now));
    }

    /// Keeps the state of the servers with their use until now.
    pub fn keep_use(&mut self, now: model::Time) {
        self.servers.iter_mut().for_each(|s| s.change(0, now));
        self.kept.push(self.servers.clone());
    }

    /// Stops a server; what runs on it is lost.
    pub fn stop(&mut self, server: usize, now: model::Time) {
        self.servers[server].up = false;
        let running = self.attempts.keys().filter(|(_, s)| *s == server);
        let running = running.copied().collect::<Vec<_>>();
        for (id, _) in running {
            self.records[id as usize].cut_off = true;
            self.close(id, server, pool::AttemptOutcome::Broken, now);
        }
    }

    /// Starts a stopped server with empty caches.
    pub fn restart(&mut self, server: usize) {
        self.servers[server].up = true;
        self.servers[server].chill();
    }

    fn arrive(&mut self, i: usize, now: model::Time) {
        let stream = self.streams[i].clone();
        let gap = time::Duration::from_secs_f64(1.0 / stream.rate);
        let next = now + traffic::exponential(gap, &mut self.rng);
        if next < stream.until {
            self.events.push(next, Event::Arrive(i));
        }
        if now == stream.from {
            return;
        }
        let id = self.records.len() as model::RequestId;
        let cfg = &self.doc.work[&stream.work];
        let (service, deadline) = (cfg.service.clone(), now + cfg.deadline);
        self.records.push(records::Record {
            work: stream.work.clone(),
            offered: now,
            deadline,
            answered: None,
            cut_off: false,
            cold: false,
        });
        match self.way {
            Way::Pools => {
                let rng = &mut self.rng;
                let host = self.hosts.choose(&self.doc, &service, &stream.origin, rng);
                self.owners.insert(id, host);
                let meta = model::RequestMeta {
                    id,
                    work: stream.work,
                    origin: stream.origin,
                    affinity: 0,
                    deadline,
                    body_bytes: 0,
                    key: None,
                };
                let actions = self.hosts.pools[host].submit(meta, now);
                self.act(host, actions, now);
            }
            way => self.send_unadmitted(id, way, &service, &stream.origin, now),
        }
    }

    fn send_unadmitted(
        &mut self,
        id: model::RequestId,
        way: Way,
        service: &str,
        origin: &str,
        now: model::Time,
    ) {
        let here = |s: &server::FakeServer| s.service == service && s.data_centre == origin;
        let known = |s: &server::FakeServer| here(s) && !s.draining;
        let candidates = (0..self.servers.len())
            .filter(|i| known(&self.servers[*i]))
            .collect::<Vec<_>>();
        if candidates.is_empty() {
            return;
        }
        let random = candidates[self.rng.random_range(0..candidates.len())];
        let least = |i: &&usize| self.servers[**i].connections_in_use();
        let server = match way {
            Way::LeastConnections => candidates.iter().min_by_key(least).copied(),
            _ => Some(random),
        };
        let server = server.unwrap_or(random);
        let s = &mut self.servers[server];
        if !s.up || s.connections_in_use() >= s.connections {
            return;
        }
        match s.running < s.slots {
            true => self.run_on(id, server, None, now),
            false => s.waiting.push_back(id),
        }
    }

    /// Runs a request on a server; `timeout` ends the attempt.
    fn run_on(
        &mut self,
        id: model::RequestId,
        server: usize,
        timeout: Option<time::Duration>,
        now: model::Time,
    ) {
        let record = &mut self.records[id as usize];
        record.cold |= self.servers[server].is_cold();
        let warm = traffic::draw_service_time(&record.work, &mut self.rng);
        let takes = self.servers[server].start(warm, now);
        let timed_out = timeout.is_some_and(|timeout| takes > timeout);
        let takes = timeout.map_or(takes, |timeout| takes.min(timeout));
        self.serial += 1;
        let serial = self.serial;
        let attempt = Attempt {
            serial,
            started: now,
            timed_out,
        };
        self.attempts.insert((id, server), attempt);
        self.events
            .push(now + takes, Event::End { id, server, serial });
    }

    fn end(&mut self, id: model::RequestId, server: usize, serial: u64, now: model::Time) {
        let Some(attempt) = self.attempts.get(&(id, server)) else {
            return;
        };
        if attempt.serial != serial {
            return;
        }
        let finish = match attempt.timed_out {
            true => pool::AttemptOutcome::TimedOut,
            false => pool::AttemptOutcome::Answered {
                latency: now - attempt.started,
                ok: true,
            },
        };
        self.close(id, server, finish, now);
    }

    fn close(
        &mut self,
        id: model::RequestId,
        server: usize,
        finish: pool::AttemptOutcome,
        now: model::Time,
    ) {
        self.attempts.remove(&(id, server));
        self.servers[server].end(now);
        if matches!(finish, pool::AttemptOutcome::Answered { .. }) {
            let answered = &mut self.records[id as usize].answered;
            *answered = answered.or(Some(now));
        }
        match self.way {
            Way::Pools => self.finished(id, server, finish, now),
            _ => self.run_waiting(server, now),
        }
    }

    fn run_waiting(&mut self, server: usize, now: model::Time) {
        while let Some(id) = self.servers[server].waiting.pop_front() {
            // The server accepts deadlines: it drops what is late already.
            if self.records[id as usize].deadline > now && self.servers[server].up {
                return self.run_on(id, server, None, now);
            }
        }
    }

    fn finished(
        &mut self,
        id: model::RequestId,
        server: usize,
        finish: pool::AttemptOutcome,
        now: model::Time,
    ) {
        let host = self.owners[&id];
        let name = self.servers[server].id.clone();
        let actions = self.hosts.pools[host].finished(id, &name, finish, now);
        self.act(host, actions, now);
    }

    fn act(&mut self, host: usize, actions: Vec<pool::Action>, now: model::Time) {
        for action in actions {
            match action {
                pool::Action::Start {
                    id,
                    server,
                    timeout,
                    ..
                } => {
                    debug_assert_eq!(self.owners[&id], host);
                    let server = self.positions[&server];
                    let s = &self.servers[server];
                    if !s.up {
                        self.finished(id, server, pool::AttemptOutcome::ConnectFailed, now);
                    } else if s.running >= s.slots {
                        self.finished(id, server, pool::AttemptOutcome::Shed, now);
                    } else {
                        self.run_on(id, server, Some(timeout), now);
                    }
                }
                pool::Action::Cancel { id, server } => {
                    let server = self.positions[&server];
                    if self.attempts.contains_key(&(id, server)) {
                        self.close(id, server, pool::AttemptOutcome::Cancelled, now);
                    }
                }
                pool::Action::Done { .. } | pool::Action::Fail { .. } => (),
            }
        }
    }

    fn tick(&mut self, now: model::Time) {
        self.events.push(now + TICK, Event::Tick);
        if self.way != Way::Pools {
            return;
        }
        if now >= self.exchanged + EXCHANGE_INTERVAL || now.is_zero() {
            self.exchanged = now;
            self.hosts.observe(&self.doc);
        }
        for host in 0..self.hosts.pools.len() {
            let actions = self.hosts.pools[host].tick(now);
            self.act(host, actions, now);
        }
        if now >= self.reported + REPORT_INTERVAL {
            self.reported = now;
            self.report(now);
        }
    }

    fn report(&mut self, now: model::Time) {
        for i in 0..self.servers.len() {
            let Some(report) = self.servers[i].report(REPORT_LAG, now) else {
                continue;
            };
            let name = self.servers[i].id.clone();
            let host = self.hosts.owners[&name];
            let actions = self.hosts.pools[host].report(&name, report, now);
            self.act(host, actions, now);
        }
    }
}
