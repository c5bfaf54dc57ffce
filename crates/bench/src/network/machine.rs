//! The run.

use std::{cmp, collections, sync, time};

use rand::{Rng, SeedableRng};
use yuccatide_steering::{config, model, steer};

use super::{caller, event, node, probe, server, tally, workload};

/// How requests find a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The steering under test.
    Steer,
    /// The server with the least requests in the nearest data centre, without admission.
    Nearest,
    /// Any server, without admission.
    Random,
}

/// A host as the lists of live hosts know it.
type Listed = (model::HostId, model::DataCentreId);

/// Hosts, servers and callers in virtual time.
pub struct Fleet {
    /// Present time.
    pub now: model::Time,
    /// Document in force.
    pub doc: sync::Arc<config::Document>,
    /// Live hosts.
    pub nodes: collections::BTreeMap<model::HostId, node::Node>,
    /// Backend servers.
    pub servers: collections::BTreeMap<model::ServerId, server::Server>,
    /// Counts.
    pub tally: tally::Tally,
    /// Changes of the callers' data centres.
    pub probe: probe::Probe,
    /// Callers.
    pub callers: caller::Population,
    /// Traffic.
    pub workload: workload::Workload,
    pub(super) way: Way,
    pub(super) lag: time::Duration,
    pub(super) rng: rand_pcg::Pcg64,
    queue: collections::BinaryHeap<cmp::Reverse<(model::Time, u64, Boxed)>>,
    pub(super) next: u64,
    /// Data centres that cannot reach each other.
    pub(super) cut: collections::BTreeSet<(model::DataCentreId, model::DataCentreId)>,
    /// Lists of the past, the oldest first: live hosts and live servers.
    pub(super) lists: collections::VecDeque<(
        model::Time,
        Vec<Listed>,
        collections::BTreeSet<model::ServerId>,
    )>,
    pub(super) hosts: Vec<Listed>,
}

/// An event in the queue; only its time and number order it.
struct Boxed(event::Event);

impl PartialEq for Boxed {
    fn eq(&self, _: &Boxed) -> bool {
        true
    }
}

impl Eq for Boxed {}

impl PartialOrd for Boxed {
    fn partial_cmp(&self, other: &Boxed) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Boxed {
    fn cmp(&self, _: &Boxed) -> cmp::Ordering {
        cmp::Ordering::Equal
    }
}

impl Fleet {
    /// All hosts started, with traffic from now on.
    pub fn new(scenario: workload::Scenario, way: Way) -> Fleet {
        let doc = sync::Arc::new(scenario.doc);
        let hosts = place(&doc, scenario.hosts);
        let callers = caller::Population::new(&doc, &scenario.workload);
        let mut fleet = Fleet {
            now: time::Duration::from_secs(1000),
            servers: servers(&doc),
            doc,
            nodes: collections::BTreeMap::new(),
            tally: tally::Tally::default(),
            probe: probe::Probe::default(),
            callers,
            workload: scenario.workload,
            way,
            lag: scenario.lag,
            rng: rand_pcg::Pcg64::seed_from_u64(scenario.seed),
            queue: collections::BinaryHeap::new(),
            next: 0,
            cut: collections::BTreeSet::new(),
            lists: collections::VecDeque::new(),
            hosts: hosts.clone(),
        };
        for (host, _) in &hosts {
            fleet.insert_node(host);
        }
        fleet.record_list();
        hosts
            .iter()
            .for_each(|(host, _)| fleet.give_list(host, true));
        fleet.start_traffic();
        fleet.schedule(time::Duration::ZERO, event::Event::Learn);
        fleet
    }

    /// Runs for a time.
    pub fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        while let Some(cmp::Reverse((at, ..))) = self.queue.peek() {
            if *at >= end {
                break;
            }
            let cmp::Reverse((at, _, Boxed(event))) = self.queue.pop().expect("it was there");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Applies a JSON merge patch of the configuration at all live hosts.
    pub fn patch(&mut self, merge: serde_json::Value) {
        let patch = config::Patch {
            id: "p".to_string(),
            base: self.doc.version,
            merge,
        };
        let next = patch.apply(&self.doc).expect("the patch is valid");
        self.doc = sync::Arc::new(next);
        let (doc, now) = (sync::Arc::clone(&self.doc), self.now);
        for node in self.nodes.values_mut() {
            node.steer.set_document(sync::Arc::clone(&doc), now);
        }
    }

    /// Stops a host at once.
    pub fn kill_host(&mut self, host: &str) {
        self.nodes.remove(host);
    }

    /// Starts a host that was stopped, with nothing kept.
    pub fn start_host(&mut self, host: &str) {
        self.insert_node(host);
        self.give_list(host, true);
    }

    /// Stops the hosts and servers of a data centre, or starts them.
    pub fn set_live(&mut self, data_centre: &str, live: bool) {
        for server in self.servers.values_mut() {
            if server.data_centre == data_centre {
                server.live = live;
                server.in_flight = 0;
            }
        }
        let hosts = self.hosts.clone();
        for (host, _) in hosts.iter().filter(|(_, dc)| dc == data_centre) {
            match live {
                true => self.start_host(host),
                false => self.kill_host(host),
            }
        }
    }

    /// Cuts the data centres of one region off from all others, or joins them again.
    pub fn set_cut(&mut self, region: &str, cut: bool) {
        let inside = self.doc.regions[region].data_centres.keys();
        for a in inside.cloned().collect::<Vec<_>>() {
            for b in self.doc.data_centres().cloned().collect::<Vec<_>>() {
                if self.doc.region_of(&b).is_some_and(|r| r != region) {
                    for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
                        match cut {
                            true => self.cut.insert(pair),
                            false => self.cut.remove(&pair),
                        };
                    }
                }
            }
        }
    }

    /// Names of all hosts, live or not, with their data centres.
    pub fn hosts(&self) -> &[Listed] {
        &self.hosts
    }

    /// Use of a data centre for a service: requests on its servers over usable slots.
    pub fn use_of(&self, data_centre: &str, service: &str) -> f64 {
        let here = || {
            self.servers
                .values()
                .filter(|s| s.data_centre == data_centre && s.service == service && s.live)
        };
        let usable = here().map(|s| s.usable).sum::<u32>();
        let in_flight = here().map(|s| s.in_flight).sum::<u32>();
        match usable {
            0 => 0.0,
            _ => f64::from(in_flight) / f64::from(usable),
        }
    }

    pub(super) fn schedule(&mut self, after: time::Duration, event: event::Event) {
        self.next += 1;
        let entry = (self.now + after, self.next, Boxed(event));
        self.queue.push(cmp::Reverse(entry));
    }

    pub(super) fn insert_node(&mut self, host: &str) {
        let found = self.hosts.iter().find(|(h, _)| h == host);
        let (host, data_centre) = found.expect("the host is listed").clone();
        let incarnation = self.now.as_millis() as u64;
        let steer = steer::Router::new(
            sync::Arc::clone(&self.doc),
            host.clone(),
            data_centre.clone(),
            incarnation,
            self.rng.random(),
            self.now,
        );
        let node = node::Node {
            host: host.clone(),
            data_centre,
            incarnation,
            steer,
            queues: collections::BTreeMap::new(),
            owned: collections::BTreeSet::new(),
        };
        self.nodes.insert(host.clone(), node);
        let offset = self
            .rng
            .random_range(time::Duration::ZERO..steer::TICK_INTERVAL);
        self.schedule(offset, event::Event::Tick(host, incarnation));
    }

    fn start_traffic(&mut self) {
        let works = self.doc.work.keys().cloned().collect::<Vec<_>>();
        let origins = self.doc.data_centres().cloned().collect::<Vec<_>>();
        for work in works {
            for origin in &origins {
                self.schedule_arrival(work.clone(), origin.clone());
            }
        }
    }

    pub(super) fn schedule_arrival(&mut self, work: model::WorkId, origin: model::DataCentreId) {
        let rate = self.workload.rates[&work];
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let gap = time::Duration::from_secs_f64(gap);
        self.schedule(gap, event::Event::Arrive(work, origin));
    }

    pub(super) fn data_centre_of(&self, host: &str) -> model::DataCentreId {
        let found = self.hosts.iter().find(|(h, _)| h == host);
        found.map(|(_, dc)| dc.clone()).unwrap_or_default()
    }

    pub(super) fn reaches(&self, a: &str, b: &str) -> bool {
        let pair = (self.data_centre_of(a), self.data_centre_of(b));
        !self.cut.contains(&pair)
    }

    pub(super) fn delay(&self, from: &str, to: &str) -> time::Duration {
        node::HOP + self.doc.latency_between(from, to)
    }

    pub(super) fn count_link(&mut self, from: &str, to: &str, bytes: u64) {
        let regions = (self.doc.region_of(from), self.doc.region_of(to));
        if let (Some(a), Some(b)) = regions
            && a != b
        {
            let (a, b) = (a.clone(), b.clone());
            self.tally.count_link(&a, &b, bytes, self.now);
        }
    }
}

fn place(doc: &config::Document, count: usize) -> Vec<Listed> {
    let data_centres = doc.data_centres().collect::<Vec<_>>();
    (0..count)
        .map(|i| {
            let dc = data_centres[i % data_centres.len()];
            (format!("{dc}-{}", i / data_centres.len() + 1), dc.clone())
        })
        .collect()
}

fn servers(doc: &config::Document) -> collections::BTreeMap<model::ServerId, server::Server> {
    let one = |(id, s): (&model::ServerId, &config::Server)| {
        let service = &doc.services[&s.service];
        let server = server::Server {
            service: s.service.clone(),
            data_centre: s.data_centre.clone(),
            usable: workload::usable(service),
            slots: service.slots,
            live: true,
            slowness: 1.0,
            in_flight: 0,
            free_at: vec![model::Time::ZERO; service.slots as usize],
        };
        (id.clone(), server)
    };
    doc.servers.iter().map(one).collect()
}
