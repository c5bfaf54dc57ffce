//! Shared state of the gateway and the operations on it.

use std::{collections, net, sync, time};

use futures::{StreamExt, stream};
use tokio::sync::oneshot;
use tokio_util::sync as tokio_sync;
use yuccatide_steering::{customers, gateway as decisions, hedging, matching, model};

use super::{
    broken_answers, connection_pool, demand, header_names, log_limit, memory, metrics, quota,
    report, settings, state, status_check, store_state, update,
};
use crate::{clock, tasks};

/// Time between decisions on waiting requests if no event triggers one earlier.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time between updates of the hosts that share the rates of backend servers.
const HOSTS_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time between looks for backend servers whose status is to be checked.
const STATUS_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Largest number of status checks at a time.
const MAX_STATUS_CHECKS: usize = 16;

/// Time between evictions of unusable idle connections.
const EVICTION_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after the first start of a deployment in which its hosts find each other.  All start at
/// once, and no client is served before.
const FIRST_START_TIME: time::Duration = time::Duration::from_millis(1500);

/// Longest time in which a restarted host waits for the other hosts of its data centre.
const RESTART_TIME: time::Duration = time::Duration::from_millis(300);

/// The HTTP gateway of a host.
pub struct Gateway {
    pub(super) header_names: header_names::HeaderNames,
    pub(super) clock: clock::Clock,
    pub(super) connection_pool: connection_pool::ConnectionPool,
    pub(super) broken_answers: sync::Arc<broken_answers::BrokenAnswers>,
    pub(super) log_limiter: log_limit::LogLimiter,
    /// Memory for what clients send and for answers that they have not read.
    pub(super) memory: sync::Arc<memory::MemoryBudget>,
    pub(super) quotas: quota::Quotas,
    /// Open connections of clients.
    pub(super) clients: sync::Arc<memory::ClientConnections>,
    /// Availability and newest known revisions of the platform's store.
    pub store_state: store_state::StoreState,
    /// Counters, histograms and gauges.
    pub metrics: metrics::Metrics,
    /// Long-lived tasks of the host.
    pub tasks: tasks::Tasks,
    pub(super) own_data_centre: model::DataCentreId,
    pub(super) settings: settings::Settings,
    pub(super) started: model::Time,
    grace_end: tokio_sync::CancellationToken,
    state: sync::Mutex<state::State>,
}

/// A decision on a request, and when it was made.
pub(super) struct TimedDecision {
    pub(super) decision: decisions::Decision,
    pub(super) at: model::Time,
}

impl Gateway {
    /// Creates a gateway that has neither a configuration nor backend servers.
    pub fn new(settings: settings::Settings, header_names: header_names::HeaderNames) -> Gateway {
        let own_data_centre = settings.member.data_centre.clone();
        let mut state = state::State {
            route_table: decisions::RouteTable::default(),
            traffic_splitter: decisions::TrafficSplitter::default(),
            dispatcher: decisions::Dispatcher::new(
                &own_data_centre,
                settings.regions.clone(),
                settings.retry,
            )
            .with_renewal_interval(settings.renewal_interval)
            .with_cold_tolerance(settings.cold_tolerance),
            hedger: hedging::Hedger::new(settings.extra_work),
            members: decisions::Members::new(settings.member.clone())
                .with_seeds(settings.seeds.clone()),
            crash_book: decisions::CrashBook::default(),
            evacuations: decisions::Evacuations::default(),
            lookup_balancer: decisions::LookupBalancer::new(settings.max_shift),
            demand: demand::DemandEstimator::default(),
            client_retries: decisions::ClientRetryDetector::default(),
            pending_attempts: matching::PendingAttempts::new(),
            decision_senders: collections::HashMap::new(),
            stops_at: None,
        };
        // Until it knows the other hosts, it must not use a whole rate alone.
        state
            .dispatcher
            .set_hosts(decisions::KnownHosts::undiscovered());
        let clock = clock::Clock::new();
        let metrics = metrics::Metrics::new();
        Gateway {
            header_names,
            started: clock.now(),
            clock,
            connection_pool: connection_pool::ConnectionPool::default(),
            broken_answers: sync::Arc::default(),
            log_limiter: log_limit::LogLimiter::default(),
            memory: sync::Arc::new(memory::MemoryBudget::new(settings.client_memory)),
            quotas: quota::Quotas::new(settings.quota_bounds),
            clients: sync::Arc::new(memory::ClientConnections::new(
                settings.client_connections,
                clock,
            )),
            store_state: store_state::StoreState::default(),
            tasks: tasks::Tasks::new(metrics.task_end_counter()),
            metrics,
            own_data_centre,
            settings,
            grace_end: tokio_sync::CancellationToken::new(),
            state: sync::Mutex::new(state),
        }
    }

    /// Applies changed bounds on retries and shifts; changes of
    /// other settings take effect when the process is restarted.
    pub fn reload(&self, settings: settings::Settings) {
        let mut state = self.lock();
        state.dispatcher.set_limits(settings.retry);
        state.lookup_balancer.set_max_shift(settings.max_shift);
    }

    /// Applies an update from the platform.
    pub fn apply_update(&self, update: update::Update) {
        let now = self.clock.now();
        let mut state = self.lock();
        // One of hundreds, mostly; the periodic decision follows.
        let is_single_server = matches!(
            update,
            update::Update::Server(_)
                | update::Update::ServerRemoved(_)
                | update::Update::ServerUnreadable(_)
        );
        match update {
            update::Update::Policy(policy) => {
                state.apply_policy(policy);
                self.quotas.apply_policy(state.route_table.policy(), now);
            }
            update::Update::Servers(entries) => {
                report::replacement(&state.dispatcher.replace(entries, now));
            }
            update::Update::RestoredServers(entries) => {
                report::replacement(&state.dispatcher.replace_restored(entries, now));
            }
            update::Update::Server(entry) => {
                log::info!(
                    server = entry.id, service = entry.service, state:? = entry.state,
                    incarnation = entry.incarnation, sequence = entry.sequence,
                    warmup_ms = entry.warmup_left.as_millis() as u64;
                    "backend server registered or changed"
                );
                let id = entry.id.clone();
                let order = state.dispatcher.register(entry, now);
                report::entry_order(&id, order);
            }
            update::Update::ServerRemoved(id) => {
                let removal = state.dispatcher.servers.remove(&id, now);
                report::removal(&id, removal);
            }
            update::Update::ServerUnreadable(id) => {
                let removal = state.dispatcher.servers.remove_unreadable(&id, now);
                report::removal(&id, removal);
            }
            update::Update::Evacuations(data_centres) => {
                state.evacuations.replace(data_centres);
            }
            update::Update::RestoredEvacuations(data_centres) => {
                state.evacuations.replace_restored(data_centres, now);
            }
            update::Update::Evacuation {
                data_centre,
                is_evacuated,
            } => state.evacuations.set(data_centre, is_evacuated),
            update::Update::Members(members) => {
                members
                    .into_iter()
                    .for_each(|member| state.members.upsert_registered(member, now));
            }
            update::Update::StoreAvailable(answers) => {
                if state.dispatcher.servers.set_store_available(answers, now) {
                    log::info!(answers; "store availability changed");
                }
            }
        }
        if is_single_server {
            return;
        }
        state.apply_evacuations(now);
        self.decide(&mut state, now);
    }

    /// Runs the periodic work of the gateway. Never returns.
    pub async fn run_periodic_tasks(&self) {
        let mut tick = tokio::time::interval(DECISION_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_sample = time::Instant::now();
        let mut last_hosts_update = time::Instant::now();
        let mut last_eviction = time::Instant::now();
        loop {
            tick.tick().await;
            let now = self.clock.now();
            let has_found_hosts = self.has_found_hosts();
            let mut state = self.lock();
            for (id, missing) in state.dispatcher.servers.remove_missing(now) {
                report::not_registered_again(&id, missing);
            }
            for id in state.dispatcher.servers.apply_lasting(now) {
                report::lasting_entry(&id);
            }
            for (index, incarnation) in self.broken_answers.take() {
                let servers = &mut state.dispatcher.servers;
                if let Some(id) = servers.record_broken_answer(index, incarnation) {
                    self.metrics.broken_answers.inc();
                    report::broken_answer(self, &id);
                }
            }
            state.apply_evacuations(now);
            state.drop_dead_in_flight(now);
            if has_found_hosts && last_hosts_update.elapsed() >= HOSTS_UPDATE_INTERVAL {
                last_hosts_update = time::Instant::now();
                let hosts = state.members.live_hosts(now);
                state.dispatcher.set_hosts(hosts);
                let regions = &self.settings.regions;
                self.quotas.update_hosts(&state, regions, self.started, now);
                self.store_state
                    .set_verifier_rank(state.members.verifier_rank(now));
            }
            if last_sample.elapsed() >= demand::SAMPLE_INTERVAL {
                last_sample = time::Instant::now();
                state.demand.end_interval();
                state.dispatcher.expire_signals(now);
                state.crash_book.expire(now);
                state.update_shares(&self.settings, now);
                report::update_gauges(&self.metrics, &state, &self.store_state, now);
                report::quota_parts(&self.metrics, &state, &self.quotas);
                report::update_client_gauges(self);
                self.clients.free_servers();
            }
            self.quotas.poll(now);
            if state.dispatcher.has_waiting() {
                self.decide(&mut state, now);
            }
            if last_eviction.elapsed() >= EVICTION_INTERVAL {
                last_eviction = time::Instant::now();
                let is_known = |index| state.dispatcher.servers.get(index).is_some();
                self.connection_pool.evict_unusable(is_known);
            }
        }
    }

    /// Checks the status of backend servers that have long said that they leave. Never returns.
    pub async fn run_status_checks(&self) {
        loop {
            tokio::time::sleep(STATUS_CHECK_INTERVAL).await;
            let due = self.lock().dispatcher.leaving_to_check(self.clock.now());
            // One that does not answer must not keep others waiting.
            stream::iter(due)
                .for_each_concurrent(MAX_STATUS_CHECKS, |(index, entry)| async move {
                    self.check_status(index, &entry).await;
                })
                .await;
        }
    }

    async fn check_status(&self, index: decisions::ServerIndex, entry: &decisions::ServerEntry) {
        let path = self.lock().health_check(&entry.service);
        let status = status_check::check(&self.header_names, entry, &path).await;
        let is_leaving = !matches!(status, Ok(true));
        let now = self.clock.now();
        let mut state = self.lock();
        if state.dispatcher.record_check(index, entry, is_leaving, now) {
            report::leaving_change(&entry.id, is_leaving, time::Duration::ZERO, "status");
        }
    }

    /// Whether look-ups should return this host: it takes requests, and all its tasks run.
    pub fn is_ready(&self) -> bool {
        self.is_ready_in(&self.lock())
    }

    /// The same, for one that has locked the state.
    pub(super) fn is_ready_in(&self, state: &state::State) -> bool {
        state.takes_requests() && self.tasks.are_running()
    }

    /// Start of the process.
    pub fn incarnation(&self) -> model::Incarnation {
        self.clock.incarnation()
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.lock().stops_at.is_some()
    }

    /// Begins a planned stop: look-ups no longer return this host, but for `grace` it still serves
    /// requests that it can answer in this time.
    pub fn begin_stop(&self, grace: time::Duration) {
        self.lock().stops_at = Some(self.clock.now() + grace);
    }

    /// Ends the grace period of a planned stop: requests in progress are answered at once.
    pub fn end_grace(&self) {
        self.grace_end.cancel();
    }

    /// Waits until the grace period of a planned stop is over.
    pub(super) async fn wait_for_grace_end(&self) {
        self.grace_end.cancelled().await;
    }

    /// Whether a request that is sent now can be answered before a planned stop ends.
    pub(super) fn can_answer_before_stop(&self, req: &decisions::Request) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.stops_at.is_none_or(|end| {
            let expected = now + state.dispatcher.longest_service_time(&req.route);
            req.deadline.min(expected) <= end
        })
    }

    /// Addresses of the hosts that a caller should use for a name.
    pub fn resolve(&self, name: &str, client: &decisions::Client) -> Vec<net::SocketAddr> {
        let now = self.clock.now();
        self.metrics.record_lookup();
        let mut state = self.lock();
        state
            .demand
            .record_client(client.address, &client.data_centre);
        let is_self_ready = self.is_ready_in(&state);
        // A host without all its tasks is better than none.
        let own = self.settings.member.callers;
        let last_choice = state.takes_requests().then_some(own);
        state
            .lookup_balancer
            .rank_data_centres(name, client)
            .into_iter()
            .chain([self.own_data_centre.clone()])
            .chain(self.settings.regions.keys().cloned())
            .map(|data_centre| {
                state
                    .members
                    .ready_members(&data_centre, is_self_ready, now)
            })
            .find(|members| !members.is_empty())
            .map(|members| members.into_iter().map(|member| member.callers).collect())
            .unwrap_or_else(|| last_choice.into_iter().collect())
    }

    /// The configuration in force.
    pub fn policy(&self) -> Option<decisions::Policy> {
        self.lock().route_table.policy().cloned()
    }

    /// Whether the host has had time to find the others of its data centre since its start.
    pub fn has_found_hosts(&self) -> bool {
        let now = self.clock.now();
        let age = now.saturating_sub(self.started);
        match self.settings.is_first_start {
            true => age >= FIRST_START_TIME,
            false => age >= RESTART_TIME || self.lock().members.is_introduced(now),
        }
    }

    /// Whether the deployment has just started for the first time, so that the hosts which read
    /// the store may still be listing it.
    pub fn is_first_start(&self) -> bool {
        let age = self.clock.now().saturating_sub(self.started);
        self.settings.is_first_start && age < 2 * FIRST_START_TIME
    }

    /// Route of a request, by HTTP host name and path, and the customers of the same version, if it
    /// has any.
    pub(super) fn find_route(
        &self,
        host_name: &str,
        path: &str,
    ) -> (
        decisions::RouteMatch,
        Option<sync::Arc<customers::CustomerTable>>,
    ) {
        let table = &self.lock().route_table;
        (table.find(host_name, path), table.customers().cloned())
    }

    /// Bounds on the requests of clients.
    pub(super) fn client_limits(&self) -> decisions::ClientLimits {
        self.lock().route_table.limits()
    }

    /// Chooses the service of a new request and records the request in the demand. Also returns
    /// whether the client seems to retry after a refusal.
    pub(super) fn assign_service(
        &self,
        route: &decisions::Route,
        customer: Option<&customers::Customer>,
        caller: net::IpAddr,
        requested_timeout: time::Duration,
    ) -> (model::ServiceId, bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let service = state.traffic_splitter.next_service(route);
        let work = state.dispatcher.cached_service_time(route);
        // What no region may serve is no demand for any.
        if let Some(regions) = route.regions_for(customer) {
            state
                .demand
                .record_request(&service, regions, work, caller, &self.own_data_centre);
        }
        state.dispatcher.record_first_attempt(&service, now);
        let is_client_retry = state
            .client_retries
            .is_client_retry(route, requested_timeout);
        (service, is_client_retry)
    }

    /// Queues a request for a backend server; the decision arrives on the returned channel.
    pub(super) fn submit(
        &self,
        req: decisions::Request,
    ) -> (decisions::Ticket, oneshot::Receiver<TimedDecision>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state.dispatcher.submit(req);
        state.decision_senders.insert(ticket, tx);
        self.decide(&mut state, now);
        (ticket, rx)
    }

    /// Records the end of an attempt and what the backend server said of itself.
    pub(super) fn finish_attempt(
        &self,
        ticket: decisions::Ticket,
        outcome: decisions::Outcome,
        signals: Option<decisions::ServerSignals>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(service) = state.dispatcher.service_of(ticket) {
            self.metrics.record_attempt(service, outcome);
        }
        report::unreadable_signals(self, &state, ticket, signals);
        if let Some(signals) = signals
            && let Some((server, change)) = state.dispatcher.record_signals(ticket, signals, now)
        {
            let age = time::Duration::ZERO;
            if change.limit {
                report::limit_change(&server, signals.limit, age, "answer");
            }
            if change.pause {
                report::pause(&server, signals.pause.unwrap_or_default());
            }
            if change.is_leaving {
                report::leaving_change(&server, signals.is_leaving, age, "answer");
            }
        }
        state.dispatcher.finish(ticket, outcome, now);
        self.decide(&mut state, now);
    }

    /// Records that a backend server crashed with a request in progress.
    pub(super) fn record_crash(
        &self,
        fingerprint: decisions::Fingerprint,
        entry: &decisions::ServerEntry,
    ) {
        self.metrics.server_crashes.inc();
        let now = self.clock.now();
        let crash = decisions::Crash::of(entry);
        if self.lock().crash_book.record(fingerprint, crash, now, now) {
            report::request_blocked(fingerprint, "answer");
        }
    }

    /// Records a complete answer to a request.
    pub(super) fn record_answer(&self, fingerprint: decisions::Fingerprint) {
        let now = self.clock.now();
        self.lock().crash_book.record_answer(fingerprint, now);
    }

    /// Time for which a request must not be sent, since backend servers crash under it; `None` if it
    /// may be.
    pub(super) fn blocked_for(
        &self,
        fingerprint: decisions::Fingerprint,
    ) -> Option<time::Duration> {
        let now = self.clock.now();
        let state = self.lock();
        let is_blocked = state.crash_book.is_blocked(fingerprint, now);
        is_blocked.then(|| state.crash_book.blocked_for(fingerprint, now))
    }

    /// Whether the backend server chosen for an attempt still accepts requests.
    pub(super) fn may_still_send(&self, ticket: decisions::Ticket) -> bool {
        let now = self.clock.now();
        self.lock().dispatcher.may_still_send(ticket, now)
    }

    /// Abandons a request and frees its slot.
    pub(super) fn abandon(&self, ticket: decisions::Ticket) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.decision_senders.remove(&ticket);
        state.dispatcher.abandon(ticket, now);
        self.decide(&mut state, now);
    }

    /// Charges a retry to the retry budget; returns whether the budget covers it.
    pub(super) fn try_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let hosts = state.members.known_host_count();
        state.dispatcher.try_retry(service, hosts, now)
    }

    /// Returns the number of lines omitted before this one, or `None` if the rate limit omits it.
    pub(super) fn admit_log_line(&self, kind: &'static str) -> Option<u64> {
        let admitted = self.log_limiter.admit(kind, self.clock.now());
        if admitted.is_none() {
            self.metrics.omitted_lines.inc();
        }
        admitted
    }

    /// Gives access to the attempts that wait for a response.
    pub(super) fn with_pending_attempts<T>(
        &self,
        f: impl FnOnce(&mut matching::PendingAttempts) -> T,
    ) -> T {
        f(&mut self.lock().pending_attempts)
    }

    fn decide(&self, state: &mut state::State, now: model::Time) {
        if !state.dispatcher.has_waiting() {
            return;
        }
        for (ticket, decision) in state.dispatcher.decide(now) {
            report::cold_send(self, state, &decision, now);
            let timed = TimedDecision { decision, at: now };
            if let Some(tx) = state.decision_senders.remove(&ticket)
                && tx.send(timed).is_err()
            {
                // The client disconnected before the decision; free the slot.
                state.dispatcher.abandon(ticket, now);
            }
        }
    }

    pub(super) fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
