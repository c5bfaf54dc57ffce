//! What a host believes of one backend server.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::{dispatcher, outcome};
use crate::model;

/// Objects that a backend server is taken to keep in its cache.
const WARM_OBJECTS: usize = 64;

/// Weight of a new observation in the moving averages of speed and failures.
const WEIGHT: f64 = 0.15;

/// Bounds of the speed, relative to other backend servers.
const SPEED_RANGE: (f64, f64) = (0.3, 20.0);

/// Time relative to the expected one from which a request in progress counts as slow.
const OVERDUE: f64 = 2.5;

/// First ejection after a failed connection; each further one in a row is twice as long.
const EJECTION: time::Duration = time::Duration::from_millis(300);

/// Longest ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_millis(2400);

/// Time for which a backend server that shed a request counts as full: about the time in which a
/// host learns of the load that the others put on it.
const FULL: time::Duration = time::Duration::from_millis(60);

/// Service time of a cold backend server relative to a warm one.
const COLD_SLOWDOWN: f64 = 2.0;

/// Time for which a backend server's report of its load counts.
const REPORT_AGE: time::Duration = time::Duration::from_millis(250);

/// A backend server as it describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Name.
    pub id: model::ServerId,
    /// Service that it runs.
    pub service: model::ServiceId,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: model::DataCentreId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Time for which it is still cold.
    pub warmup_left: time::Duration,
    /// Its start: milliseconds since the Unix epoch.
    pub incarnation: model::Incarnation,
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new requests.
    Ready,
    /// It finishes its requests and leaves.
    Draining,
}

/// A request in progress at a backend server.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    ticket: dispatcher::Ticket,
    object: Option<u64>,
    since: model::Time,
    expected: f64,
}

/// What a host believes of one backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// As it describes itself.
    pub entry: ServerEntry,
    /// Hash of its name, the same at all hosts.
    pub hash: u64,
    /// Whether its data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// Requests in progress that other hosts of the data centre sent, as they tell.
    pub(super) told: u32,
    /// Requests in progress that other hosts sent, as it reported last, and when.
    reported: (model::Time, u32),
    in_flight: Vec<InFlight>,
    speed: f64,
    failure_rate: f64,
    ejected_until: model::Time,
    ejections: u32,
    full_until: model::Time,
    cold_until: model::Time,
    next_cold: model::Time,
    warm: collections::VecDeque<u64>,
    has_answered: bool,
    /// Since when its entry is missing from the store, where the absence is not yet believed.
    pub(super) missing_since: Option<model::Time>,
}

impl Server {
    /// A backend server of which only its entry is known.
    pub fn new(entry: ServerEntry, now: model::Time) -> Server {
        Server {
            cold_until: now + entry.warmup_left,
            hash: xxh3::xxh3_64(entry.id.as_bytes()),
            is_evacuated: false,
            told: 0,
            reported: (model::Time::ZERO, 0),
            entry,
            in_flight: Vec::new(),
            speed: 1.0,
            failure_rate: 0.0,
            ejected_until: model::Time::ZERO,
            ejections: 0,
            full_until: model::Time::ZERO,
            next_cold: now,
            warm: collections::VecDeque::new(),
            has_answered: false,
            missing_since: None,
        }
    }

    /// Takes a newer description; a new start forgets all that was learnt of the former one.
    pub fn update(&mut self, entry: ServerEntry, now: model::Time) {
        self.missing_since = None;
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            let is_evacuated = self.is_evacuated;
            *self = Server::new(entry, now);
            self.is_evacuated = is_evacuated;
            return;
        }
        if entry.warmup_left > time::Duration::ZERO {
            self.cold_until = self.cold_until.max(now + entry.warmup_left);
        }
        self.entry = entry;
    }

    /// Makes it cold until `until`, with an empty cache.
    pub fn chill(&mut self, until: model::Time) {
        self.cold_until = self.cold_until.max(until);
        self.warm.clear();
    }

    /// Whether it may be given a request, apart from its load.
    pub fn is_usable(&self, now: model::Time) -> bool {
        self.entry.state == ServerState::Ready && !self.is_evacuated && now >= self.ejected_until
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: model::Time) -> bool {
        now < self.cold_until
    }

    /// Time until a cold backend server may be given its next request.
    pub fn cold_wait(&self, now: model::Time) -> time::Duration {
        match self.is_cold(now) {
            true => self.next_cold.saturating_sub(now),
            false => time::Duration::ZERO,
        }
    }

    /// Requests in progress that this host sent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Requests in progress that other hosts sent, as far as is known.
    pub fn others(&self, now: model::Time) -> u32 {
        let (at, reported) = self.reported;
        match now <= at + REPORT_AGE {
            true => self.told.max(reported),
            false => self.told,
        }
    }

    /// Takes its report of the requests that it has, running or waiting.
    pub(super) fn report(&mut self, requests: u32, now: model::Time) {
        self.reported = (now, requests.saturating_sub(self.in_flight()));
    }

    /// Whether it refused a request for lack of room a moment ago.
    pub fn is_full(&self, now: model::Time) -> bool {
        now < self.full_until
    }

    /// Whether it is known to have the object in its cache.
    pub fn is_warm_for(&self, object: u64) -> bool {
        self.warm.contains(&object)
    }

    /// Expected service time relative to an ordinary backend server.
    pub fn slowness(&self, now: model::Time) -> f64 {
        let overdue = self
            .in_flight
            .iter()
            .map(|f| now.saturating_sub(f.since).as_secs_f64() / f.expected)
            .fold(0.0, f64::max);
        let overdue = if overdue > OVERDUE { overdue } else { 0.0 };
        let cold = if self.is_cold(now) {
            COLD_SLOWDOWN
        } else {
            1.0
        };
        self.speed.max(overdue) * cold
    }

    /// Time relative to that of other backend servers, from finished requests.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Recent part of its requests that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records a sending; `interval` is the time between two requests of this host to a cold
    /// backend server.  It loads the object at once: a second request finds it in the cache while
    /// the first one still runs.
    pub(super) fn sent(
        &mut self,
        ticket: dispatcher::Ticket,
        object: Option<u64>,
        expected: f64,
        interval: time::Duration,
        now: model::Time,
    ) {
        self.in_flight.push(InFlight {
            ticket,
            object,
            since: now,
            expected,
        });
        object.into_iter().for_each(|object| self.warmed(object));
        self.next_cold = now + interval;
    }

    /// Records the end of a sending; returns how long it took.
    pub(super) fn finished(
        &mut self,
        ticket: dispatcher::Ticket,
        outcome: outcome::Outcome,
        warmup: time::Duration,
        now: model::Time,
    ) -> Option<time::Duration> {
        let at = self.in_flight.iter().position(|f| f.ticket == ticket)?;
        let sent = self.in_flight.swap_remove(at);
        let took = now.saturating_sub(sent.since);
        if outcome.is_not_run() {
            self.warm.retain(|known| Some(*known) != sent.object);
        }
        match outcome {
            outcome::Outcome::Answered => self.healthy(),
            outcome::Outcome::Failed | outcome::Outcome::Broken => self.count_failure(1.0),
            outcome::Outcome::Shed => self.full_until = now + FULL,
            outcome::Outcome::Misdirected => self.ejected_until = now + MAX_EJECTION,
            outcome::Outcome::Unreachable => self.eject(warmup, now),
            outcome::Outcome::TimedOut | outcome::Outcome::Cancelled => {}
        }
        Some(took)
    }

    /// Records the service time of an answer, relative to the expected one.
    pub(super) fn observe(&mut self, ratio: f64) {
        let (least, most) = SPEED_RANGE;
        self.speed = (self.speed + WEIGHT * (ratio - self.speed)).clamp(least, most);
    }

    /// Records that it has the object in its cache.
    fn warmed(&mut self, object: u64) {
        self.warm.retain(|known| *known != object);
        self.warm.push_back(object);
        if self.warm.len() > WARM_OBJECTS {
            self.warm.pop_front();
        }
    }

    /// Whether it is new to this host: it has answered nothing and has nothing to do.
    pub fn is_untried(&self) -> bool {
        !self.has_answered && self.in_flight.is_empty()
    }

    fn healthy(&mut self) {
        self.has_answered = true;
        self.ejections = 0;
        self.count_failure(0.0);
    }

    fn count_failure(&mut self, failed: f64) {
        self.failure_rate += WEIGHT * (failed - self.failure_rate);
    }

    /// A backend server that can't be reached comes back cold, as far as is known.
    fn eject(&mut self, warmup: time::Duration, now: model::Time) {
        let length = EJECTION * (1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = now + length.min(MAX_EJECTION);
        self.chill(self.ejected_until + warmup);
    }
}
