//! Counters, histograms and gauges in the OpenMetrics text format.

use std::{collections, fmt, sync, sync::atomic, time};

use prometheus_client::{
    encoding::{self, EncodeLabelSet},
    metrics::{counter, family, gauge, histogram},
    registry,
};
use yuccatide_steering::gateway as decisions;

/// Routes with a time series of their own; further ones share one.
const MAX_ROUTE_LABELS: usize = 64;

/// Customers with a time series of their own; further ones share one.
const MAX_CUSTOMER_LABELS: usize = 128;

/// Label of the series that further routes share, and of that which further customers share.
const OTHERS: &str = "other";

/// Upper bounds of the latency buckets, from a hop within a data centre to the longest time that a
/// client waits.
const LATENCY_BUCKETS_S: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Upper bounds of the buckets of the time between the choice of a backend server and the sending,
/// from no wait at all to the time-out of a connection attempt and beyond it.
const SEND_DELAY_BUCKETS_S: [f64; 7] = [0.001, 0.005, 0.02, 0.1, 0.4, 1.0, 2.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CustomerLabels {
    customer: String,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CustomerLabel {
    customer: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    kind: String,
    call: &'static str,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TaskLabels {
    task: &'static str,
}

type FloatGauge = gauge::Gauge<f64, atomic::AtomicU64>;

type Latency = family::Family<RouteLabels, histogram::Histogram, fn() -> histogram::Histogram>;

/// Metrics of a gateway.
pub struct Metrics {
    registry: registry::Registry,
    routes: sync::Mutex<collections::HashSet<String>>,
    customers: sync::Mutex<collections::HashSet<String>>,
    customer_requests: family::Family<CustomerLabels, counter::Counter>,
    quota_parts: family::Family<CustomerLabel, FloatGauge>,
    denied: family::Family<ReasonLabels, counter::Counter>,
    requests: family::Family<RequestLabels, counter::Counter>,
    latency: Latency,
    refusals: family::Family<ReasonLabels, counter::Counter>,
    attempts: family::Family<AttemptLabels, counter::Counter>,
    store_calls: family::Family<StoreCallLabels, counter::Counter>,
    store_answer_age: family::Family<KindLabels, FloatGauge>,
    lookups: counter::Counter,
    pub(super) config_version: gauge::Gauge,
    pub(super) waiting: gauge::Gauge,
    pub(super) hosts: gauge::Gauge,
    pub(super) servers: gauge::Gauge,
    pub(super) usable_servers: gauge::Gauge,
    pub(super) missing_servers: gauge::Gauge,
    pub(super) limited_servers: gauge::Gauge,
    pub(super) leaving_servers: gauge::Gauge,
    pub(super) server_crashes: counter::Counter,
    pub(super) broken_answers: counter::Counter,
    pub(super) blocked_requests: gauge::Gauge,
    pub(super) second_attempts: counter::Counter,
    pub(super) second_attempts_won: counter::Counter,
    pub(super) unreadable_signals: counter::Counter,
    pub(super) evacuated_data_centres: gauge::Gauge,
    pub(super) store_answers: gauge::Gauge,
    pub(super) store_era: gauge::Gauge,
    pub(super) send_delay: histogram::Histogram,
    pub(super) cold_attempts: counter::Counter,
    pub(super) started_ahead: counter::Counter,
    pub(super) ahead_in_progress: gauge::Gauge,
    pub(super) unusable_parts: counter::Counter,
    task_ends: family::Family<TaskLabels, counter::Counter>,
    pub(super) omitted_lines: counter::Counter,
    pub(super) client_memory: gauge::Gauge,
    pub(super) client_connections: gauge::Gauge,
    pub(super) clients_closed: counter::Counter,
    pub(super) clients_refused: counter::Counter,
}

impl Metrics {
    pub(super) fn new() -> Metrics {
        let new_histogram: fn() -> histogram::Histogram =
            || histogram::Histogram::new(LATENCY_BUCKETS_S);
        let mut metrics = Metrics {
            registry: registry::Registry::with_prefix("yuccatide"),
            routes: sync::Mutex::default(),
            customers: sync::Mutex::default(),
            customer_requests: family::Family::default(),
            quota_parts: family::Family::default(),
            denied: family::Family::default(),
            requests: family::Family::default(),
            latency: family::Family::new_with_constructor(new_histogram),
            refusals: family::Family::default(),
            attempts: family::Family::default(),
            store_calls: family::Family::default(),
            store_answer_age: family::Family::default(),
            lookups: counter::Counter::default(),
            config_version: gauge::Gauge::default(),
            waiting: gauge::Gauge::default(),
            hosts: gauge::Gauge::default(),
            servers: gauge::Gauge::default(),
            usable_servers: gauge::Gauge::default(),
            missing_servers: gauge::Gauge::default(),
            limited_servers: gauge::Gauge::default(),
            leaving_servers: gauge::Gauge::default(),
            server_crashes: counter::Counter::default(),
            broken_answers: counter::Counter::default(),
            blocked_requests: gauge::Gauge::default(),
            second_attempts: counter::Counter::default(),
            second_attempts_won: counter::Counter::default(),
            unreadable_signals: counter::Counter::default(),
            send_delay: histogram::Histogram::new(SEND_DELAY_BUCKETS_S),
            cold_attempts: counter::Counter::default(),
            evacuated_data_centres: gauge::Gauge::default(),
            store_answers: gauge::Gauge::default(),
            store_era: gauge::Gauge::default(),
            started_ahead: counter::Counter::default(),
            ahead_in_progress: gauge::Gauge::default(),
            unusable_parts: counter::Counter::default(),
            task_ends: family::Family::default(),
            omitted_lines: counter::Counter::default(),
            client_memory: gauge::Gauge::default(),
            client_connections: gauge::Gauge::default(),
            clients_closed: counter::Counter::default(),
            clients_refused: counter::Counter::default(),
        };
        metrics.register();
        metrics.register_clients();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and result",
            self.requests.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to answer, of answered requests",
            self.latency.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "customer_requests",
            "Requests by customer and result",
            self.customer_requests.clone(),
        );
        registry.register(
            "quota_part",
            "Part of a customer's quota that the host holds itself",
            self.quota_parts.clone(),
        );
        registry.register(
            "denied",
            "Requests denied for their key, by reason",
            self.denied.clone(),
        );
        registry.register(
            "sendings",
            "Sendings to backend servers, by outcome",
            self.attempts.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store, by kind and result",
            self.store_calls.clone(),
        );
        registry.register(
            "store_answer_age_seconds",
            "Time since the last answer to a call that reads a kind of object",
            self.store_answer_age.clone(),
        );
        registry.register("lookups", "Look-ups answered", self.lookups.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait for a backend server",
            self.waiting.clone(),
        );
        registry.register(
            "hosts",
            "Hosts of the data centre that are alive",
            self.hosts.clone(),
        );
        registry.register("servers", "Backend servers known", self.servers.clone());
        let usable = self.usable_servers.clone();
        registry.register(
            "usable_servers",
            "Backend servers that may be given requests",
            usable,
        );
        registry.register(
            "missing_servers",
            "Backend servers without an entry, kept until they had time to register again",
            self.missing_servers.clone(),
        );
        registry.register(
            "started_ahead",
            "Requests started before the earlier ones of their connection were answered",
            self.started_ahead.clone(),
        );
        registry.register(
            "ahead_in_progress",
            "Requests in progress that were started ahead",
            self.ahead_in_progress.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers that name a limit on their rate",
            self.limited_servers.clone(),
        );
        registry.register(
            "leaving_servers",
            "Backend servers that have said in an answer that they leave",
            self.leaving_servers.clone(),
        );
        registry.register(
            "broken_answers",
            "Answers that backend servers broke off after their heads were passed on",
            self.broken_answers.clone(),
        );
        registry.register(
            "server_crashes",
            "Attempts that were in progress at a backend server when it crashed",
            self.server_crashes.clone(),
        );
        registry.register(
            "second_attempts",
            "Second attempts of requests that were slower than nearly all of their kind",
            self.second_attempts.clone(),
        );
        registry.register(
            "second_attempts_won",
            "Second attempts that were answered before the first one",
            self.second_attempts_won.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that no host sends any more, since backend servers crash under them",
            self.blocked_requests.clone(),
        );
        registry.register(
            "unreadable_signals",
            "Headers with signals of backend servers that could not be read",
            self.unreadable_signals.clone(),
        );
        registry.register(
            "send_delay_seconds",
            "Time from the choice of a backend server until the request is sent to it",
            self.send_delay.clone(),
        );
        registry.register(
            "cold_sendings",
            "Sendings to backend servers that are cold",
            self.cold_attempts.clone(),
        );
        registry.register(
            "evacuated_data_centres",
            "Data centres that are evacuated",
            self.evacuated_data_centres.clone(),
        );
        registry.register(
            "store_answers",
            "Whether the store answers",
            self.store_answers.clone(),
        );
        registry.register(
            "store_era",
            "Era of the store; it rises when the store comes back from an older copy",
            self.store_era.clone(),
        );
        registry.register(
            "unusable_parts",
            "Parts of other hosts' messages whose numbers can't be used",
            self.unusable_parts.clone(),
        );
        registry.register(
            "task_ends",
            "Ends of long-lived tasks, which are started again",
            self.task_ends.clone(),
        );
        let omitted = self.omitted_lines.clone();
        registry.register(
            "log_lines_omitted",
            "Log lines left out to bound their volume",
            omitted,
        );
    }

    fn register_clients(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "client_memory_bytes",
            "Memory reserved for what clients send and for answers that they have not read",
            self.client_memory.clone(),
        );
        registry.register(
            "client_connections",
            "Open connections of clients",
            self.client_connections.clone(),
        );
        registry.register(
            "client_connections_closed",
            "Connections of clients closed for lack of memory, descriptors or free servers",
            self.clients_closed.clone(),
        );
        registry.register(
            "client_connections_refused",
            "Connections of clients that were not accepted, since there were too many",
            self.clients_refused.clone(),
        );
    }

    /// Encodes the metrics as text.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Counts the ends of long-lived tasks.
    pub(super) fn task_end_counter(&self) -> impl Fn(&'static str) + Send + Sync + 'static {
        let ends = self.task_ends.clone();
        move |task| {
            ends.get_or_create(&TaskLabels { task }).inc();
        }
    }

    /// Records a completed request.
    pub(super) fn record_request(
        &self,
        route: &str,
        result: &'static str,
        duration: time::Duration,
    ) {
        let route = label(&self.routes, MAX_ROUTE_LABELS, route);
        if result == "answered" {
            let labels = RouteLabels {
                route: route.clone(),
            };
            self.latency
                .get_or_create(&labels)
                .observe(duration.as_secs_f64());
        }
        self.requests
            .get_or_create(&RequestLabels { route, result })
            .inc();
    }

    /// Records a refusal.
    pub(super) fn record_refusal(&self, reason: decisions::Reason) {
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Records a completed request of a customer.
    pub(super) fn record_customer(&self, customer: &str, result: &'static str) {
        let customer = label(&self.customers, MAX_CUSTOMER_LABELS, customer);
        self.customer_requests
            .get_or_create(&CustomerLabels { customer, result })
            .inc();
    }

    /// Sets the part of a customer's quota that the host holds itself.
    pub(super) fn set_quota_part(&self, customer: &str, part: f64) {
        let customer = label(&self.customers, MAX_CUSTOMER_LABELS, customer);
        if customer != OTHERS {
            let labels = CustomerLabel { customer };
            self.quota_parts.get_or_create(&labels).set(part);
        }
    }

    /// Records a request denied for its key.
    pub(super) fn record_denial(&self, reason: &'static str) {
        self.denied.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Records a completed attempt, in the metric `sendings`.
    pub(super) fn record_attempt(&self, service: &str, outcome: decisions::Outcome) {
        let labels = AttemptLabels {
            service: service.to_string(),
            outcome: outcome.as_str(),
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, kind: &str, call: &'static str, result: &'static str) {
        let labels = StoreCallLabels {
            kind: kind.to_string(),
            call,
            result,
        };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Sets the time since the last answer to a call that reads a kind.
    pub(super) fn set_store_answer_age(&self, kind: String, age: time::Duration) {
        self.store_answer_age
            .get_or_create(&KindLabels { kind })
            .set(age.as_secs_f64());
    }

    /// Records a look-up.
    pub(super) fn record_lookup(&self) {
        self.lookups.inc();
    }
}

/// Label of a name that has a time series of its own, or of the series that further names share.
fn label(known: &sync::Mutex<collections::HashSet<String>>, max: usize, name: &str) -> String {
    let mut known = known.lock().unwrap_or_else(sync::PoisonError::into_inner);
    if !known.contains(name) {
        if known.len() >= max {
            return OTHERS.to_string();
        }
        known.insert(name.to_string());
    }
    name.to_string()
}
