//! Log lines and gauges of what a host believes and does.

use std::{net, time};

use yuccatide_steering::{gateway as decisions, model};

use super::{fingerprint, gateway, metrics, quota, state, store_state};

/// Logs and counts a request that goes to a cold backend server, with the hosts of the data
/// centre that this one knows; they share the server's rate.
pub(super) fn cold_send(
    gateway: &gateway::Gateway,
    state: &state::State,
    decision: &decisions::Decision,
    now: model::Time,
) {
    let decisions::Decision::Send(index, entry) = decision else {
        return;
    };
    let server = state.dispatcher.servers.get(*index);
    let Some(warm_in) = server.and_then(|server| server.warm_in(now)) else {
        return;
    };
    gateway.metrics.cold_attempts.inc();
    if let Some(omitted) = gateway.admit_log_line("cold") {
        log::info!(
            server = entry.id, warm_in_ms = warm_in.as_millis() as u64,
            live_hosts = state.members.live_host_count(now), omitted;
            "request sent to a cold backend server"
        );
    }
}

/// Counts the signals in an answer that could not be read, and logs each kind once for a service.
pub(super) fn unreadable_signals(
    gateway: &gateway::Gateway,
    state: &state::State,
    ticket: decisions::Ticket,
    signals: Option<decisions::ServerSignals>,
) {
    let unreadable = signals.map_or_else(Default::default, |signals| signals.unreadable);
    let counter = &gateway.metrics.unreadable_signals;
    counter.inc_by(unreadable.total().into());
    let Some(service) = state.dispatcher.service_of(ticket) else {
        return;
    };
    for signal in unreadable.names() {
        if gateway.log_limiter.admit_once(service, signal) {
            log::warn!(
                service, signal;
                "a signal of a backend server can't be read; counted, not said again"
            );
        }
    }
}

/// Logs and counts the parts of another host's message whose numbers can't be used.
pub(super) fn unusable_parts(gateway: &gateway::Gateway, parts: usize) {
    if parts == 0 {
        return;
    }
    gateway.metrics.unusable_parts.inc_by(parts as u64);
    if let Some(omitted) = gateway.admit_log_line("message") {
        log::warn!(parts, omitted; "parts of another host's message can't be used; ignored");
    }
}

/// Logs what became of a backend server whose entry was deleted.
pub(super) fn removal(id: &str, removal: decisions::Removal) {
    match removal {
        decisions::Removal::Unknown => {}
        decisions::Removal::Removed => {
            log::info!(server = id; "backend server entry deleted or invalid; removed");
        }
        decisions::Removal::Deferred => {
            log::info!(
                server = id;
                "backend server entry deleted or invalid; kept until it had time to register again"
            );
        }
    }
}

/// Logs that a backend server, whose entry was missing for this time after an outage of the store,
/// was removed.
pub(super) fn not_registered_again(id: &str, missing: time::Duration) {
    log::info!(
        server = id, missing_ms = missing.as_millis() as u64;
        "backend server did not register again; removed"
    );
}

/// Logs what a complete list of the backend servers has changed beside their entries.
pub(super) fn replacement(replacement: &decisions::Replacement) {
    for (id, removed) in &replacement.missing {
        removal(id, *removed);
    }
    for (id, order) in &replacement.disordered {
        entry_order(id, *order);
    }
}

/// Logs an entry that may be older than what is known of its backend server.
pub(super) fn entry_order(id: &str, order: decisions::EntryOrder) {
    match order {
        decisions::EntryOrder::Latest => {}
        decisions::EntryOrder::AfterDeparture => {
            log::info!(
                server = id;
                "entry of a backend server that has left is back; not used unless its status says so"
            );
        }
        decisions::EntryOrder::Outdated => {
            log::info!(server = id; "entry of a backend server is older than a known one; kept aside");
        }
    }
}

/// Logs that an older entry has stood for so long that its backend server must have renewed it.
pub(super) fn lasting_entry(id: &str) {
    log::info!(server = id; "older entry of a backend server stands; applied");
}

/// Logs that a backend server broke off an answer after its head was passed on.
pub(super) fn broken_answer(gateway: &gateway::Gateway, server: &str) {
    if let Some(omitted) = gateway.admit_log_line("broken-answer") {
        log::warn!(server, omitted; "backend server broke off an answer that was being passed on");
    }
}

/// Logs that no host sends a request any more, since backend servers crash under it; `source` is
/// `answer` for an own attempt, or `host` where other hosts saw the last crash.
pub(super) fn request_blocked(fingerprint: decisions::Fingerprint, source: &'static str) {
    log::warn!(
        fingerprint:% = fingerprint::Hex(fingerprint), source;
        "request blocked; backend servers crash under it"
    );
}

/// Logs that a backend server has named another limit on its rate, or none any more; `source` is
/// `answer` for an own attempt, or `host` where another host tells.
pub(super) fn limit_change(
    server: &str,
    limit: Option<f64>,
    age: time::Duration,
    source: &'static str,
) {
    log::info!(
        server, limit_per_s = limit, age_ms = age.as_millis() as u64, source;
        "backend server's limit changed"
    );
}

/// Logs that a backend server says that it leaves, or no longer does; `source` is `answer` for an own
/// attempt, `status` for a check of its status, or `host` where another host tells.
pub(super) fn leaving_change(
    server: &str,
    is_leaving: bool,
    age: time::Duration,
    source: &'static str,
) {
    log::info!(
        server, is_leaving, age_ms = age.as_millis() as u64, source;
        "backend server's leaving mark changed"
    );
}

/// Logs that a backend server wants no requests from this host for a while.
pub(super) fn pause(server: &str, asked: time::Duration) {
    let pause = asked.min(decisions::MAX_PAUSE);
    log::info!(
        server, pause_ms = pause.as_millis() as u64, asked_ms = asked.as_millis() as u64;
        "backend server pauses"
    );
}

/// Sets the part of each customer's quota that the host holds.
pub(super) fn quota_parts(
    metrics: &metrics::Metrics,
    state: &state::State,
    quotas: &quota::Quotas,
) {
    if let Some(policy) = state.route_table.policy() {
        for (customer, part) in quotas.own_parts(policy) {
            metrics.set_quota_part(&customer.name, part);
        }
    }
}

/// Sets the gauges to what the host believes.
pub(super) fn update_gauges(
    metrics: &metrics::Metrics,
    state: &state::State,
    store: &store_state::StoreState,
    now: model::Time,
) {
    let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
    metrics
        .store_era
        .set(i64::try_from(store.era()).unwrap_or(i64::MAX));
    for (kind, age) in store.answer_ages() {
        metrics.set_store_answer_age(kind, age);
    }
    let servers = &state.dispatcher.servers;
    let usable = state.dispatcher.usable_count(now);
    let version = state.route_table.version().unwrap_or(0);
    metrics
        .config_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    let blocked = state.crash_book.blocked_count(now);
    metrics.blocked_requests.set(count(blocked));
    metrics.waiting.set(count(state.dispatcher.waiting_count()));
    metrics.hosts.set(count(state.members.live_host_count(now)));
    metrics.servers.set(count(servers.len()));
    metrics.usable_servers.set(count(usable));
    metrics
        .leaving_servers
        .set(count(state.dispatcher.leaving().count()));
    let limited = state.dispatcher.limits().count();
    metrics.limited_servers.set(count(limited));
    metrics
        .evacuated_data_centres
        .set(count(servers.evacuated().len()));
    let missing = servers.iter().filter(|(_, server)| server.is_missing());
    metrics.missing_servers.set(count(missing.count()));
    metrics
        .store_answers
        .set(i64::from(servers.is_store_available()));
}

/// Logs a connection that was closed for lack of memory, descriptors or free servers.
pub(super) fn client_closed(gateway: &gateway::Gateway, peer: net::SocketAddr) {
    gateway.metrics.clients_closed.inc();
    if let Some(omitted) = gateway.admit_log_line("client") {
        log::warn!(client:% = peer, omitted; "slow or silent client connection closed for others");
    }
}

/// Logs a connection that was not accepted.
pub(super) fn client_refused(gateway: &gateway::Gateway, peer: net::SocketAddr) {
    gateway.metrics.clients_refused.inc();
    if let Some(omitted) = gateway.admit_log_line("client") {
        log::warn!(client:% = peer, omitted; "too many client connections; not accepted");
    }
}

/// Sets the gauges of what clients hold.
pub(super) fn update_client_gauges(gateway: &gateway::Gateway) {
    let metrics = &gateway.metrics;
    metrics.client_memory.set(gateway.memory.used() as i64);
    metrics.client_connections.set(gateway.clients.len() as i64);
}
