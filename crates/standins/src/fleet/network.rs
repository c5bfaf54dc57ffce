//! Hosts, the network between them and the platform, in virtual time.

use std::{collections, net, time};

use rand::{Rng, SeedableRng};
use yuccatide_steering::{config, membership, model, propagation};

use super::{host, meter, store};

/// Time between two ticks of a host.
pub const TICK: time::Duration = time::Duration::from_millis(50);
/// Shortest time between two hand-overs of the members to the follower.
const HAND_OVER: time::Duration = time::Duration::from_millis(200);
/// Time that the platform takes for a call.
const PLATFORM_TIME: time::Duration = time::Duration::from_millis(3);

/// Where a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of the host in the fleet.
    pub host: usize,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Number of its region.
    pub region: usize,
}

/// How the platform treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It answers.
    Answers,
    /// It refuses without carrying the call out.
    Refuses,
    /// The call is lost on its way.
    LosesCall,
    /// It carries the call out, and the answer is lost.
    LosesAnswer,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick,
    Member(membership::Message, usize),
    Config(propagation::Message, usize),
    Answer(propagation::CallId, propagation::Response, usize),
}

#[derive(Clone, Debug)]
struct Queued {
    to: usize,
    /// Process start that the event is for; absent for messages.
    start: Option<u64>,
    event: Event,
}

/// Decides whether a message passes from one place to another.
type Passes = Box<dyn FnMut(Place, Place) -> bool>;
/// Decides how the platform treats a call from a place.
type Treats = Box<dyn FnMut(Place) -> Reply>;

/// Hosts, the network between them and the platform.
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<host::Host>,
    /// The platform.
    pub store: store::Store,
    /// Whether a message from one place to another passes.
    pub passes: Passes,
    /// How the platform treats a call from a place.
    pub treats: Treats,
    /// Part of the messages that is lost, 0 to 1.
    pub loss: f64,
    /// Part of the messages that arrives twice, 0 to 1.
    pub duplicates: f64,
    /// Largest additional delay of a message; messages overtake each other.
    pub jitter: time::Duration,
    now: time::Duration,
    queue: collections::BTreeMap<(time::Duration, u64), Queued>,
    next_event: u64,
    by_address: collections::HashMap<net::SocketAddr, Vec<usize>>,
    deployment: String,
    seed: u64,
    rng: rand_pcg::Pcg64Mcg,
}

impl Fleet {
    /// A fleet that is not started.
    ///
    /// `data_centres` holds for each one the number of its region and of its hosts.
    pub fn new(data_centres: &[(usize, usize)], document: config::Document, seed: u64) -> Fleet {
        let now = time::Duration::from_secs(1_000_000);
        let deployment = document.deployment.clone();
        let places = data_centres
            .iter()
            .enumerate()
            .flat_map(|(dc, (region, hosts))| (0..*hosts).map(move |_| (dc, *region)))
            .enumerate()
            .map(|(host, (data_centre, region))| Place {
                host,
                data_centre,
                region,
            });
        let hosts = places
            .map(|place| new_host(place, 0, &deployment, seed, now))
            .collect::<Vec<_>>();
        let mut by_address = collections::HashMap::<_, Vec<usize>>::new();
        for (i, host) in hosts.iter().enumerate() {
            by_address.entry(host.peer_address).or_default().push(i);
        }
        Fleet {
            hosts,
            store: store::Store::with_document(document),
            passes: Box::new(|_, _| true),
            treats: Box::new(|_| Reply::Answers),
            loss: 0.0,
            duplicates: 0.0,
            jitter: time::Duration::ZERO,
            now,
            queue: collections::BTreeMap::new(),
            next_event: 0,
            by_address,
            deployment,
            seed,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Present time.
    pub fn now(&self) -> time::Duration {
        self.now
    }

    /// The platform's list of hosts.
    pub fn list(&self) -> Vec<membership::ListedHost> {
        self.hosts
            .iter()
            .map(|h| membership::ListedHost {
                host: h.name.clone(),
                data_centre: data_centre_name(h.place.data_centre),
                peer_address: h.peer_address,
                leaving: false,
            })
            .collect()
    }

    /// Starts a new process on a host.
    pub fn start(&mut self, i: usize) {
        self.start_with(i, self.list());
    }

    /// Starts a new process on a host that finds a certain list of hosts.
    pub fn start_with(&mut self, i: usize, list: Vec<membership::ListedHost>) {
        let old = &self.hosts[i];
        let start = old.start + 1;
        let (place, meter) = (old.place, old.meter);
        let mut host = new_host(place, start, &self.deployment, self.seed, self.now);
        host.meter = meter;
        host.peer_address = old.peer_address;
        host.name = old.name.clone();
        host.up = true;
        let actions = host.membership.set_listed_hosts(list, self.now);
        self.hosts[i] = host;
        self.do_member_actions(i, actions);
        let phase = TICK.mul_f64(self.rng.random());
        self.push(self.now + phase, i, Some(start), Event::Tick);
    }

    /// Starts all hosts, each at a random time within a span.
    pub fn start_all(&mut self, span: time::Duration) {
        let mut order = (0..self.hosts.len())
            .map(|i| (span.mul_f64(self.rng.random()), i))
            .collect::<Vec<_>>();
        order.sort();
        let began = self.now;
        for (after, i) in order {
            self.run_until(began + after);
            self.start(i);
        }
    }

    /// Ends the process on a host without notice.
    pub fn kill(&mut self, i: usize) {
        self.hosts[i].up = false;
    }

    /// Pauses a host: its messages and answers wait.
    pub fn pause(&mut self, i: usize, span: time::Duration) {
        self.hosts[i].paused_until = self.now + span;
    }

    /// Submits a patch at a host.
    pub fn submit(&mut self, i: usize, patch: config::Patch) -> propagation::SubmissionId {
        let now = self.now;
        let host = &mut self.hosts[i];
        let (id, actions) = host.follower.submit(patch, "operator".to_string(), now);
        self.do_config_actions(i, actions);
        id
    }

    /// Hands an event to a host's membership.
    pub fn with_membership(
        &mut self,
        i: usize,
        event: impl FnOnce(&mut membership::Membership, model::Time) -> Vec<membership::Action>,
    ) {
        let actions = event(&mut self.hosts[i].membership, self.now);
        self.do_member_actions(i, actions);
    }

    /// Resets the counters of all hosts.
    pub fn reset_meters(&mut self) {
        for host in &mut self.hosts {
            host.meter = meter::Meter::default();
        }
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: time::Duration) {
        self.run_until(self.now + span);
    }

    /// Runs until a condition holds or a span is over; returns whether it holds.
    pub fn run_while(&mut self, span: time::Duration, not_yet: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + span;
        while not_yet(self) && self.now < end {
            self.run(TICK);
        }
        !not_yet(self)
    }

    fn run_until(&mut self, end: time::Duration) {
        while let Some((at, _)) = self.queue.first_key_value().map(|(key, _)| *key) {
            if at > end {
                break;
            }
            let ((at, _), queued) = self.queue.pop_first().expect("the queue is not empty");
            self.now = at;
            self.handle(queued);
        }
        self.now = end;
    }

    fn push(&mut self, at: time::Duration, to: usize, start: Option<u64>, event: Event) {
        self.next_event += 1;
        let queued = Queued { to, start, event };
        self.queue.insert((at, self.next_event), queued);
    }

    fn handle(&mut self, queued: Queued) {
        let i = queued.to;
        let host = &mut self.hosts[i];
        if !host.up || queued.start.is_some_and(|start| start != host.start) {
            return;
        }
        if self.now < host.paused_until {
            let at = host.paused_until;
            return self.push(at, i, queued.start, queued.event);
        }
        match queued.event {
            Event::Tick => self.tick(i),
            Event::Member(message, bytes) => {
                host.meter.receive(bytes, self.now);
                let actions = host.membership.on_message(message, self.now);
                self.do_member_actions(i, actions);
            }
            Event::Config(message, bytes) => {
                host.meter.receive(bytes, self.now);
                let actions = host.follower.on_message(message, self.now);
                self.do_config_actions(i, actions);
            }
            Event::Answer(call, answer, bytes) => {
                host.meter.receive(bytes, self.now);
                let actions = host.follower.on_response(call, answer, self.now);
                self.do_config_actions(i, actions);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let start = host.start;
        let actions = host.membership.tick(now);
        self.do_member_actions(i, actions);
        let host = &mut self.hosts[i];
        let actions = match host.dirty && now >= host.next_hand_over {
            true => {
                host.dirty = false;
                host.next_hand_over = now + HAND_OVER;
                host.follower.update_members(host.membership.members(), now)
            }
            false => host.follower.tick(now),
        };
        self.do_config_actions(i, actions);
        self.push(now + TICK, i, Some(start), Event::Tick);
        self.answer_watches();
    }

    fn do_member_actions(&mut self, i: usize, actions: Vec<membership::Action>) {
        for action in actions {
            match action {
                membership::Action::Send { to, message } => {
                    let bytes = postcard::to_stdvec(&message).map_or(0, |b| b.len());
                    self.send(i, to, bytes, Event::Member(message, bytes));
                }
                membership::Action::Changed => self.hosts[i].dirty = true,
                membership::Action::HigherVersion {
                    peer_address,
                    version,
                    ..
                } => {
                    let follower = &mut self.hosts[i].follower;
                    let actions = follower.on_higher_version(peer_address, version, self.now);
                    self.do_config_actions(i, actions);
                }
                membership::Action::Notice(notice) => self.hosts[i].notices.push(notice),
            }
        }
    }

    fn do_config_actions(&mut self, i: usize, actions: Vec<propagation::Action>) {
        for action in actions {
            let host = &mut self.hosts[i];
            match action {
                propagation::Action::Platform { call, request } => self.call(i, call, request),
                propagation::Action::Send { to, message } => {
                    let bytes = postcard::to_stdvec(&message).map_or(0, |b| b.len());
                    self.send(i, to, bytes, Event::Config(message, bytes));
                }
                propagation::Action::Apply(stored) => {
                    let version = stored.document.version;
                    host.applied.entry(version).or_insert(self.now);
                    host.history.push(version);
                    host.membership.set_config_version(version);
                }
                propagation::Action::Ready => {
                    host.ready = Some(self.now);
                    let actions = host.membership.set_ready(true, self.now);
                    self.do_member_actions(i, actions);
                }
                propagation::Action::Submitted { submission, result } => {
                    host.results.insert(submission, result);
                }
                propagation::Action::Notice(notice) => host.config_notices.push(notice),
            }
        }
    }

    fn send(&mut self, from: usize, to: net::SocketAddr, bytes: usize, event: Event) {
        self.hosts[from].meter.send(bytes, self.now);
        let place = self.hosts[from].place;
        let receivers = self.by_address.get(&to).cloned().unwrap_or_default();
        // Of several hosts with one address, the process that started last has it.
        let receiver = receivers
            .into_iter()
            .filter(|i| self.hosts[*i].up)
            .max_by_key(|i| self.hosts[*i].start);
        let Some(receiver) = receiver else {
            return;
        };
        let passes = (self.passes)(place, self.hosts[receiver].place);
        if !passes || self.rng.random_bool(self.loss) {
            return;
        }
        if self.rng.random_bool(self.duplicates) {
            let at = self.now + self.delay(place, self.hosts[receiver].place);
            self.push(at, receiver, None, event.clone());
        }
        let at = self.now + self.delay(place, self.hosts[receiver].place);
        self.push(at, receiver, None, event);
    }

    fn delay(&mut self, a: Place, b: Place) -> time::Duration {
        latency(a, b) + self.jitter.mul_f64(self.rng.random())
    }

    fn call(&mut self, i: usize, call: propagation::CallId, request: propagation::Request) {
        self.store.count(&request, self.now);
        let bytes = match &request {
            propagation::Request::PutIf { stored, .. } => self.store.size(stored),
            _ => 0,
        };
        self.hosts[i].meter.send(bytes, self.now);
        let host = &self.hosts[i];
        let (place, start) = (host.place, host.start);
        let waiting = store::Waiting {
            host: i,
            start,
            call,
            after: 0,
            ends: store::Store::end_of_watch(self.now),
        };
        let answer = match (self.treats)(place) {
            Reply::Answers => self.store.call(waiting, request),
            Reply::Refuses => Some(propagation::Response::Unavailable),
            Reply::LosesCall => None,
            Reply::LosesAnswer => {
                self.store.call(waiting, request);
                None
            }
        };
        if let Some(answer) = answer {
            self.answer(i, start, call, answer);
        }
        self.answer_watches();
    }

    fn answer(
        &mut self,
        i: usize,
        start: u64,
        call: propagation::CallId,
        answer: propagation::Response,
    ) {
        let platform = Place {
            host: usize::MAX,
            data_centre: 0,
            region: 0,
        };
        let way = latency(self.hosts[i].place, platform);
        let at = self.now + way * 2 + PLATFORM_TIME;
        let bytes = match &answer {
            propagation::Response::Object { stored, .. } => self.store.size(stored),
            _ => 0,
        };
        self.push(at, i, Some(start), Event::Answer(call, answer, bytes));
    }

    /// Answers watches that are due, where the platform reaches their hosts.
    fn answer_watches(&mut self) {
        for (waiting, answer) in self.store.due(self.now) {
            let place = self.hosts[waiting.host].place;
            if (self.treats)(place) == Reply::Answers {
                self.answer(waiting.host, waiting.start, waiting.call, answer);
            }
        }
    }
}

/// Name of a data centre.
pub fn data_centre_name(data_centre: usize) -> model::DataCentreId {
    format!("dc-{data_centre}")
}

fn latency(a: Place, b: Place) -> time::Duration {
    if a.data_centre == b.data_centre {
        time::Duration::from_micros(300)
    } else if a.region == b.region {
        time::Duration::from_millis(1)
    } else {
        time::Duration::from_millis(20)
    }
}

fn new_host(
    place: Place,
    start: u64,
    deployment: &str,
    seed: u64,
    now: time::Duration,
) -> host::Host {
    let name = format!("host-{}-{}", place.data_centre, place.host);
    let [high, low] = (place.host as u16).to_be_bytes();
    let ip = net::Ipv4Addr::new(10, place.data_centre as u8, high, low);
    let peer_address = net::SocketAddr::from((ip, 7001));
    let me = membership::Identity {
        host: name.clone(),
        incarnation: now.as_millis() as u64 + start,
        data_centre: data_centre_name(place.data_centre),
        address: net::SocketAddr::from((ip, 7000)),
        peer_address,
        deployment: deployment.to_string(),
    };
    let identity = propagation::Identity {
        host: name.clone(),
        data_centre: data_centre_name(place.data_centre),
        peer_address,
        deployment: deployment.to_string(),
    };
    let seed = seed.wrapping_add(start << 32);
    host::Host {
        place,
        peer_address,
        up: false,
        start,
        membership: membership::Membership::new(me, Vec::new(), seed, now),
        follower: propagation::Follower::new(identity, seed, now),
        meter: meter::Meter::default(),
        applied: collections::BTreeMap::new(),
        history: Vec::new(),
        ready: None,
        results: collections::BTreeMap::new(),
        notices: Vec::new(),
        config_notices: Vec::new(),
        dirty: true,
        next_hand_over: now,
        paused_until: time::Duration::ZERO,
        name,
    }
}
