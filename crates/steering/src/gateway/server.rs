//! A host's view of one backend server: load, health, relative service time and cache contents.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::{dispatcher, machine_pace, outcome};
use crate::model;

/// Number of most recently requested objects that a backend server is assumed to have cached.
const MAX_CACHED_OBJECTS: usize = 64;

/// Weight of a new observation in the moving averages of the relative service time and the failure
/// rate.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Bounds of the relative service time.
const RELATIVE_SERVICE_TIME_RANGE: (f64, f64) = (0.3, 20.0);

/// Ratio of elapsed to expected time above which a request in progress counts as slow.
const OVERDUE_RATIO: f64 = 2.5;

/// Duration of the first ejection after a failed connection.  Each further failed connection doubles
/// it until a request succeeds.
const BASE_EJECTION_TIME: time::Duration = time::Duration::from_millis(300);

/// Longest ejection.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_millis(2400);

/// Time for which a backend server counts as full after it shed a request.  Heartbeats with the
/// requests of other hosts arrive with about this delay.
const FULL_DURATION: time::Duration = time::Duration::from_millis(60);

/// Longest pause that a backend server can ask for.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(300);

/// Service time of a cold backend server relative to a warm one.
const COLD_SERVICE_TIME_RATIO: f64 = 2.0;

/// Age up to which a load report of a backend server is used.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(250);

/// Description of a backend server, as it is registered in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Name.
    pub id: model::ServerId,
    /// Service that it provides.
    pub service: model::ServiceId,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: model::DataCentreId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Remaining time until it is warm.
    pub warmup_left: time::Duration,
    /// Start time in milliseconds since the Unix epoch; a change means that it has restarted.
    pub incarnation: model::Incarnation,
    /// Number of the write within the incarnation; `None` if the entry has none.
    pub sequence: Option<u64>,
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and then stops.
    Draining,
}

/// A request in progress at a backend server.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    ticket: dispatcher::Ticket,
    object: Option<u64>,
    started: model::Time,
    expected_seconds: f64,
    machine_slowdown: f64,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finished {
    /// Time since its start.
    pub duration: time::Duration,
    /// Expected service time on the machine at its start, relative to the usual one.
    pub machine_slowdown: f64,
}

/// A host's view of one backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its registered description.
    pub entry: ServerEntry,
    /// Hash of its name; identical on all hosts.
    pub name_hash: u64,
    /// Whether its data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// Time of its last load report, and the number of requests from other hosts in it.
    last_report: (model::Time, u32),
    /// Pace of its machine.
    pub(super) machine_pace: machine_pace::MachinePace,
    in_flight: Vec<InFlight>,
    relative_service_time: f64,
    failure_rate: f64,
    ejected_until: model::Time,
    ejections: u32,
    full_until: model::Time,
    /// End of the time for which it wants no requests from this host.
    paused_until: model::Time,
    cold_until: model::Time,
    /// Time of the last request of this host to it.
    pub(super) last_sent: Option<model::Time>,
    cached_objects: collections::VecDeque<u64>,
    has_responded: bool,
    /// Time since which its entry is missing from the store, while the removal is deferred.
    pub(super) missing_since: Option<model::Time>,
    /// Time since which its entry says that it is ready after it was seen to leave.
    pub(super) doubted_since: Option<model::Time>,
}

/// Hash of a backend server's name; identical on all hosts.
pub(super) fn name_hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

impl Server {
    /// Creates the view of a backend server of which only the entry is known.
    pub fn new(entry: ServerEntry, now: model::Time) -> Server {
        Server {
            cold_until: now + entry.warmup_left,
            name_hash: name_hash(&entry.id),
            is_evacuated: false,
            last_report: (model::Time::ZERO, 0),
            machine_pace: machine_pace::MachinePace::default(),
            entry,
            in_flight: Vec::new(),
            relative_service_time: 1.0,
            failure_rate: 0.0,
            ejected_until: model::Time::ZERO,
            ejections: 0,
            full_until: model::Time::ZERO,
            paused_until: model::Time::ZERO,
            last_sent: None,
            cached_objects: collections::VecDeque::new(),
            has_responded: false,
            missing_since: None,
            doubted_since: None,
        }
    }

    /// Applies another entry.  A changed incarnation or address means a restart and resets the
    /// state.
    pub fn update(&mut self, entry: ServerEntry, now: model::Time) {
        self.missing_since = None;
        if entry.state == ServerState::Draining {
            self.doubted_since = None;
        }
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            *self = Server::new(entry, now);
            return;
        }
        if entry.warmup_left > time::Duration::ZERO {
            self.cold_until = self.cold_until.max(now + entry.warmup_left);
        }
        self.entry = entry;
    }

    /// Marks it as cold until `until`, with an empty cache.
    pub fn mark_cold(&mut self, until: model::Time) {
        self.cold_until = self.cold_until.max(until);
        self.cached_objects.clear();
    }

    /// Whether it accepts requests, as far as the store tells.
    pub fn accepts_requests(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_evacuated
    }

    /// Whether it may get requests, regardless of its load.
    pub fn is_usable(&self, now: model::Time) -> bool {
        self.accepts_requests() && now >= self.ejected_until
    }

    /// Whether its entry says that it is ready after it was seen to leave, and its own status has not
    /// confirmed that.
    pub fn is_doubted(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// Whether its entry is missing from the store and it is kept until it had time to register
    /// again.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Whether it is still warming up.
    pub fn is_cold(&self, now: model::Time) -> bool {
        now < self.cold_until
    }

    /// Time until a cold backend server is warm; `None` if it is warm.
    pub fn warm_in(&self, now: model::Time) -> Option<time::Duration> {
        self.is_cold(now)
            .then(|| self.cold_until.saturating_sub(now))
    }

    /// Records that it wants no requests from this host for a while; returns whether the pause has
    /// just begun.  An earlier pause that lasts longer is kept.
    pub(super) fn pause(&mut self, duration: time::Duration, now: model::Time) -> bool {
        let was_paused = now < self.paused_until;
        self.paused_until = self.paused_until.max(now + duration.min(MAX_PAUSE));
        !was_paused && now < self.paused_until
    }

    /// Time for which it still wants no requests from this host.
    pub fn pause_left(&self, now: model::Time) -> time::Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Number of requests in progress from this host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Number of requests in progress from other hosts: the larger of `in_heartbeats`, the sum of
    /// their heartbeats, and the server's own report, if that is recent.
    pub fn remote_in_flight(&self, in_heartbeats: u32, now: model::Time) -> u32 {
        let (reported_at, requests) = self.last_report;
        match now <= reported_at + MAX_REPORT_AGE {
            true => in_heartbeats.max(requests),
            false => in_heartbeats,
        }
    }

    /// Records its report of the requests that it has, running and waiting.
    pub(super) fn record_report(&mut self, requests: u32, now: model::Time) {
        self.last_report = (now, requests.saturating_sub(self.in_flight()));
    }

    /// Whether it recently shed a request because it had no free slot.
    pub fn is_full(&self, now: model::Time) -> bool {
        now < self.full_until
    }

    /// Whether it is assumed to have the object cached.
    pub fn has_cached(&self, object: u64) -> bool {
        self.cached_objects.contains(&object)
    }

    /// Expected service time relative to a warm backend server of average speed, including the
    /// effects of a cold start, of overdue requests and of other work on its machine.
    pub fn slowdown(&self, now: model::Time) -> f64 {
        let overdue = self
            .in_flight
            .iter()
            .map(|f| now.saturating_sub(f.started).as_secs_f64() / f.expected_seconds)
            .fold(0.0, f64::max);
        let overdue = if overdue > OVERDUE_RATIO {
            overdue
        } else {
            0.0
        };
        let cold = if self.is_cold(now) {
            COLD_SERVICE_TIME_RATIO
        } else {
            1.0
        };
        let machine = self.machine_pace.slowdown(now);
        (self.relative_service_time * machine).max(overdue) * cold
    }

    /// Moving average of its service times relative to the expected ones, which are those of all
    /// backend servers.
    pub fn relative_service_time(&self) -> f64 {
        self.relative_service_time
    }

    /// Moving average of its failures, 0 to 1: the outcomes `Failed` and `Broken` count as failures,
    /// `Answered` as a success, and the others do not count.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records the start of an attempt.  The object counts as cached at once, because a second
    /// request finds it in the cache while the first one still runs.
    pub(super) fn record_sent(
        &mut self,
        ticket: dispatcher::Ticket,
        object: Option<u64>,
        expected_seconds: f64,
        now: model::Time,
    ) {
        self.in_flight.push(InFlight {
            ticket,
            object,
            started: now,
            expected_seconds,
            machine_slowdown: self.machine_pace.slowdown(now),
        });
        object
            .into_iter()
            .for_each(|object| self.mark_cached(object));
        self.last_sent = Some(now);
    }

    /// Records the end of an attempt and returns what is known of it.
    pub(super) fn record_finished(
        &mut self,
        ticket: dispatcher::Ticket,
        outcome: outcome::Outcome,
        warmup: time::Duration,
        now: model::Time,
    ) -> Option<Finished> {
        let index = self.in_flight.iter().position(|f| f.ticket == ticket)?;
        let request = self.in_flight.swap_remove(index);
        let duration = now.saturating_sub(request.started);
        if outcome.was_not_executed() {
            self.cached_objects
                .retain(|known| Some(*known) != request.object);
        }
        match outcome {
            outcome::Outcome::Answered => self.record_success(),
            outcome::Outcome::Failed | outcome::Outcome::Broken => self.update_failure_rate(1.0),
            outcome::Outcome::Shed => self.full_until = now + FULL_DURATION,
            outcome::Outcome::Misdirected => self.ejected_until = now + MAX_EJECTION_TIME,
            outcome::Outcome::Unreachable => self.eject(warmup, now),
            outcome::Outcome::Withdrawn
            | outcome::Outcome::TimedOut
            | outcome::Outcome::Cancelled => {}
        }
        Some(Finished {
            duration,
            machine_slowdown: request.machine_slowdown,
        })
    }

    /// Records the service time of a response relative to the expected one.
    pub(super) fn observe(&mut self, ratio: f64) {
        let (min, max) = RELATIVE_SERVICE_TIME_RANGE;
        self.relative_service_time = (self.relative_service_time
            + SMOOTHING_FACTOR * (ratio - self.relative_service_time))
            .clamp(min, max);
    }

    /// Adds the object to those assumed to be cached.
    fn mark_cached(&mut self, object: u64) {
        self.cached_objects.retain(|known| *known != object);
        self.cached_objects.push_back(object);
        if self.cached_objects.len() > MAX_CACHED_OBJECTS {
            self.cached_objects.pop_front();
        }
    }

    /// Whether it has not responded to this host yet and has no request of it in progress.
    pub fn is_untried(&self) -> bool {
        !self.has_responded && self.in_flight.is_empty()
    }

    fn record_success(&mut self) {
        self.has_responded = true;
        self.ejections = 0;
        self.update_failure_rate(0.0);
    }

    /// Records that it broke off an answer whose attempt counts as a success.
    pub(super) fn record_broken_answer(&mut self) {
        self.update_failure_rate(1.0);
    }

    fn update_failure_rate(&mut self, failed: f64) {
        self.failure_rate += SMOOTHING_FACTOR * (failed - self.failure_rate);
    }

    /// Ejects it for a while; afterwards it counts as cold, since it may have restarted.
    fn eject(&mut self, warmup: time::Duration, now: model::Time) {
        let duration = BASE_EJECTION_TIME * (1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = now + duration.min(MAX_EJECTION_TIME);
        self.mark_cold(self.ejected_until + warmup);
    }
}
