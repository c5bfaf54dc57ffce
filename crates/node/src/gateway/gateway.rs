//! State of the gateway and its changes.

use std::{collections, net, sync, time};

use tokio::sync::oneshot;
use yuccatide_steering::{gateway as decisions, matching, model};

use super::{access, arrivals, connections, header_names, lines, metrics, update};
use crate::clock;

/// Time between decisions on requests that wait without an event.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Time between two sweeps of idle connections.
const SWEEP: time::Duration = time::Duration::from_millis(500);

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The own host.
    pub member: decisions::Member,
    /// Region of each data centre.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// Bounds on repeated sendings.
    pub retry: decisions::RetryLimits,
    /// Part of a region's callers that may move to another region within two seconds.
    pub max_shift: f64,
}

/// The HTTP gateway of a host.
pub struct Gateway {
    pub(super) header_names: header_names::HeaderNames,
    pub(super) clock: clock::Clock,
    pub(super) connections: connections::Connections,
    lines: lines::Lines,
    /// Access to the platform's store.
    pub access: access::Access,
    /// Counters, histograms and gauges.
    pub metrics: metrics::Metrics,
    own: model::DataCentreId,
    settings: Settings,
    state: sync::Mutex<State>,
}

struct State {
    table: decisions::RouteTable,
    splits: decisions::TrafficSplitter,
    pool: decisions::Dispatcher,
    members: decisions::Members,
    directory: decisions::LookupBalancer,
    arrivals: arrivals::Arrivals,
    returns: decisions::ClientRetryDetector,
    matching: matching::PendingAttempts,
    replies: collections::HashMap<decisions::Ticket, oneshot::Sender<decisions::Decision>>,
    is_stopping: bool,
}

impl Gateway {
    /// A gateway that knows neither configuration nor backend servers.
    pub fn new(settings: Settings, header_names: header_names::HeaderNames) -> Gateway {
        let own = settings.member.data_centre.clone();
        let state = State {
            table: decisions::RouteTable::default(),
            splits: decisions::TrafficSplitter::default(),
            pool: decisions::Dispatcher::new(&own, settings.regions.clone(), settings.retry),
            members: decisions::Members::new(settings.member.clone()),
            directory: decisions::LookupBalancer::new(settings.max_shift),
            arrivals: arrivals::Arrivals::default(),
            returns: decisions::ClientRetryDetector::default(),
            matching: matching::PendingAttempts::new(),
            replies: collections::HashMap::new(),
            is_stopping: false,
        };
        Gateway {
            header_names,
            clock: clock::Clock::new(),
            connections: connections::Connections::default(),
            lines: lines::Lines::default(),
            access: access::Access::default(),
            metrics: metrics::Metrics::new(),
            own,
            settings,
            state: sync::Mutex::new(state),
        }
    }

    /// Takes changed settings; those that name the host itself hold from its next start.
    pub fn reload(&self, settings: Settings) {
        let mut state = self.lock();
        state.pool.set_limits(settings.retry);
        state.directory.set_max_shift(settings.max_shift);
    }

    /// Takes news from the platform.
    pub fn apply(&self, update: update::Update) {
        let now = self.clock.now();
        let mut state = self.lock();
        match update {
            update::Update::Policy(policy) => state.apply_policy(policy),
            update::Update::Servers(entries) => state.pool.servers.replace(entries, now),
            update::Update::Server(entry) => {
                log::info!(
                    server = entry.id, service = entry.service,
                    state:? = entry.state, warmup_ms = entry.warmup_left.as_millis() as u64;
                    "a backend server registered or changed"
                );
                state.pool.servers.upsert(entry, now);
            }
            update::Update::ServerGone(id) => {
                log::info!(server = id; "the entry of a backend server is gone");
                state.pool.servers.remove(&id, now);
            }
            update::Update::Evacuated(data_centres) => {
                if *state.pool.servers.evacuated() != data_centres {
                    log::info!(data_centres:?; "evacuated data centres changed");
                }
                state.pool.servers.set_evacuated(data_centres, now);
            }
            update::Update::Members(members) => {
                members
                    .into_iter()
                    .for_each(|member| state.members.upsert(member));
            }
            update::Update::StoreAnswers(answers) => {
                if state.pool.servers.set_store_available(answers, now) {
                    log::info!(answers; "the store was lost or is back");
                }
            }
        }
        self.decide(&mut state, now);
    }

    /// Works on what is due, for ever.
    pub async fn run(&self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut rolled = time::Instant::now();
        let mut swept = time::Instant::now();
        loop {
            tick.tick().await;
            let now = self.clock.now();
            let mut state = self.lock();
            state.pool.servers.remove_missing(now);
            if rolled.elapsed() >= arrivals::INTERVAL {
                rolled = time::Instant::now();
                state.arrivals.roll();
                state.step(&self.settings, now);
                self.measure(&state, now);
            }
            if state.pool.has_waiting() {
                self.decide(&mut state, now);
            }
            if swept.elapsed() >= SWEEP {
                swept = time::Instant::now();
                let is_known = |index| state.pool.servers.get(index).is_some();
                self.connections.sweep(is_known);
            }
        }
    }

    /// Whether the host takes requests: it knows a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.version().is_some() && !state.is_stopping
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Begins a planned stop: the host leaves the look-ups.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }

    /// Addresses of the hosts that a caller should use for a name.
    pub fn resolve(&self, name: &str, client: &decisions::Client) -> Vec<net::SocketAddr> {
        let now = self.clock.now();
        self.metrics.lookup();
        let mut state = self.lock();
        state.arrivals.locate(client.address, &client.data_centre);
        let own_ready = state.table.version().is_some() && !state.is_stopping;
        state
            .directory
            .rank_data_centres(name, client)
            .into_iter()
            .chain([self.own.clone()])
            .chain(self.settings.regions.keys().cloned())
            .map(|data_centre| state.members.ready_members(&data_centre, own_ready, now))
            .find(|members| !members.is_empty())
            .map(|members| members.into_iter().map(|member| member.callers).collect())
            .unwrap_or_default()
    }

    /// Messages to other hosts that are due.
    pub fn messages(&self, sums_up: bool) -> Vec<(net::SocketAddr, decisions::Message)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let in_flight = state.pool.in_flight_by_server();
        let beat = decisions::Heartbeat {
            member: self.settings.member.clone(),
            is_ready: state.table.version().is_some() && !state.is_stopping,
            in_flight,
            loads: state.arrivals.loads(),
            blocks: if sums_up {
                state.arrivals.blocks()
            } else {
                Vec::new()
            },
            shares: if sums_up {
                state.directory.settled_shares(now)
            } else {
                Vec::new()
            },
            newest: self.access.newest(),
        };
        let mut messages = state.members.heartbeats(&beat);
        if sums_up {
            messages.extend(state.members.summaries(&beat, now));
        }
        messages
    }

    /// Takes a message of another host; returns those to pass on.
    pub fn receive(
        &self,
        message: decisions::Message,
    ) -> Vec<(net::SocketAddr, decisions::Message)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let (blocks, shares, newest) = match &message {
            decisions::Message::Heartbeat(beat) => (&beat.blocks, &beat.shares, &beat.newest),
            decisions::Message::Summary { summary, .. } => {
                (&summary.blocks, &summary.shares, &summary.newest)
            }
        };
        for (kind, revision) in newest {
            self.access.learn(kind, *revision);
        }
        state
            .directory
            .adopt_shares(shares, &self.settings.regions, now);
        for (block, data_centre) in blocks {
            state.arrivals.learn(*block, data_centre);
        }
        let passed_on = state.members.receive(message, now);
        state.take_told(now);
        if state.pool.has_waiting() {
            self.decide(&mut state, now);
        }
        passed_on
    }

    /// Route of a request.
    pub(super) fn find(&self, host: &str, path: &str) -> decisions::RouteMatch {
        self.lock().table.find(host, path)
    }

    /// Bounds on what a client may send.
    pub(super) fn limits(&self) -> decisions::ClientLimits {
        self.lock().table.limits()
    }

    /// Picks the service of a new request, which has `asked` left, and counts it; tells also
    /// whether the client seems to have come back after a refusal.
    pub(super) fn arrive(
        &self,
        route: &decisions::Route,
        caller: net::IpAddr,
        asked: time::Duration,
    ) -> (model::ServiceId, bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let service = state.splits.next_service(route);
        let work = state.pool.warm_service_time(route);
        state
            .arrivals
            .count(&service, route, work, caller, &self.own);
        state.pool.record_first_attempt(&service, now);
        let is_client_retry = state.returns.is_client_retry(route, asked);
        (service, is_client_retry)
    }

    /// Lets a request wait for a backend server.
    pub(super) fn submit(
        &self,
        req: decisions::Request,
    ) -> (decisions::Ticket, oneshot::Receiver<decisions::Decision>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state.pool.submit(req);
        state.replies.insert(ticket, tx);
        self.decide(&mut state, now);
        (ticket, rx)
    }

    /// Takes the end of a sending, with the load that the backend server reported.
    pub(super) fn finish(
        &self,
        ticket: decisions::Ticket,
        outcome: decisions::Outcome,
        load: Option<header_names::ServerLoad>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(service) = state.pool.service_of(ticket) {
            self.metrics.sending(service, outcome);
        }
        if let Some(load) = load {
            state
                .pool
                .record_server_load(ticket, load.running + load.waiting, now);
        }
        state.pool.finish(ticket, outcome, now);
        self.decide(&mut state, now);
    }

    /// Takes that a request is given up.
    pub(super) fn abandon(&self, ticket: decisions::Ticket) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.replies.remove(&ticket);
        state.pool.abandon(ticket, now);
        self.decide(&mut state, now);
    }

    /// Takes one repeated sending where the retry budget covers it.
    pub(super) fn repeat(&self, service: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let hosts = state.members.known_host_count();
        state.pool.try_retry(service, hosts, now)
    }

    /// Whether a log line of a kind is written, with the number of lines left out before it.
    pub(super) fn admit_line(&self, kind: &'static str) -> Option<u64> {
        let admitted = self.lines.admit(kind, self.clock.now());
        if admitted.is_none() {
            self.metrics.omitted_lines.inc();
        }
        admitted
    }

    /// Matches answers to sendings.
    pub(super) fn matching<T>(&self, f: impl FnOnce(&mut matching::PendingAttempts) -> T) -> T {
        f(&mut self.lock().matching)
    }

    fn decide(&self, state: &mut State, now: model::Time) {
        if !state.pool.has_waiting() {
            return;
        }
        let senders = state.members.live_host_count(now);
        state.pool.set_host_count(state.members.known_host_count());
        for (ticket, decision) in state.pool.decide(senders, now) {
            if let Some(tx) = state.replies.remove(&ticket)
                && tx.send(decision).is_err()
            {
                // The client went away; its request gives up the slot.
                state.pool.abandon(ticket, now);
            }
        }
    }

    fn measure(&self, state: &State, now: model::Time) {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let fleet = &state.pool.servers;
        let usable = fleet
            .iter()
            .filter(|(_, server)| server.is_usable(now))
            .count();
        let version = state.table.version().unwrap_or(0);
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.metrics.waiting.set(count(state.pool.waiting_count()));
        self.metrics
            .hosts
            .set(count(state.members.live_host_count(now)));
        self.metrics.servers.set(count(fleet.len()));
        self.metrics.usable_servers.set(count(usable));
        self.metrics
            .store_answers
            .set(i64::from(fleet.is_store_available()));
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn apply_policy(&mut self, policy: decisions::Policy) {
        let version = policy.version;
        if !self.table.apply(policy) {
            log::debug!(version; "an older configuration was left out");
            return;
        }
        if let Some(policy) = self.table.policy() {
            self.splits.retain(policy);
            self.returns.retain(policy);
            self.pool.set_services(&policy.services);
            self.pool.retain_routes(policy);
        }
        log::info!(version; "a configuration is in force");
    }

    /// Moves the shares of all names.
    fn step(&mut self, settings: &Settings, now: model::Time) {
        for name in self.table.host_names() {
            let spread = self.spread(&name, settings, now);
            self.directory.update_shares(&name, &spread, now);
        }
    }

    /// Takes what the other hosts of the data centre have in progress.
    fn take_told(&mut self, now: model::Time) {
        let mut told: collections::HashMap<u64, u32> = collections::HashMap::new();
        for (server, count) in self
            .members
            .live_heartbeats(now)
            .flat_map(|beat| &beat.in_flight)
        {
            *told.entry(*server).or_default() += count;
        }
        self.pool.servers.set_remote_in_flight(&told);
    }

    /// Room and demand for the services of a name.
    fn spread(
        &self,
        name: &str,
        settings: &Settings,
        now: model::Time,
    ) -> decisions::CapacityAndDemand {
        let routes = self.table.routes(name);
        let services: collections::BTreeSet<model::ServiceId> = routes
            .iter()
            .flat_map(|route| &route.weighted_services)
            .map(|part| part.service.clone())
            .collect();
        let capacity: collections::BTreeMap<_, _> = services
            .iter()
            .map(|service| {
                (
                    service.clone(),
                    self.pool.servers.usable_slots(service, now),
                )
            })
            .collect();
        let own = self.arrivals.loads();
        let near = self
            .members
            .live_heartbeats(now)
            .flat_map(|beat| &beat.loads);
        let far = self
            .members
            .live_summaries(now)
            .flat_map(|summary| &summary.loads);
        let loads = own.iter().chain(near).chain(far);
        let loads = loads
            .filter(|load| services.contains(&load.service))
            .cloned()
            .collect();
        decisions::CapacityAndDemand {
            capacity,
            loads,
            regions: settings.regions.clone(),
        }
    }
}
