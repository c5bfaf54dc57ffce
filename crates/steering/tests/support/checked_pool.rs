//! A pool whose every action is checked against its invariants.

use std::{collections, sync, time};

use yuccatide_steering::{config, model, pool};

/// State of a request as tracked by the checker.
#[derive(Debug, Default)]
struct TrackedRequest {
    work: model::WorkId,
    running: collections::BTreeSet<model::ServerId>,
    attempts: u32,
    may_have_run: bool,
    ended: bool,
}

/// A pool together with the state against which its actions are checked.
#[derive(Debug)]
pub struct CheckedPool {
    pub pool: pool::Pool,
    pub doc: config::Document,
    pub now: model::Time,
    owned: collections::BTreeSet<model::ServerId>,
    reports: collections::BTreeMap<model::ServerId, pool::LoadReport>,
    requests: collections::BTreeMap<model::RequestId, TrackedRequest>,
    first_attempts: collections::BTreeMap<model::WorkId, u32>,
    retries: collections::BTreeMap<model::WorkId, u32>,
}

impl CheckedPool {
    pub fn new(doc: config::Document, now: model::Time) -> CheckedPool {
        CheckedPool {
            pool: pool::Pool::new(sync::Arc::new(doc.clone()), "host-0", 7, now),
            doc,
            now,
            owned: collections::BTreeSet::new(),
            reports: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            first_attempts: collections::BTreeMap::new(),
            retries: collections::BTreeMap::new(),
        }
    }

    pub fn set_owned_servers(&mut self, owned: collections::BTreeSet<model::ServerId>) {
        self.owned = owned.clone();
        let actions = self.pool.set_owned_servers(owned, self.now);
        self.check_actions(actions);
    }

    pub fn set_document(&mut self, doc: config::Document) {
        assert_eq!(config::check(&doc), []);
        self.doc = doc.clone();
        let actions = self.pool.set_document(sync::Arc::new(doc), self.now);
        self.check_actions(actions);
    }

    pub fn advance(&mut self, step: time::Duration) {
        self.now += step;
        let actions = self.pool.tick(self.now);
        self.check_actions(actions);
    }

    pub fn submit(&mut self, work: &str, deadline: time::Duration) {
        let id = self.requests.len() as u128;
        let tracked = TrackedRequest {
            work: work.to_string(),
            ..TrackedRequest::default()
        };
        self.requests.insert(id, tracked);
        let meta = super::request(id, work, self.now + deadline);
        let actions = self.pool.submit(meta, self.now);
        self.check_actions(actions);
    }

    /// Ends the running attempt with the index `nth`, modulo the number of running attempts.
    pub fn finish(&mut self, nth: usize, outcome: pool::AttemptOutcome) {
        let Some((id, server)) = self.running_attempt(nth) else {
            return;
        };
        let is_proven_not_run = matches!(
            outcome,
            pool::AttemptOutcome::Shed | pool::AttemptOutcome::ConnectFailed
        );
        let answered = matches!(outcome, pool::AttemptOutcome::Answered { .. });
        let tracked = self.requests.get_mut(&id).unwrap();
        tracked.running.remove(&server);
        tracked.may_have_run |= !is_proven_not_run && !answered;
        let actions = self.pool.finished(id, &server, outcome, self.now);
        let done = pool::Action::Done { id, server };
        assert!(tracked.ended || !answered || actions.contains(&done));
        self.check_actions(actions);
    }

    pub fn start_response(&mut self, nth: usize) {
        if let Some((id, server)) = self.running_attempt(nth) {
            let actions = self.pool.response_started(id, &server, self.now);
            self.check_actions(actions);
        }
    }

    /// Cancels the open request with the index `nth`, modulo the number of open requests.
    pub fn cancel(&mut self, nth: usize) {
        let open = self.requests.iter().filter(|(_, r)| !r.ended);
        let open = open.map(|(id, _)| *id).collect::<Vec<_>>();
        if !open.is_empty() {
            let actions = self.pool.cancel(open[nth % open.len()], self.now);
            self.check_actions(actions);
        }
    }

    pub fn report(&mut self, server: &str, report: pool::LoadReport) {
        let max_age = self.service_of(server).report_max_age;
        let last = self.reports.get(server);
        let is_accepted = last.is_none_or(|r| report.at > r.at) && report.at + max_age >= self.now;
        if is_accepted && self.owned.contains(server) {
            self.reports.insert(server.to_string(), report.clone());
        }
        let actions = self.pool.report(server, report, self.now);
        self.check_actions(actions);
    }

    /// Ends all attempts, lets all deadlines pass and checks that each request has ended.
    pub fn finish_all(&mut self) {
        while self.running_attempt(0).is_some() {
            self.advance(time::Duration::from_millis(10));
            self.finish(0, pool::AttemptOutcome::TimedOut);
        }
        let longest = self.doc.work.values().map(|w| w.deadline).max().unwrap();
        self.advance(longest + time::Duration::from_secs(1));
        while self.running_attempt(0).is_some() {
            self.finish(0, pool::AttemptOutcome::TimedOut);
        }
        let open = self.requests.iter().filter(|(_, r)| !r.ended);
        assert_eq!(open.count(), 0, "requests that never ended");
    }

    /// Checks the invariants that hold between any two events.
    pub fn check_invariants(&self) {
        for (service, cfg) in &self.doc.services {
            let capacity = self.pool.capacity(service);
            let servers = self
                .doc
                .servers
                .iter()
                .filter(|(_, s)| &s.service == service);
            let running = servers.map(|(id, _)| self.running_on(id)).sum::<u32>();
            assert_eq!(capacity.in_use, running);
            assert!(capacity.usable_slots <= f64::from(capacity.slots) * cfg.target_use + 1e-9);
            for (work, queued) in &capacity.queued {
                let bound = self.doc.work[work].queue_per_slot * capacity.slots;
                assert!(
                    *queued <= bound,
                    "{work}: {queued} requests queued, above the bound {bound}"
                );
            }
        }
        for (work, retries) in &self.retries {
            let share = self.doc.work[work].retry_share;
            let first = f64::from(self.first_attempts.get(work).copied().unwrap_or(0));
            assert!(
                f64::from(*retries) <= share * first + 1e-9,
                "{work}: {retries} retries, above {share} of {first} first attempts"
            );
        }
    }

    fn check_actions(&mut self, actions: Vec<pool::Action>) {
        for action in actions {
            match action {
                pool::Action::Start {
                    id,
                    server,
                    attempt,
                    timeout,
                } => {
                    assert!(!timeout.is_zero());
                    self.check_start(id, &server, attempt);
                }
                pool::Action::Cancel { id, server } => {
                    assert!(self.requests[&id].running.contains(&server));
                }
                pool::Action::Done { id, .. } => self.end(id),
                pool::Action::Fail {
                    id,
                    outcome,
                    reason,
                    ..
                } => {
                    let tracked = &self.requests[&id];
                    let not_run = outcome == model::Outcome::NotRun;
                    let proven = !tracked.may_have_run && tracked.running.is_empty();
                    assert!(!not_run || proven, "reported as not run without proof");
                    assert_eq!(not_run, reason.is_some());
                    self.end(id);
                }
            }
        }
    }

    fn check_start(&mut self, id: model::RequestId, server: &str, attempt: u32) {
        assert!(self.owned.contains(server), "{server} is not owned");
        assert!(!self.is_draining(server), "{server} is draining");
        let service = self.service_of(server);
        let running = self.running_on(server);
        assert!(running < service.slots, "no free slot on {server}");
        assert!(
            running < service.connections,
            "no free connection to {server}"
        );
        let tracked = self.requests.get_mut(&id).unwrap();
        assert!(
            !tracked.ended,
            "attempt started after the end of the request"
        );
        let idempotent = self.doc.work[&tracked.work].idempotent;
        let proven = !tracked.may_have_run && tracked.running.is_empty();
        assert!(
            idempotent || proven,
            "non-idempotent request retried without proof that it has not run"
        );
        tracked.attempts += 1;
        assert_eq!(tracked.attempts, attempt);
        assert!(tracked.running.insert(server.to_string()));
        let counts = match attempt {
            1 => &mut self.first_attempts,
            _ => &mut self.retries,
        };
        *counts.entry(tracked.work.clone()).or_default() += 1;
    }

    fn end(&mut self, id: model::RequestId) {
        let tracked = self.requests.get_mut(&id).unwrap();
        assert!(!tracked.ended, "request ended twice");
        tracked.ended = true;
    }

    fn running_attempt(&self, nth: usize) -> Option<(model::RequestId, model::ServerId)> {
        let running = self
            .requests
            .iter()
            .flat_map(|(id, r)| r.running.iter().map(|server| (*id, server.clone())))
            .collect::<Vec<_>>();
        (!running.is_empty()).then(|| running[nth % running.len()].clone())
    }

    fn running_on(&self, server: &str) -> u32 {
        let on = |r: &&TrackedRequest| r.running.contains(server);
        self.requests.values().filter(on).count() as u32
    }

    fn service_of(&self, server: &str) -> &config::Service {
        &self.doc.services[&self.doc.servers[server].service]
    }

    fn is_draining(&self, server: &str) -> bool {
        let target = config::DrainTarget::Server(server.to_string());
        let drains_at_once = |d: &config::Drain| d.target == target && d.empty_by.is_none();
        let reports_draining = self.reports.get(server).is_some_and(|r| r.draining);
        reports_draining || self.doc.drains.values().any(drains_at_once)
    }
}
