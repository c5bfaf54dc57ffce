//! A pool whose every action is checked against the promises.

use std::{collections, sync, time};

use yuccatide_steering::{config, model, pool};

/// What the checker knows of a request.
#[derive(Debug, Default)]
struct Known {
    work: model::WorkId,
    running: collections::BTreeSet<model::ServerId>,
    attempts: u32,
    may_have_run: bool,
    ended: bool,
}

/// A pool under check.
#[derive(Debug)]
pub struct CheckedPool {
    pub pool: pool::Pool,
    pub doc: config::Document,
    pub now: model::Time,
    owned: collections::BTreeSet<model::ServerId>,
    reports: collections::BTreeMap<model::ServerId, pool::LoadReport>,
    requests: collections::BTreeMap<model::RequestId, Known>,
    first: collections::BTreeMap<model::WorkId, u32>,
    further: collections::BTreeMap<model::WorkId, u32>,
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
            first: collections::BTreeMap::new(),
            further: collections::BTreeMap::new(),
        }
    }

    pub fn own(&mut self, owned: collections::BTreeSet<model::ServerId>) {
        self.owned = owned.clone();
        let actions = self.pool.set_owned(owned, self.now);
        self.check(actions);
    }

    pub fn configure(&mut self, doc: config::Document) {
        assert_eq!(config::check(&doc), []);
        self.doc = doc.clone();
        let actions = self.pool.set_document(sync::Arc::new(doc), self.now);
        self.check(actions);
    }

    pub fn advance(&mut self, step: time::Duration) {
        self.now += step;
        let actions = self.pool.tick(self.now);
        self.check(actions);
    }

    pub fn submit(&mut self, work: &str, deadline: time::Duration) {
        let id = self.requests.len() as u128;
        let known = Known {
            work: work.to_string(),
            ..Known::default()
        };
        self.requests.insert(id, known);
        let meta = super::request(id, work, self.now + deadline);
        let actions = self.pool.submit(meta, self.now);
        self.check(actions);
    }

    /// Ends the running attempt number `nth`, counted modulo their number.
    pub fn finish(&mut self, nth: usize, finish: pool::AttemptOutcome) {
        let Some((id, server)) = self.running_attempt(nth) else {
            return;
        };
        let proven = matches!(
            finish,
            pool::AttemptOutcome::Shed | pool::AttemptOutcome::ConnectFailed
        );
        let answered = matches!(finish, pool::AttemptOutcome::Answered { .. });
        let known = self.requests.get_mut(&id).unwrap();
        known.running.remove(&server);
        known.may_have_run |= !proven && !answered;
        let actions = self.pool.finished(id, &server, finish, self.now);
        let done = pool::Action::Done { id, server };
        assert!(known.ended || !answered || actions.contains(&done));
        self.check(actions);
    }

    pub fn respond(&mut self, nth: usize) {
        if let Some((id, server)) = self.running_attempt(nth) {
            let actions = self.pool.response_started(id, &server, self.now);
            self.check(actions);
        }
    }

    /// Cancels the request number `nth` among those without an end, modulo their number.
    pub fn cancel(&mut self, nth: usize) {
        let open = self.requests.iter().filter(|(_, r)| !r.ended);
        let open = open.map(|(id, _)| *id).collect::<Vec<_>>();
        if !open.is_empty() {
            let actions = self.pool.cancel(open[nth % open.len()], self.now);
            self.check(actions);
        }
    }

    pub fn report(&mut self, server: &str, report: pool::LoadReport) {
        let max_age = self.service_of(server).report_max_age;
        let last = self.reports.get(server);
        let newer = last.is_none_or(|r| report.at > r.at) && report.at + max_age >= self.now;
        if newer && self.owned.contains(server) {
            self.reports.insert(server.to_string(), report.clone());
        }
        let actions = self.pool.report(server, report, self.now);
        self.check(actions);
    }

    /// Lets everything come to its end and checks that each request has one.
    pub fn wind_up(&mut self) {
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
        assert_eq!(open.count(), 0, "requests without an end");
    }

    /// Checks what must hold between any two events.
    pub fn check_state(&self) {
        for (service, cfg) in &self.doc.services {
            let capacity = self.pool.capacity(service);
            let on_service = self
                .doc
                .servers
                .iter()
                .filter(|(_, s)| &s.service == service);
            let running = on_service.map(|(id, _)| self.running_on(id)).sum::<u32>();
            assert_eq!(capacity.in_use, running);
            assert!(capacity.usable_slots <= f64::from(capacity.slots) * cfg.target_use + 1e-9);
            for (work, queued) in &capacity.queued {
                let bound = self.doc.work[work].queue_per_slot * capacity.slots;
                assert!(*queued <= bound, "{work}: {queued} wait, above {bound}");
            }
        }
        for (work, further) in &self.further {
            let share = self.doc.work[work].retry_share;
            let first = f64::from(self.first.get(work).copied().unwrap_or(0));
            assert!(
                f64::from(*further) <= share * first + 1e-9,
                "{work}: {further} retries"
            );
        }
    }

    fn check(&mut self, actions: Vec<pool::Action>) {
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
                    let known = &self.requests[&id];
                    let not_run = outcome == model::Outcome::NotRun;
                    let proven = !known.may_have_run && known.running.is_empty();
                    assert!(!not_run || proven, "said not run without proof");
                    assert_eq!(not_run, reason.is_some());
                    self.end(id);
                }
            }
        }
    }

    fn check_start(&mut self, id: model::RequestId, server: &str, attempt: u32) {
        assert!(self.owned.contains(server), "{server} is not owned");
        assert!(!self.is_leaving(server), "{server} is leaving");
        let service = self.service_of(server);
        let running = self.running_on(server);
        assert!(running < service.slots, "no slot on {server}");
        assert!(running < service.connections, "no connection to {server}");
        let known = self.requests.get_mut(&id).unwrap();
        assert!(!known.ended, "started after its end");
        let idempotent = self.doc.work[&known.work].idempotent;
        let proven = !known.may_have_run && known.running.is_empty();
        assert!(idempotent || proven, "non-idempotent work started twice");
        known.attempts += 1;
        assert_eq!(known.attempts, attempt);
        assert!(known.running.insert(server.to_string()));
        let counts = match attempt {
            1 => &mut self.first,
            _ => &mut self.further,
        };
        *counts.entry(known.work.clone()).or_default() += 1;
    }

    fn end(&mut self, id: model::RequestId) {
        let known = self.requests.get_mut(&id).unwrap();
        assert!(!known.ended, "ended twice");
        known.ended = true;
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
        let on = |r: &&Known| r.running.contains(server);
        self.requests.values().filter(on).count() as u32
    }

    fn service_of(&self, server: &str) -> &config::Service {
        &self.doc.services[&self.doc.servers[server].service]
    }

    fn is_leaving(&self, server: &str) -> bool {
        let target = config::DrainTarget::Server(server.to_string());
        let ordered = |d: &config::Drain| d.target == target && d.empty_by.is_none();
        let reported = self.reports.get(server).is_some_and(|r| r.draining);
        reported || self.doc.drains.values().any(ordered)
    }
}
