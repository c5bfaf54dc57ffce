//! The state of a gateway that its lock guards.

use std::{collections, sync, time};

use tokio::sync::oneshot;
use yuccatide_steering::{gateway as decisions, hedging, matching, model};

use super::{demand, gateway, report, settings};

/// Decisions and what they rest on.
pub(super) struct State {
    pub(super) route_table: decisions::RouteTable,
    pub(super) traffic_splitter: decisions::TrafficSplitter,
    pub(super) dispatcher: decisions::Dispatcher,
    pub(super) hedger: hedging::Hedger,
    pub(super) members: decisions::Members,
    pub(super) crash_book: decisions::CrashBook,
    pub(super) evacuations: decisions::Evacuations,
    pub(super) lookup_balancer: decisions::LookupBalancer,
    pub(super) demand: demand::DemandEstimator,
    pub(super) client_retries: decisions::ClientRetryDetector,
    pub(super) pending_attempts: matching::PendingAttempts,
    pub(super) decision_senders:
        collections::HashMap<decisions::Ticket, oneshot::Sender<gateway::TimedDecision>>,
    /// End of the grace period of a planned stop; `None` before one has begun.
    pub(super) stops_at: Option<model::Time>,
}

impl State {
    /// Takes over what another host has seen of backend servers' signals.
    pub(super) fn adopt_signals(
        &mut self,
        limits: &[decisions::SignalNews<f64>],
        leaving: &[decisions::SignalNews<()>],
        now: model::Time,
    ) {
        for news in self.dispatcher.limits_mut().adopt(limits, now) {
            if let Some(server) = self.server_named(news.server) {
                report::limit_change(server, news.value, news.age, "host");
            }
        }
        for news in self.dispatcher.leaving_mut().adopt(leaving, now) {
            if let Some(server) = self.server_named(news.server) {
                report::leaving_change(server, news.value.is_some(), news.age, "host");
            }
        }
    }

    /// Whether the host has a configuration and is not stopping.  After a stop has begun, the frontend
    /// still accepts connections for `STOP_ACCEPT_WINDOW`.
    pub(super) fn takes_requests(&self) -> bool {
        self.route_table.version().is_some() && self.stops_at.is_none()
    }

    /// Takes over what another host has seen of requests that crash backend servers.
    pub(super) fn adopt_crashes(&mut self, crashes: &[decisions::CrashReport], now: model::Time) {
        for fingerprint in self.crash_book.adopt(crashes, now) {
            report::request_blocked(fingerprint, "host");
        }
    }

    /// Name of the backend server whose name has this hash.
    fn server_named(&self, hash: u64) -> Option<&str> {
        let mut servers = self.dispatcher.servers.iter();
        let (_, server) = servers.find(|(_, server)| server.name_hash == hash)?;
        Some(&server.entry.id)
    }

    /// Path at which the backend servers of a service tell their status.
    pub(super) fn health_check(&self, service: &str) -> String {
        let policy = self.route_table.policy();
        let service = policy.and_then(|policy| policy.services.get(service));
        service.map_or(String::new(), |service| service.health_check.clone())
    }

    pub(super) fn apply_policy(&mut self, policy: decisions::Policy) {
        let version = policy.version;
        match self.route_table.apply(policy) {
            Ok(true) => {}
            Ok(false) => {
                log::debug!(version; "ignored an older configuration");
                return;
            }
            Err(e) => {
                log::warn!(version, error:% = e; "invalid configuration; keeping the last one");
                return;
            }
        }
        if let Some(policy) = self.route_table.policy() {
            self.traffic_splitter.retain(policy);
            self.client_retries.retain(policy);
            self.dispatcher.set_services(&policy.services);
            self.dispatcher.retain_routes(policy);
            let names = policy.route_names();
            self.hedger.retain(|route| names.contains(route));
        }
        log::info!(version; "configuration applied");
    }

    /// Applies the evacuations that are in force, if they have changed.
    pub(super) fn apply_evacuations(&mut self, now: model::Time) {
        let data_centres = self.evacuations.in_force(now);
        if *self.dispatcher.servers.evacuated() != data_centres {
            log::info!(data_centres:?; "evacuated data centres changed");
            self.dispatcher.servers.set_evacuated(data_centres, now);
        }
    }

    /// Updates the look-up shares of all HTTP host names.
    pub(super) fn update_shares(&mut self, settings: &settings::Settings, now: model::Time) {
        for name in self.route_table.host_names() {
            let spread = self.capacity_and_demand(&name, settings, now);
            self.lookup_balancer.update_shares(&name, &spread, now);
        }
    }

    /// Drops the requests in progress at hosts that are no longer live.
    pub(super) fn drop_dead_in_flight(&mut self, now: model::Time) {
        let live: collections::HashSet<&str> = self
            .members
            .live_heartbeats(now)
            .map(|heartbeat| heartbeat.member.host.as_str())
            .collect();
        self.dispatcher
            .remote_in_flight
            .retain(|host| live.contains(host));
    }

    /// Mean service time of the routes of a service, with their objects cached.
    fn mean_service_time(
        &self,
        routes: &[sync::Arc<decisions::Route>],
        service: &str,
    ) -> time::Duration {
        let times: Vec<time::Duration> = routes
            .iter()
            .filter(|route| {
                route
                    .weighted_services
                    .iter()
                    .any(|part| part.service == service)
            })
            .map(|route| self.dispatcher.cached_service_time(route))
            .collect();
        times.iter().sum::<time::Duration>() / u32::try_from(times.len().max(1)).unwrap_or(1)
    }

    /// Capacity and demand, in slots, of the services of an HTTP host name.
    fn capacity_and_demand(
        &self,
        name: &str,
        settings: &settings::Settings,
        now: model::Time,
    ) -> decisions::CapacityAndDemand {
        let routes = self.route_table.routes(name);
        let services: collections::BTreeSet<model::ServiceId> = routes
            .iter()
            .flat_map(|route| &route.weighted_services)
            .map(|part| part.service.clone())
            .collect();
        let capacity: collections::BTreeMap<_, _> = services
            .iter()
            .map(|service| {
                let service_time = self.mean_service_time(routes, service);
                let slots = self.dispatcher.usable_slots(service, service_time, now);
                (service.clone(), slots)
            })
            .collect();
        let own = self.demand.loads();
        let local = self
            .members
            .live_heartbeats(now)
            .flat_map(|heartbeat| &heartbeat.loads);
        let remote = self
            .members
            .live_summaries(now)
            .flat_map(|summary| &summary.loads);
        let loads = own.iter().chain(local).chain(remote);
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
