//! Hosts, the network between them and the quotas in force.

use std::{collections, time};

use rand::{Rng, SeedableRng};
use yuccatide_steering::{model, quota};

use super::host;

/// Time between two calls of [`quota::Ledger::poll`].
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time after which hosts notice that others are gone or back.
const NOTICE_TIME: time::Duration = time::Duration::from_millis(150);

/// Time after which a started host knows the others and they know it.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(300);

/// Longest time that a request waits for a token.
const MAX_WAIT: time::Duration = time::Duration::from_millis(80);

/// Longest time between the admission and the refusal of a request that isn't run.
const MAX_REFUSAL_TIME: time::Duration = time::Duration::from_millis(600);

/// Size of a deployment and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Data centres; two form a region.
    pub data_centres: usize,
    /// Hosts in each data centre.
    pub hosts: usize,
    /// Tolerances of quotas.
    pub bounds: quota::Bounds,
}

/// What became of the requests of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Admitted.
    pub admitted: u32,
    /// Refused since the quota was used up.
    pub over: u32,
    /// Refused since no holder answered.
    pub unanswered: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Poll,
    Notice,
    Settle(usize, u64),
    Message(usize, quota::Message),
    GiveBack(usize, u64, usize, quota::Token),
}

/// Hosts that admit requests by quota, and what they admit.
pub struct World {
    /// Bounds and size.
    pub layout: Layout,
    /// The hosts.
    pub hosts: Vec<host::Host>,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Share of the messages that arrive twice.
    pub duplicates: f64,
    /// Largest additional delay of a message.
    pub jitter: time::Duration,
    /// Share of the admitted requests that are not run.
    pub unserved: f64,
    /// Number of messages sent.
    pub messages: u64,
    /// Bytes of the messages sent.
    pub bytes: usize,
    /// What became of the requests, by customer.
    pub counts: Vec<Counts>,
    now: time::Duration,
    events: collections::BTreeMap<(time::Duration, u64), Event>,
    /// Versions of all customers' quotas.
    versions: Vec<Vec<quota::Quota>>,
    /// When requests that are run were admitted, by customer.
    runs: Vec<collections::VecDeque<time::Duration>>,
    /// Highest quotas that any host has had, since the times given.
    highest: Vec<(time::Duration, Vec<quota::Quota>)>,
    next: u64,
    is_notice_due: bool,
    customer_of: collections::HashMap<u64, usize>,
    rng: rand_pcg::Pcg64Mcg,
}

impl World {
    /// Creates a world in which all hosts start at the same time.
    pub fn new(layout: Layout, quotas: Vec<quota::Quota>, seed: u64) -> World {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..layout.data_centres * layout.hosts)
            .map(|i| host::Host {
                name: format!("host-{i}"),
                data_centre: i % layout.data_centres,
                is_up: true,
                group: 0,
                version: 0,
                ledger: quota::Ledger::new(layout.bounds, 0),
                is_settled: false,
                start: 0,
                clock_rate: rng.random_range(0.99..1.01),
                clock_offset: time::Duration::from_millis(rng.random_range(0..100_000)),
            })
            .collect();
        let mut world = World {
            layout,
            hosts,
            loss: 0.0,
            duplicates: 0.0,
            jitter: time::Duration::ZERO,
            unserved: 0.0,
            messages: 0,
            bytes: 0,
            counts: vec![Counts::default(); quotas.len()],
            now: time::Duration::ZERO,
            events: collections::BTreeMap::new(),
            runs: vec![collections::VecDeque::new(); quotas.len()],
            highest: Vec::new(),
            versions: vec![quotas],
            next: 0,
            is_notice_due: false,
            customer_of: collections::HashMap::new(),
            rng,
        };
        (0..world.hosts.len()).for_each(|host| world.start(host));
        world.schedule(POLL_INTERVAL, Event::Poll);
        world
    }

    /// Time since the beginning.
    pub fn now(&self) -> time::Duration {
        self.now
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// A client sends a request of a customer to a host.
    pub fn request(&mut self, host: usize, customer: usize) {
        if !self.hosts[host].is_up {
            return;
        }
        self.next += 1;
        let request = self.next;
        self.customer_of.insert(request, customer);
        let now = self.hosts[host].clock(self.now);
        let ledger = &mut self.hosts[host].ledger;
        let name = customer_name(customer);
        match ledger.admit(&name, request, now + MAX_WAIT, now) {
            quota::Admission::Now(verdict) => self.record(host, request, verdict),
            quota::Admission::Waiting => {}
        }
        self.flush(host);
    }

    /// Ends a host without notice.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        self.notice_all();
    }

    /// Starts a host with nothing remembered; it gets the quotas from hosts that it reaches.
    pub fn start(&mut self, host: usize) {
        let version = self
            .reached_by(host)
            .map(|other| self.hosts[other].version)
            .max();
        let started = &mut self.hosts[host];
        started.start += 1;
        let first_number = started.start << 32;
        started.is_up = true;
        started.is_settled = false;
        started.version = version.unwrap_or(started.version);
        started.ledger = quota::Ledger::new(self.layout.bounds, first_number);
        let start = started.start;
        self.schedule(SETTLING_TIME, Event::Settle(host, start));
        self.apply_version(host);
        self.set_holders(host);
        self.notice_all();
    }

    /// Divides hosts into groups that don't reach each other.
    pub fn split(&mut self, group_of: impl Fn(usize) -> usize) {
        for host in 0..self.hosts.len() {
            self.hosts[host].group = group_of(host);
        }
        self.notice_all();
    }

    /// Adds a version of the quotas, which [`World::adopt`] puts in force.
    pub fn add_version(&mut self, quotas: Vec<quota::Quota>) {
        self.versions.push(quotas);
    }

    /// The newest version takes effect at a host.
    pub fn adopt(&mut self, host: usize) {
        self.hosts[host].version = self.versions.len() - 1;
        if self.hosts[host].is_up {
            self.apply_version(host);
            self.flush(host);
        }
    }

    /// Largest excess, in requests, over a customer's bound in the windows that end now; the bound
    /// is that of the highest quota that a host had in the window or shortly before.
    pub fn excess(&mut self, customer: usize) -> f64 {
        let bounds = self.layout.bounds;
        let begin = self.now.saturating_sub(bounds.window);
        let runs = &mut self.runs[customer];
        while runs.front().is_some_and(|at| *at < begin) {
            runs.pop_front();
        }
        let first = begin.saturating_sub(bounds.window / 10);
        let from = self.highest.partition_point(|(at, _)| *at <= first);
        let highest = self.highest[from.saturating_sub(1)..]
            .iter()
            .map(|(_, quotas)| quotas[customer])
            .reduce(higher)
            .map_or(0.0, |quota| {
                quota.rate * bounds.window.as_secs_f64() + quota.burst
            });
        runs.len() as f64 - highest * (1.0 + bounds.over) - bounds.slack
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll => {
                for host in 0..self.hosts.len() {
                    if self.hosts[host].is_up {
                        let now = self.hosts[host].clock(self.now);
                        self.hosts[host].ledger.poll(now);
                        self.flush(host);
                    }
                }
                self.schedule(POLL_INTERVAL, Event::Poll);
            }
            Event::Notice => {
                self.is_notice_due = false;
                for host in 0..self.hosts.len() {
                    self.set_holders(host);
                    self.flush(host);
                }
            }
            Event::Settle(host, start) if self.hosts[host].start == start => {
                let is_alone = self.reached_by(host).next().is_none();
                match is_alone {
                    false => self.hosts[host].is_settled = true,
                    true => self.schedule(SETTLING_TIME, Event::Settle(host, start)),
                }
                self.set_holders(host);
            }
            Event::Settle(..) => {}
            Event::Message(host, message) => {
                if !self.hosts[host].is_up {
                    return;
                }
                let now = self.hosts[host].clock(self.now);
                if let Some(response) = self.hosts[host].ledger.receive(message, now) {
                    self.send(host, response);
                }
                self.flush(host);
            }
            Event::GiveBack(host, start, customer, token) => {
                if self.hosts[host].is_up && self.hosts[host].start == start {
                    let now = self.hosts[host].clock(self.now);
                    let name = customer_name(customer);
                    self.hosts[host].ledger.give_back(&name, token, now);
                    self.flush(host);
                }
            }
        }
    }

    fn flush(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        for (request, verdict) in self.hosts[host].ledger.take_decided() {
            self.record(host, request, verdict);
        }
        for message in self.hosts[host].ledger.take_messages(now) {
            self.send(host, message);
        }
    }

    fn record(&mut self, host: usize, request: u64, verdict: quota::Verdict) {
        let Some(customer) = self.customer_of.remove(&request) else {
            return;
        };
        let counts = &mut self.counts[customer];
        match verdict {
            quota::Verdict::Admitted(token) => {
                counts.admitted += 1;
                if self.unserved > 0.0 && self.rng.random_bool(self.unserved) {
                    let after = MAX_REFUSAL_TIME.mul_f64(self.rng.random());
                    let start = self.hosts[host].start;
                    self.schedule(after, Event::GiveBack(host, start, customer, token));
                } else {
                    self.runs[customer].push_back(self.now);
                }
            }
            quota::Verdict::Refused { reason, .. } => match reason {
                quota::Refusal::OverQuota => counts.over += 1,
                quota::Refusal::NoAnswer => counts.unanswered += 1,
            },
        }
    }

    fn send(&mut self, from: usize, outgoing: quota::Outgoing) {
        self.messages += 1;
        self.bytes += postcard::to_allocvec(&outgoing.message).map_or(0, |bytes| bytes.len());
        let receiver = self.hosts.iter().position(|host| host.name == outgoing.to);
        let Some(to) = receiver.filter(|to| self.hosts[*to].group == self.hosts[from].group) else {
            return;
        };
        let delay = self.delay(from, to);
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        if self.duplicates > 0.0 && self.rng.random_bool(self.duplicates) {
            let later = delay + self.jitter.mul_f64(self.rng.random());
            self.schedule(later, Event::Message(to, outgoing.message.clone()));
        }
        let delay = delay + self.jitter.mul_f64(self.rng.random());
        self.schedule(delay, Event::Message(to, outgoing.message));
    }

    fn delay(&self, from: usize, to: usize) -> time::Duration {
        let (from, to) = (self.hosts[from].data_centre, self.hosts[to].data_centre);
        match (from == to, from / 2 == to / 2) {
            (true, _) => time::Duration::from_micros(300),
            (false, true) => time::Duration::from_micros(1400),
            (false, false) => time::Duration::from_millis(20),
        }
    }

    fn schedule(&mut self, after: time::Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    fn notice_all(&mut self) {
        if !std::mem::replace(&mut self.is_notice_due, true) {
            self.schedule(NOTICE_TIME, Event::Notice);
        }
    }

    fn reached_by(&self, host: usize) -> impl Iterator<Item = usize> {
        let group = self.hosts[host].group;
        let others = self.hosts.iter().enumerate();
        others
            .filter(move |(other, state)| *other != host && state.is_up && state.group == group)
            .map(|(other, _)| other)
    }

    fn set_holders(&mut self, host: usize) {
        let own = &self.hosts[host];
        if !own.is_up {
            return;
        }
        let peers = self.hosts.iter().filter(|other| other.name != own.name);
        let holders = quota::Holders {
            peers: peers
                .map(|other| quota::Peer {
                    host: other.name.clone(),
                    data_centre: host::data_centre_name(other.data_centre),
                    is_live: other.is_up && other.group == own.group,
                })
                .collect(),
            regions: (0..self.layout.data_centres)
                .map(|dc| (host::data_centre_name(dc), format!("region-{}", dc / 2)))
                .collect(),
            own: own.name.clone(),
            own_data_centre: host::data_centre_name(own.data_centre),
            is_settled: own.is_settled,
        };
        let now = own.clock(self.now);
        self.hosts[host].ledger.set_holders(holders, now);
    }

    fn apply_version(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        let quotas = self.versions[self.hosts[host].version].clone();
        let names: Vec<String> = (0..quotas.len()).map(customer_name).collect();
        let named = names.iter().map(String::as_str).zip(quotas);
        self.hosts[host].ledger.set_quotas(named, now);
        let highest = (0..self.counts.len()).map(|customer| {
            let running = self.hosts.iter().filter(|host| host.is_up);
            let quotas = running.map(|host| self.versions[host.version][customer]);
            let none = quota::Quota {
                rate: 0.0,
                burst: 0.0,
            };
            quotas.fold(none, higher)
        });
        let highest = highest.collect();
        self.highest.push((self.now, highest));
    }
}

fn higher(a: quota::Quota, b: quota::Quota) -> quota::Quota {
    quota::Quota {
        rate: a.rate.max(b.rate),
        burst: a.burst.max(b.burst),
    }
}

fn customer_name(customer: usize) -> model::CustomerId {
    format!("customer-{customer}")
}
