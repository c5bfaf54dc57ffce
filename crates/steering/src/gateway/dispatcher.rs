//! Dispatch of requests to backend servers: queues of waiting requests, and attempts in progress.

use std::{collections, time};

use super::{
    admission, entry_order, fairness, outcome, placement, policy, remote_in_flight, request,
    response_times, retry_budget, send_shares, server, server_set, service_times, signal_book,
    signals,
};
use crate::{model, numbers};

/// Identifies a submitted request within the process.
pub type Ticket = u64;

/// Tolerance of cold backend servers in a deployment that sets none.
const DEFAULT_COLD_TOLERANCE: send_shares::ColdTolerance = send_shares::ColdTolerance {
    ratio: 1.5,
    slack: 5.0,
};

/// Time for which a limit holds that no host has seen confirmed.  A backend server with a limit
/// still gets requests, whose answers confirm or lift it.
const MAX_LIMIT_AGE: time::Duration = time::Duration::from_secs(60);

/// Time between checks of a backend server that has said that it leaves, but is still registered as
/// ready; most have ended by the first one.
const LEAVING_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Time between the checks of one whose entry the store had again after it left.
const DOUBT_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Time after which a client should retry that this host can't serve because other hosts use up the
/// rates of the backend servers.
const NO_SHARE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Service time that a request is granted at a stopping host, relative to the expected one without
/// its object in the server's cache.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// Decision on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this backend server.
    Send(server_set::ServerIndex, server::ServerEntry),
    /// Refuse it.
    Refuse {
        /// Reason reported to the client.
        reason: outcome::Reason,
        /// Time after which the client should retry: with [`outcome::Reason::Overload`] at least the
        /// expected wait for a slot, otherwise a fixed minimum.
        retry_after: time::Duration,
    },
}

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Number of retries allowed for each first attempt in the window.
    pub ratio: f64,
    /// Number of retries allowed in each window beside these, summed over all hosts.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
}

struct WaitingRequest {
    ticket: Ticket,
    req: request::Request,
    /// Expected service time in seconds at the best backend server; `None` before the first
    /// decision.
    service_seconds: Option<f64>,
}

struct Attempt {
    server: server_set::ServerIndex,
    /// Incarnation of the server that was chosen.
    incarnation: model::Incarnation,
    started: model::Time,
    req: request::Request,
}

/// Queues requests for backend servers and tracks the attempts in progress.
pub struct Dispatcher {
    /// Known backend servers.
    pub servers: server_set::ServerSet,
    /// Requests in progress from the other hosts of the data centre.
    pub remote_in_flight: remote_in_flight::RemoteInFlight,
    pub(super) times: service_times::ServiceTimeEstimates,
    pub(super) data_centre: model::DataCentreId,
    pub(super) regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    waiting: collections::BTreeMap<model::ServiceId, Vec<WaitingRequest>>,
    attempts: collections::HashMap<Ticket, Attempt>,
    budgets: collections::BTreeMap<model::ServiceId, retry_budget::RetryBudget>,
    fairness: collections::BTreeMap<model::ServiceId, fairness::Fairness>,
    pub(super) shares: send_shares::SendShares,
    limits: RetryLimits,
    pub(super) last_ticket: Ticket,
}

impl Dispatcher {
    /// Creates the dispatcher of a host in `data_centre`.
    pub fn new(
        data_centre: &str,
        regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
        limits: RetryLimits,
    ) -> Dispatcher {
        Dispatcher {
            servers: server_set::ServerSet::default(),
            remote_in_flight: remote_in_flight::RemoteInFlight::default(),
            times: service_times::ServiceTimeEstimates::default(),
            data_centre: data_centre.to_string(),
            regions,
            waiting: collections::BTreeMap::new(),
            attempts: collections::HashMap::new(),
            budgets: collections::BTreeMap::new(),
            fairness: collections::BTreeMap::new(),
            shares: send_shares::SendShares {
                data_centre: data_centre.to_string(),
                hosts: send_shares::KnownHosts::default(),
                cold_tolerance: DEFAULT_COLD_TOLERANCE,
                services: collections::BTreeMap::new(),
                limits: signal_book::SignalBook::default(),
                leaving: signal_book::SignalBook::default(),
            },
            limits,
            last_ticket: 0,
        }
    }

    /// Sets the interval at which backend servers renew their entries in the store.
    pub fn with_renewal_interval(mut self, interval: time::Duration) -> Dispatcher {
        self.servers = self.servers.with_renewal_interval(interval);
        self
    }

    /// Sets how much more than their rate cold backend servers tolerate.
    pub fn with_cold_tolerance(mut self, tolerance: send_shares::ColdTolerance) -> Dispatcher {
        self.shares.cold_tolerance = tolerance;
        self
    }

    /// Changes the bounds on retries; counts are kept.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        for budget in self.budgets.values_mut() {
            budget.set_bounds(limits.ratio, limits.slack, limits.window);
        }
    }

    /// Sets the hosts that share the rates of backend servers.
    pub fn set_hosts(&mut self, hosts: send_shares::KnownHosts) {
        self.shares.hosts = hosts;
    }

    /// Applies the services of a new configuration.
    pub fn set_services(
        &mut self,
        services: &collections::BTreeMap<model::ServiceId, policy::Service>,
    ) {
        self.shares.services = services.clone();
        let warmups = services
            .iter()
            .map(|(name, service)| (name.clone(), service.warmup));
        self.servers.set_warmups(warmups.collect());
    }

    /// Drops the state of routes that the configuration no longer has.
    pub fn retain_routes(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.fairness
            .values_mut()
            .for_each(|fairness| fairness.retain(|route| names.contains(route)));
    }

    /// Queues a request; [`Dispatcher::decide`] returns the decision on it.
    pub fn submit(&mut self, req: request::Request) -> Ticket {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if req.tried_servers.is_empty() {
            let fairness = self.fairness.entry(req.service.clone()).or_default();
            fairness.record_offered(&req.route.name, req.arrived);
        }
        let queue = self.waiting.entry(req.service.clone()).or_default();
        queue.push(WaitingRequest {
            ticket,
            req,
            service_seconds: None,
        });
        ticket
    }

    /// Decides on the waiting requests in the order of their priority and returns the requests that
    /// are to be sent or refused.
    pub fn decide(&mut self, now: model::Time) -> Vec<(Ticket, Decision)> {
        let services: Vec<model::ServiceId> = self.waiting.keys().cloned().collect();
        services
            .into_iter()
            .flat_map(|service| self.decide_service(&service, now))
            .collect()
    }

    /// Expected service time of a route's requests whose objects are cached.
    pub fn cached_service_time(&self, route: &policy::Route) -> time::Duration {
        numbers::saturating_duration(self.times.expected_seconds(route, true))
    }

    /// Time within which a request on this route is expected to be answered once it is sent, with a
    /// margin for slow backend servers.
    pub fn longest_service_time(&self, route: &policy::Route) -> time::Duration {
        let seconds = self.times.expected_seconds(route, false);
        numbers::saturating_duration(seconds * SERVICE_TIME_MARGIN)
    }

    /// Whether any request waits for a backend server.
    pub fn has_waiting(&self) -> bool {
        self.waiting.values().any(|queue| !queue.is_empty())
    }

    /// Whether any request waits for a backend server of a service.
    pub(super) fn has_waiting_for(&self, service: &str) -> bool {
        self.waiting
            .get(service)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Number of requests that wait for a backend server.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }

    /// Number of requests that this host has in progress at each backend server, by the hash of the
    /// server's name.
    pub fn in_flight_by_server(&self) -> Vec<(u64, u32)> {
        self.servers
            .iter()
            .filter(|(_, server)| server.in_flight() > 0)
            .map(|(_, server)| (server.name_hash, server.in_flight()))
            .collect()
    }

    /// Records the end of an attempt.  If [`outcome::Outcome::next_action`] returns
    /// [`outcome::NextAction::Retry`], the caller submits the request again.
    pub fn finish(&mut self, ticket: Ticket, outcome: outcome::Outcome, now: model::Time) {
        let Some(attempt) = self.attempts.remove(&ticket) else {
            return;
        };
        let warmup = self.servers.warmup(&attempt.req.service);
        let Some(server) = self.servers.get_mut(attempt.server) else {
            return;
        };
        let Some(finished) = server.record_finished(ticket, outcome, warmup, now) else {
            return;
        };
        if outcome == outcome::Outcome::Answered {
            let route = &attempt.req.route;
            response_times::record(&mut self.times, server, route, finished, now);
        }
    }

    /// Whether the backend server chosen for an attempt still accepts requests.  Between the choice
    /// and the sending lies the time to connect, in which it may leave or restart.
    pub fn may_still_send(&self, ticket: Ticket, now: model::Time) -> bool {
        let attempt = self.attempts.get(&ticket);
        attempt
            .and_then(|attempt| Some((attempt, self.servers.get(attempt.server)?)))
            .is_some_and(|(attempt, server)| {
                server.accepts_requests()
                    && !self.shares.is_leaving(server)
                    && server.pause_left(now) == time::Duration::ZERO
                    && server.entry.incarnation == attempt.incarnation
            })
    }

    /// Service of a request that is in progress.
    pub fn service_of(&self, ticket: Ticket) -> Option<&str> {
        Some(&self.attempts.get(&ticket)?.req.service)
    }

    /// Records what a backend server said of itself in the answer to an attempt.  Returns the server
    /// and what has changed, if anything has.
    pub fn record_signals(
        &mut self,
        ticket: Ticket,
        signals: signals::ServerSignals,
        now: model::Time,
    ) -> Option<(model::ServerId, signals::SignalChange)> {
        let attempt = self.attempts.get(&ticket)?;
        let server = self.servers.get_mut(attempt.server)?;
        if server.entry.incarnation != attempt.incarnation {
            return None;
        }
        if let Some(requests) = signals.load {
            server.record_report(requests, now);
        }
        if let Some(slowdown) = signals.slowdown {
            server.machine_pace.record(slowdown, now);
        }
        let (name, incarnation) = (server.name_hash, attempt.incarnation);
        let pause = signals.pause.is_some_and(|pause| server.pause(pause, now));
        let change = signals::SignalChange {
            limit: self.shares.limits.record_answer(
                name,
                incarnation,
                signals.limit,
                attempt.started,
                now,
            ),
            is_leaving: self.shares.leaving.record_answer(
                name,
                incarnation,
                signals.is_leaving.then_some(()),
                attempt.started,
                now,
            ),
            pause,
        };
        let has_changed = change != signals::SignalChange::default();
        has_changed.then(|| (server.entry.id.clone(), change))
    }

    /// Limits that backend servers have named.
    pub fn limits(&self) -> &signal_book::SignalBook<f64> {
        &self.shares.limits
    }

    /// Returns a mutable reference to the limits that backend servers have named.
    pub fn limits_mut(&mut self) -> &mut signal_book::SignalBook<f64> {
        &mut self.shares.limits
    }

    /// Total slots of the usable backend servers of a service, by data centre.  One with a limit
    /// counts with the slots that requests of this service time occupy at its limit.
    pub fn usable_slots(
        &self,
        service: &str,
        service_time: time::Duration,
        now: model::Time,
    ) -> collections::BTreeMap<model::DataCentreId, f64> {
        self.servers.slots(service, |server| {
            let slots = f64::from(server.entry.slots);
            let limit = self.shares.limit(server);
            let slots = limit.map_or(slots, |limit| slots.min(limit * service_time.as_secs_f64()));
            self.shares.is_usable(server, now).then_some(slots)
        })
    }

    /// Number of backend servers that may get requests.
    pub fn usable_count(&self, now: model::Time) -> usize {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| self.shares.is_usable(server, now))
            .count()
    }

    /// Backend servers that have said that they leave.
    pub fn leaving(&self) -> &signal_book::SignalBook<()> {
        &self.shares.leaving
    }

    /// Returns a mutable reference to the backend servers that have said that they leave.
    pub fn leaving_mut(&mut self) -> &mut signal_book::SignalBook<()> {
        &mut self.shares.leaving
    }

    /// What to tell other hosts of servers that leave: only what the store has not confirmed.
    pub fn leaving_news(&self, now: model::Time) -> Vec<signal_book::SignalNews<()>> {
        let mut news = self.shares.leaving.news(now);
        news.retain(|news| {
            let mut servers = self.servers.iter();
            servers.any(|(_, server)| server.name_hash == news.server && server.accepts_requests())
        });
        news
    }

    /// Backend servers that have long said that they leave, while the store calls them ready, and those
    /// that the store has called ready after they left for longer than it could without a renewal of
    /// their entries.  The server's own status tells whether the mark still holds; nothing else ends it.
    pub fn leaving_to_check(
        &self,
        now: model::Time,
    ) -> Vec<(server_set::ServerIndex, server::ServerEntry)> {
        let leaving = &self.shares.leaving;
        self.servers
            .iter()
            .filter(|(_, server)| server.accepts_requests())
            .filter(|(_, server)| {
                let said_at = leaving.said_at(server.name_hash, server.entry.incarnation);
                match server.doubted_since {
                    Some(since) => {
                        now >= since + self.servers.lapse_time()
                            && said_at.is_none_or(|at| now >= at + DOUBT_CHECK_INTERVAL)
                    }
                    None => said_at.is_some_and(|at| now >= at + LEAVING_CHECK_INTERVAL),
                }
            })
            .map(|(index, server)| (index, server.entry.clone()))
            .collect()
    }

    /// Records the status of a backend server that had said that it leaves; returns whether that
    /// has changed.
    pub fn record_check(
        &mut self,
        index: server_set::ServerIndex,
        entry: &server::ServerEntry,
        is_leaving: bool,
        now: model::Time,
    ) -> bool {
        let Some(server) = self.servers.get_mut(index) else {
            return false;
        };
        if !is_leaving && server.entry.incarnation == entry.incarnation {
            server.doubted_since = None;
        }
        let value = is_leaving.then_some(());
        self.shares
            .leaving
            .record(server.name_hash, entry.incarnation, value, now)
    }

    /// Handles the entry that the store has of a backend server.  One that says that a server is ready
    /// which was seen to leave may be an older write: the server gets no request until its own status
    /// tells that it stays, and other hosts hear that it leaves.
    pub fn register(
        &mut self,
        entry: server::ServerEntry,
        now: model::Time,
    ) -> entry_order::EntryOrder {
        let id = entry.id.clone();
        let order = self.servers.upsert(entry, now);
        self.mark_if_departed(&id, order, now);
        order
    }

    /// Handles all entries that the store has, as [`Dispatcher::register`] does.
    pub fn replace(
        &mut self,
        entries: Vec<server::ServerEntry>,
        now: model::Time,
    ) -> server_set::Replacement {
        let replacement = self.servers.replace(entries, now);
        for (id, order) in &replacement.disordered {
            self.mark_if_departed(id, *order, now);
        }
        replacement
    }

    /// The same for a store that has come back from an older copy.
    pub fn replace_restored(
        &mut self,
        entries: Vec<server::ServerEntry>,
        now: model::Time,
    ) -> server_set::Replacement {
        self.servers.set_restored(now);
        self.replace(entries, now)
    }

    fn mark_if_departed(&mut self, id: &str, order: entry_order::EntryOrder, now: model::Time) {
        if order != entry_order::EntryOrder::AfterDeparture {
            return;
        }
        if let Some(entry) = self.servers.entry(id) {
            let (name, incarnation) = (server::name_hash(id), entry.incarnation);
            let leaving = &mut self.shares.leaving;
            leaving.record(name, incarnation, Some(()), now);
        }
    }

    /// Drops signals that have ended.
    pub fn expire_signals(&mut self, now: model::Time) {
        self.shares.limits.expire(MAX_LIMIT_AGE, now);
        let known: collections::HashSet<(u64, model::Incarnation)> = self
            .servers
            .iter()
            .map(|(_, server)| (server.name_hash, server.entry.incarnation))
            .collect();
        let leaving = &mut self.shares.leaving;
        leaving.retain(|server, incarnation| known.contains(&(server, incarnation)));
    }

    /// Cancels a request that waits or is in progress.
    pub fn abandon(&mut self, ticket: Ticket, now: model::Time) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.ticket != ticket);
        }
        self.finish(ticket, outcome::Outcome::Cancelled, now);
    }

    /// If the retry budget of the service allows a retry, counts it and returns true.  `host_count` is
    /// the number of hosts in all data centres.
    pub fn try_retry(&mut self, service: &str, host_count: usize, now: model::Time) -> bool {
        self.budget(service).try_retry(host_count, now)
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, service: &str, now: model::Time) {
        self.budget(service).record_first_attempt(now);
    }

    fn budget(&mut self, service: &str) -> &mut retry_budget::RetryBudget {
        let limits = self.limits;
        self.budgets.entry(service.to_string()).or_insert_with(|| {
            retry_budget::RetryBudget::new(limits.ratio, limits.slack, limits.window)
        })
    }

    fn decide_service(&mut self, service: &str, now: model::Time) -> Vec<(Ticket, Decision)> {
        let Some(mut queue) = self.waiting.remove(service) else {
            return Vec::new();
        };
        queue.sort_by_cached_key(|waiting| self.priority(waiting, now));
        let mut queued_ahead = collections::HashMap::new();
        let mut decisions = Vec::new();
        let mut still_waiting: Vec<WaitingRequest> = Vec::new();
        let mut late_count = 0;
        for mut waiting in queue {
            let cx = placement::PlacementContext {
                servers: &self.servers,
                times: &self.times,
                data_centre: &self.data_centre,
                regions: &self.regions,
                shares: &self.shares,
                remote_in_flight: &self.remote_in_flight,
                queued_ahead: &queued_ahead,
            };
            let choice = placement::choose(&cx, &waiting.req, now);
            if choice.is_none() && placement::is_without_share(&cx, &waiting.req, now) {
                decisions.push((
                    waiting.ticket,
                    Decision::Refuse {
                        reason: outcome::Reason::Overload,
                        retry_after: NO_SHARE_RETRY_AFTER,
                    },
                ));
                continue;
            }
            let is_new = waiting.service_seconds.is_none();
            waiting.service_seconds = choice.map(|choice| choice.service_seconds);
            let priority = self.priority(&waiting, now);
            let queue_state = admission::QueueState {
                is_new,
                is_starved: !priority.is_not_starved,
                is_late: priority.is_late,
                late_ahead: late_count,
            };
            match admission::decide(&waiting.req, choice, queue_state, now) {
                admission::AdmissionDecision::Wait(server) => {
                    late_count += u32::from(queue_state.is_late);
                    *queued_ahead.entry(server).or_insert(0) += 1;
                    still_waiting.push(waiting);
                }
                admission::AdmissionDecision::Refuse(reason, retry_after) => {
                    let retry_after = match choice.is_some_and(|choice| choice.is_paused) {
                        true => admission::order_of_return(
                            retry_after,
                            waiting.req.rank(),
                            waiting.ticket,
                        ),
                        false => retry_after,
                    };
                    decisions.push((
                        waiting.ticket,
                        Decision::Refuse {
                            reason,
                            retry_after,
                        },
                    ));
                }
                admission::AdmissionDecision::Send(choice) => {
                    if let Some(entry) =
                        self.start_attempt(waiting.ticket, waiting.req, choice, now)
                    {
                        decisions.push((waiting.ticket, Decision::Send(choice.server, entry)));
                    }
                }
            }
        }
        if !still_waiting.is_empty() {
            self.waiting.insert(service.to_string(), still_waiting);
        }
        decisions
    }

    /// Priority of a waiting request: starved routes first, then requests that can still meet their
    /// objective, then by rank, then client retries, then by arrival.
    fn priority(&self, waiting: &WaitingRequest, now: model::Time) -> admission::Priority {
        let req = &waiting.req;
        let service_seconds = waiting
            .service_seconds
            .unwrap_or_else(|| self.times.expected_seconds(&req.route, true));
        let completion = now + numbers::saturating_duration(service_seconds);
        admission::Priority {
            is_not_starved: !self.is_starved(req),
            is_late: completion > req.objective(),
            rank: req.rank(),
            is_first_request: !req.is_client_retry,
            arrived: req.arrived,
        }
    }

    fn is_starved(&self, req: &request::Request) -> bool {
        self.fairness
            .get(&req.service)
            .is_some_and(|fairness| fairness.is_starved(&req.route.name))
    }

    pub(super) fn start_attempt(
        &mut self,
        ticket: Ticket,
        req: request::Request,
        choice: placement::Choice,
        now: model::Time,
    ) -> Option<server::ServerEntry> {
        let server = self.servers.get_mut(choice.server)?;
        if req.tried_servers.is_empty()
            && let Some(fairness) = self.fairness.get_mut(&req.service)
        {
            fairness.record_admitted(&req.route.name);
        }
        server.record_sent(ticket, req.object_hash, choice.service_seconds, now);
        let entry = server.entry.clone();
        let attempt = Attempt {
            server: choice.server,
            incarnation: entry.incarnation,
            started: now,
            req,
        };
        self.attempts.insert(ticket, attempt);
        Some(entry)
    }
}
