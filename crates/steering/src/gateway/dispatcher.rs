//! Requests that wait for backend servers, and those in progress.

use std::{collections, time};

use super::{
    admission, fairness, outcome, placement, policy, request, retry_budget, server, server_set,
    service_times,
};
use crate::model;

/// Number of a request within the process.
pub type Ticket = u64;

/// Part of a cold backend server's rate that the hosts of its data centre share, and the part that
/// all hosts share where they send into another data centre: together they stay below the
/// platform's bound of one and a half times the rate, also while a host does not hear its neighbour.
const NEAR_COLD_SHARE: f64 = 0.8;
const FAR_COLD_SHARE: f64 = 0.4;

/// What is done with a request that waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes to this backend server.
    Send(server_set::ServerIndex, server::ServerEntry),
    /// It is refused; a slot is expected after `retry_after`.
    Refuse {
        /// Why.
        reason: outcome::Reason,
        /// When the client should come back.
        retry_after: time::Duration,
    },
}

/// Bounds on repeated sendings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeated sendings for each first one.
    pub ratio: f64,
    /// Further repeated sendings in each window, of all hosts together.
    pub slack: f64,
    /// Length of the window.
    pub window: time::Duration,
}

struct Waiting {
    ticket: Ticket,
    req: request::Request,
    /// Service time at the backend server that it would be given to; nothing before the first
    /// decision.
    service: Option<f64>,
}

struct Sent {
    server: server_set::ServerIndex,
    req: request::Request,
    was_warm: bool,
}

/// Requests that wait for backend servers, and those in progress.
pub struct Dispatcher {
    /// Backend servers.
    pub servers: server_set::ServerSet,
    times: service_times::ServiceTimeEstimates,
    data_centre: model::DataCentreId,
    regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    waiting: collections::BTreeMap<model::ServiceId, Vec<Waiting>>,
    sent: collections::HashMap<Ticket, Sent>,
    budgets: collections::BTreeMap<model::ServiceId, retry_budget::RetryBudget>,
    fairness: collections::BTreeMap<model::ServiceId, fairness::Fairness>,
    services: collections::BTreeMap<model::ServiceId, policy::Service>,
    limits: RetryLimits,
    /// Hosts of all data centres.
    hosts: usize,
    next: Ticket,
}

impl Dispatcher {
    /// A pool of a host in a data centre.
    pub fn new(
        data_centre: &str,
        regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
        limits: RetryLimits,
    ) -> Dispatcher {
        Dispatcher {
            servers: server_set::ServerSet::default(),
            times: service_times::ServiceTimeEstimates::default(),
            data_centre: data_centre.to_string(),
            regions,
            waiting: collections::BTreeMap::new(),
            sent: collections::HashMap::new(),
            budgets: collections::BTreeMap::new(),
            fairness: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            limits,
            hosts: 1,
            next: 0,
        }
    }

    /// Takes changed bounds on repeated sendings; what was counted stays.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        for budget in self.budgets.values_mut() {
            budget.set_bounds(limits.ratio, limits.slack, limits.window);
        }
    }

    /// Takes the number of hosts in all data centres: they share the bounds of the backend servers
    /// of other data centres.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Takes a new configuration's services.
    pub fn set_services(
        &mut self,
        services: &collections::BTreeMap<model::ServiceId, policy::Service>,
    ) {
        self.services = services.clone();
        let warmups = services
            .iter()
            .map(|(name, service)| (name.clone(), service.warmup));
        self.servers.set_warmups(warmups.collect());
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain_routes(&mut self, policy: &policy::Policy) {
        let names = policy.route_names();
        self.fairness
            .values_mut()
            .for_each(|fairness| fairness.retain(|route| names.contains(route)));
    }

    /// Lets a request wait; a decision follows from [`Pool::decide`].
    pub fn submit(&mut self, req: request::Request) -> Ticket {
        self.next += 1;
        let ticket = self.next;
        if req.tried_servers.is_empty() {
            let fairness = self.fairness.entry(req.service.clone()).or_default();
            fairness.offered(&req.route.name, req.arrived);
        }
        let queue = self.waiting.entry(req.service.clone()).or_default();
        queue.push(Waiting {
            ticket,
            req,
            service: None,
        });
        ticket
    }

    /// Decides on the requests that wait: those of starved routes first, then those that can still
    /// meet their objective, by rank, then by arrival.  `hosts` share the bound of cold backend
    /// servers.
    pub fn decide(&mut self, hosts: usize, now: model::Time) -> Vec<(Ticket, Decision)> {
        let services: Vec<model::ServiceId> = self.waiting.keys().cloned().collect();
        services
            .into_iter()
            .flat_map(|service| self.decide_service(&service, hosts, now))
            .collect()
    }

    /// Expected service time of a route's requests where objects are in the cache.
    pub fn warm_service_time(&self, route: &policy::Route) -> time::Duration {
        time::Duration::from_secs_f64(self.times.expect(route, true))
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.waiting.values().any(|queue| !queue.is_empty())
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }

    /// Requests in progress at each backend server, by the hash of its name.
    pub fn in_flight_by_server(&self) -> Vec<(u64, u32)> {
        self.servers
            .iter()
            .filter(|(_, server)| server.in_flight() > 0)
            .map(|(_, server)| (server.hash, server.in_flight()))
            .collect()
    }

    /// Takes the end of a sending and says what follows; with [`outcome::Next::Retry`] the request
    /// has to be submitted again.
    pub fn finish(&mut self, ticket: Ticket, outcome: outcome::Outcome, now: model::Time) {
        let Some(sent) = self.sent.remove(&ticket) else {
            return;
        };
        let warmup = self.servers.warmup(&sent.req.service);
        let Some(server) = self.servers.get_mut(sent.server) else {
            return;
        };
        let Some(took) = server.finished(ticket, outcome, warmup, now) else {
            return;
        };
        if outcome == outcome::Outcome::Answered {
            learn(&mut self.times, server, &sent, took, now);
        }
    }

    /// Service of a request in progress.
    pub fn service_of(&self, ticket: Ticket) -> Option<&str> {
        Some(&self.sent.get(&ticket)?.req.service)
    }

    /// Takes a backend server's report of the requests that it has.
    pub fn record_server_load(&mut self, ticket: Ticket, requests: u32, now: model::Time) {
        let Some(sent) = self.sent.get(&ticket) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(sent.server) {
            server.report(requests, now);
        }
    }

    /// Takes that a request that waits or is in progress is given up.
    pub fn abandon(&mut self, ticket: Ticket, now: model::Time) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.ticket != ticket);
        }
        self.finish(ticket, outcome::Outcome::Cancelled, now);
    }

    /// Takes one repeated sending where the retry budget of a service covers it.
    pub fn try_retry(&mut self, service: &str, hosts: usize, now: model::Time) -> bool {
        self.budget(service).try_retry(hosts, now)
    }

    /// Counts a request's first sending.
    pub fn record_first_attempt(&mut self, service: &str, now: model::Time) {
        self.budget(service).record_first_attempt(now);
    }

    fn budget(&mut self, service: &str) -> &mut retry_budget::RetryBudget {
        let limits = self.limits;
        self.budgets.entry(service.to_string()).or_insert_with(|| {
            retry_budget::RetryBudget::new(limits.ratio, limits.slack, limits.window)
        })
    }

    fn decide_service(
        &mut self,
        service: &str,
        hosts: usize,
        now: model::Time,
    ) -> Vec<(Ticket, Decision)> {
        let Some(mut queue) = self.waiting.remove(service) else {
            return Vec::new();
        };
        queue.sort_by_cached_key(|waiting| self.order(waiting, now));
        let mut ahead = collections::HashMap::new();
        let mut decisions = Vec::new();
        let mut left: Vec<Waiting> = Vec::new();
        let mut late = 0;
        for mut waiting in queue {
            let cx = placement::Cx {
                fleet: &self.servers,
                times: &self.times,
                data_centre: &self.data_centre,
                regions: &self.regions,
                ahead: &ahead,
            };
            let choice = placement::choose(&cx, &waiting.req, now);
            let is_new = waiting.service.is_none();
            waiting.service = choice.map(|choice| choice.service);
            let order = self.order(&waiting, now);
            let standing = admission::Standing {
                is_new,
                is_starved: !order.is_served,
                is_late: order.is_late,
                late_ahead: late,
            };
            match admission::verdict(&waiting.req, choice, standing, now) {
                admission::Verdict::Wait(server) => {
                    late += u32::from(standing.is_late);
                    *ahead.entry(server).or_insert(0) += 1;
                    left.push(waiting);
                }
                admission::Verdict::Refuse(reason, retry_after) => {
                    decisions.push((
                        waiting.ticket,
                        Decision::Refuse {
                            reason,
                            retry_after,
                        },
                    ));
                }
                admission::Verdict::Send(choice) => {
                    if let Some(entry) = self.start(waiting.ticket, waiting.req, choice, hosts, now)
                    {
                        decisions.push((waiting.ticket, Decision::Send(choice.server, entry)));
                    }
                }
            }
        }
        if !left.is_empty() {
            self.waiting.insert(service.to_string(), left);
        }
        decisions
    }

    /// Order in which requests get slots: those of starved routes, then those that can still meet
    /// their objective, by rank; of equal ones those that were refused before.
    fn order(&self, waiting: &Waiting, now: model::Time) -> admission::Order {
        let req = &waiting.req;
        let service = waiting
            .service
            .unwrap_or_else(|| self.times.expect(&req.route, true));
        let done = now + time::Duration::from_secs_f64(service);
        admission::Order {
            is_served: !self.is_starved(req),
            is_late: done > req.objective(),
            rank: req.route.rank,
            is_first: !req.is_client_retry,
            arrived: req.arrived,
        }
    }

    fn is_starved(&self, req: &request::Request) -> bool {
        self.fairness
            .get(&req.service)
            .is_some_and(|fairness| fairness.is_starved(&req.route.name))
    }

    /// Time between two requests of this host to a cold backend server, so that all hosts together
    /// keep its bound; `hosts` are those of the own data centre.
    fn cold_interval(&self, entry: &server::ServerEntry, hosts: usize) -> time::Duration {
        let (share, hosts) = match entry.data_centre == self.data_centre {
            true => (NEAR_COLD_SHARE, hosts),
            false => (FAR_COLD_SHARE, self.hosts),
        };
        let service = self.services.get(&entry.service);
        let rate = share * service.map_or(0.0, |service| service.warmup_rate);
        match rate > 0.0 {
            true => time::Duration::from_secs_f64(hosts.max(1) as f64 / rate),
            false => time::Duration::ZERO,
        }
    }

    fn start(
        &mut self,
        ticket: Ticket,
        req: request::Request,
        choice: placement::Choice,
        hosts: usize,
        now: model::Time,
    ) -> Option<server::ServerEntry> {
        let interval = self.cold_interval(&self.servers.get(choice.server)?.entry, hosts);
        let server = self.servers.get_mut(choice.server)?;
        let was_warm = req.object.is_some_and(|object| server.is_warm_for(object));
        if req.tried_servers.is_empty()
            && let Some(fairness) = self.fairness.get_mut(&req.service)
        {
            fairness.admitted(&req.route.name);
        }
        server.sent(ticket, req.object, choice.service, interval, now);
        let entry = server.entry.clone();
        let server = choice.server;
        self.sent.insert(
            ticket,
            Sent {
                server,
                req,
                was_warm,
            },
        );
        Some(entry)
    }
}

/// Learns service times, the backend server's speed and what its cache holds from an answer.
fn learn(
    times: &mut service_times::ServiceTimeEstimates,
    server: &mut server::Server,
    sent: &Sent,
    took: time::Duration,
    now: model::Time,
) {
    let route = &sent.req.route;
    let (warm, cold) = (times.expect(route, true), times.expect(route, false));
    let speed = server.speed();
    let seconds = took.as_secs_f64();
    // Another host may have warmed the object: the time itself tells.
    let is_warm = sent.was_warm || seconds / speed < (warm * cold).sqrt();
    if server.is_cold(now) {
        return;
    }
    server.observe(seconds / if is_warm { warm } else { cold });
    times.observe(&route.name, is_warm, took, speed);
}
