//! The state machine of the owner's side.

use std::{collections, sync, time};

use rand::SeedableRng;

use super::{action, attempts, capacity, service_pool, snapshot};
use crate::{config, model, routing};

/// Time between two looks at the queues while requests wait.
const QUEUE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Shortest and longest advice for another try.
const RETRY_AFTER: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_secs(5),
);

/// Backend servers that one host owns, and the requests that it sends to them.
#[derive(Debug)]
pub struct Pool {
    doc: sync::Arc<config::Document>,
    host: model::HostId,
    rng: rand_pcg::Pcg64Mcg,
    owned: collections::BTreeSet<model::ServerId>,
    services: collections::BTreeMap<model::ServiceId, service_pool::ServicePool>,
    requests: collections::BTreeMap<model::RequestId, attempts::Request>,
    hedges: collections::BTreeSet<(model::Time, model::RequestId)>,
    now: model::Time,
}

impl Pool {
    /// A pool of a host that owns nothing yet; `seed` decides among equal backend servers.
    pub fn new(
        doc: sync::Arc<config::Document>,
        host: impl Into<model::HostId>,
        seed: u64,
        now: model::Time,
    ) -> Pool {
        let mut pool = Pool {
            doc,
            host: host.into(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            owned: collections::BTreeSet::new(),
            services: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            hedges: collections::BTreeSet::new(),
            now,
        };
        pool.configure();
        pool
    }

    /// Name of the host.
    pub fn host(&self) -> &model::HostId {
        &self.host
    }

    /// Takes a new version of the document.
    pub fn set_document(
        &mut self,
        doc: sync::Arc<config::Document>,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        self.doc = doc;
        let mut actions = self.configure();
        actions.extend(self.dispatch_all());
        actions
    }

    /// Sets the backend servers that the host owns.  What runs on others is finished there.
    pub fn set_owned(
        &mut self,
        owned: collections::BTreeSet<model::ServerId>,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        self.owned = owned;
        let mut actions = self.configure();
        actions.extend(self.dispatch_all());
        actions
    }

    /// Takes a request; its id must not be known yet.
    pub fn submit(&mut self, meta: model::RequestMeta, now: model::Time) -> Vec<action::Action> {
        self.advance(now);
        let id = meta.id;
        if self.requests.contains_key(&id) {
            return Vec::new();
        }
        match self.enqueue(meta) {
            Ok(service) => self.dispatch(&service),
            Err((reason, retry_after)) => vec![not_run(id, reason, retry_after)],
        }
    }

    /// Takes the end of an attempt.
    pub fn finished(
        &mut self,
        id: model::RequestId,
        server: &str,
        finish: routing::AttemptOutcome,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if !req.finish(server) {
            return Vec::new();
        }
        let service = req.service.clone();
        self.free_slot(id, server, finish);
        let mut actions = self.settle(id, server, finish);
        actions.extend(self.dispatch(&service));
        actions
    }

    /// Takes note that the answer of an attempt has begun to arrive: others are cancelled.
    pub fn response_started(
        &mut self,
        id: model::RequestId,
        server: &str,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        match self.requests.get_mut(&id) {
            Some(req) if !req.responding => {
                req.responding = true;
                cancels(req, server)
            }
            _ => Vec::new(),
        }
    }

    /// The caller has given up: a waiting request ends, a running one is cancelled.
    pub fn cancel(&mut self, id: model::RequestId, now: model::Time) -> Vec<action::Action> {
        self.advance(now);
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        req.cancelled = true;
        if !req.running.is_empty() {
            return cancels(req, "");
        }
        let (service, work) = (req.service.clone(), req.meta.work.clone());
        self.requests.remove(&id);
        if let Some(work) = self.work_mut(&service, &work) {
            work.queue.remove(id);
        }
        vec![not_run(id, model::NotRunReason::Cancelled, None)]
    }

    /// Takes a load report of a backend server.
    pub fn report(
        &mut self,
        server: &str,
        report: routing::LoadReport,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        for service in self.services.values_mut() {
            service.tick(self.now);
            if let Some(s) = service.servers.get_mut(server) {
                s.record_report(report.clone(), now);
            }
        }
        self.dispatch_all()
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: model::Time) -> Vec<action::Action> {
        self.advance(now);
        let mut actions = self.dispatch_all();
        actions.extend(self.hedge());
        actions
    }

    /// When `tick` is to be called next, if nothing else happens before.
    pub fn next_wakeup(&self, now: model::Time) -> Option<model::Time> {
        let waiting = self.services.values().any(|s| s.is_overloaded());
        let look = waiting.then(|| now + QUEUE_INTERVAL);
        let hedge = self.hedges.first().map(|(at, _)| *at);
        look.into_iter().chain(hedge).min()
    }

    /// Capacity of the owned backend servers of a service.
    pub fn capacity(&self, service: &str) -> capacity::Capacity {
        self.services
            .get(service)
            .map(|s| s.capacity(self.now))
            .unwrap_or_default()
    }

    /// State for operators.
    pub fn snapshot(&self) -> snapshot::PoolSnapshot {
        let services = self.services.iter();
        let services = services.filter(|(_, s)| !s.servers.is_empty());
        snapshot::PoolSnapshot {
            version: self.doc.version,
            services: services
                .map(|(id, s)| (id.clone(), s.snapshot(self.now)))
                .collect(),
        }
    }

    fn advance(&mut self, now: model::Time) {
        self.now = self.now.max(now);
    }

    fn configure(&mut self) -> Vec<action::Action> {
        for (id, service) in &self.doc.services {
            self.services
                .entry(id.clone())
                .or_insert_with(|| service_pool::ServicePool::new(service));
        }
        let mut orphans = Vec::new();
        for (id, service) in &mut self.services {
            service.tick(self.now);
            let ids = service.configure(&self.doc, id, &self.owned, self.now);
            let reason = orphan_reason(service);
            orphans.extend(ids.into_iter().map(|id| (id, reason)));
        }
        orphans
            .into_iter()
            .map(|(id, reason)| self.refuse(id, reason, None))
            .collect()
    }

    fn enqueue(&mut self, meta: model::RequestMeta) -> Result<model::ServiceId, Refusal> {
        let now = self.now;
        let cfg = self.doc.work.get(&meta.work);
        let (service, idempotent) = cfg
            .map(|cfg| (cfg.service.clone(), cfg.idempotent))
            .ok_or((model::NotRunReason::NoCapacity, None))?;
        let pool = self
            .services
            .get_mut(&service)
            .ok_or((model::NotRunReason::NoCapacity, None))?;
        pool.tick(now);
        let usable = pool.usable(now);
        let slots = pool.slots_for(&pool.work[&meta.work], now);
        let takes_work = pool.takes_work(&pool.work[&meta.work], now);
        let work = pool.work.get_mut(&meta.work).expect("it was just found");
        let service_s = work.service_time.mean_s();
        work.demand.record_arrival(service_s, f64::from(slots), now);
        let start_by = work.start_by(meta.deadline, now);
        let wait = work.wait(usable);
        if !takes_work {
            // Whoever sent the request may not know the new owner yet.
            return Err((orphan_reason(pool), Some(RETRY_AFTER.1)));
        }
        if meta.deadline <= now || now + wait > start_by {
            return Err((model::NotRunReason::Deadline, Some(retry_after(wait))));
        }
        work.queue.push(meta.id, start_by);
        let req = attempts::Request::new(meta, service.clone(), idempotent);
        self.requests.insert(req.meta.id, req);
        Ok(service)
    }

    /// Refuses the newest waiting requests beyond the bounds of the queues.
    fn trim(&mut self, service: &str) -> Vec<action::Action> {
        let now = self.now;
        let Some(pool) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let usable = pool.usable(now);
        let bounds = pool
            .work
            .iter()
            .map(|(id, work)| {
                (
                    id.clone(),
                    work.cfg.queue_per_slot * pool.slots_for(work, now),
                )
            })
            .collect::<Vec<_>>();
        let mut refused = Vec::new();
        for (id, bound) in bounds {
            let Some(work) = pool.work.get_mut(&id) else {
                continue;
            };
            let retry_after = retry_after(work.wait(usable));
            while work.queue.len() > bound as usize {
                refused.extend(work.queue.pop_newest().map(|id| (id, retry_after)));
            }
        }
        refused
            .into_iter()
            .map(|(id, wait)| self.refuse(id, model::NotRunReason::QueueFull, Some(wait)))
            .collect()
    }

    fn dispatch_all(&mut self) -> Vec<action::Action> {
        let ids = self.services.keys().cloned().collect::<Vec<_>>();
        ids.iter().flat_map(|id| self.dispatch(id)).collect()
    }

    /// Starts waiting requests as long as there are slots, and refuses those that cannot wait.
    fn dispatch(&mut self, service: &str) -> Vec<action::Action> {
        let mut actions = self.expire(service);
        while let Some(action) = self.start_next(service) {
            actions.push(action);
        }
        actions.extend(self.trim(service));
        actions
    }

    fn expire(&mut self, service: &str) -> Vec<action::Action> {
        let now = self.now;
        let Some(pool) = self.services.get_mut(service) else {
            return Vec::new();
        };
        pool.tick(now);
        let late = pool.work.values_mut();
        let late = late.flat_map(|work| work.queue.expire(now));
        let late = late.collect::<Vec<_>>();
        late.into_iter()
            .map(|id| self.refuse(id, model::NotRunReason::Deadline, Some(RETRY_AFTER.0)))
            .collect()
    }

    fn start_next(&mut self, service: &str) -> Option<action::Action> {
        let pool = self.services.get_mut(service)?;
        let now = self.now;
        let rng = &mut self.rng;
        let (work, server) = pool.turns(now).into_iter().find_map(|turn| {
            let server = pool.choose(&turn.work, &[], turn.rooms, rng, now)?;
            Some((turn.work, server))
        })?;
        let work = pool.work.get_mut(&work)?;
        let id = work.queue.pop()?;
        work.budget.deposit(work.cfg.retry_share);
        self.start(id, server)
    }

    fn start(&mut self, id: model::RequestId, server: model::ServerId) -> Option<action::Action> {
        let now = self.now;
        let req = self.requests.get_mut(&id)?;
        let pool = self.services.get_mut(&req.service)?;
        pool.servers.get_mut(&server)?.start(now);
        let work = pool.work.get_mut(&req.meta.work)?;
        work.in_use += 1;
        let hedge_after = work.cfg.hedge_after;
        if req.idempotent && !hedge_after.is_zero() && req.tried.is_empty() {
            self.hedges.insert((now + hedge_after, id));
        }
        Some(action::Action::Start {
            id,
            attempt: req.start(&server),
            server,
            timeout: req.meta.deadline.saturating_sub(now),
        })
    }

    /// Starts a further attempt within the budget, never in overload.
    fn start_again(&mut self, id: model::RequestId) -> Option<action::Action> {
        let now = self.now;
        let req = self.requests.get(&id)?;
        let pool = self.services.get_mut(&req.service)?;
        if !req.may_start_again() || req.meta.deadline <= now || pool.is_overloaded() {
            return None;
        }
        let work = &req.meta.work;
        let rooms = [routing::SlotLimit::Target];
        let server = pool.choose(work, &req.tried, &rooms, &mut self.rng, now)?;
        let covered = pool.work.get_mut(work)?.budget.withdraw();
        if covered {
            self.start(id, server)
        } else {
            None
        }
    }

    fn hedge(&mut self) -> Vec<action::Action> {
        let later = self.hedges.split_off(&(self.now, model::RequestId::MAX));
        let due = std::mem::replace(&mut self.hedges, later);
        due.into_iter()
            .filter_map(|(_, id)| self.start_again(id))
            .collect()
    }

    fn free_slot(&mut self, id: model::RequestId, server: &str, finish: routing::AttemptOutcome) {
        let now = self.now;
        let req = &self.requests[&id];
        let Some(pool) = self.services.get_mut(&req.service) else {
            return;
        };
        pool.tick(now);
        let work = pool.work.get_mut(&req.meta.work);
        let mean = work.as_ref().and_then(|work| work.service_time.mean());
        if let Some(work) = work {
            work.in_use = work.in_use.saturating_sub(1);
            if let routing::AttemptOutcome::Answered { latency, ok: true } = finish {
                work.service_time.add(latency);
            }
        }
        if let Some(s) = pool.servers.get_mut(server) {
            s.finish(finish, mean, now);
        }
        pool.eject_outliers(now);
    }

    /// Decides what becomes of a request after the end of an attempt.
    fn settle(
        &mut self,
        id: model::RequestId,
        server: &str,
        finish: routing::AttemptOutcome,
    ) -> Vec<action::Action> {
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let proven = matches!(
            finish,
            routing::AttemptOutcome::Shed | routing::AttemptOutcome::ConnectFailed
        );
        let mut actions = Vec::new();
        if let (routing::AttemptOutcome::Answered { .. }, false) = (finish, req.ended) {
            req.ended = true;
            let server = server.to_string();
            actions.push(action::Action::Done { id, server });
            actions.extend(cancels(req, ""));
        } else {
            req.may_have_run |= !proven;
        }
        if !req.running.is_empty() {
            return actions;
        }
        if req.ended {
            self.requests.remove(&id);
            return actions;
        }
        let action = match self.start_again(id) {
            Some(start) => start,
            None => self.give_up(id, finish),
        };
        actions.push(action);
        actions
    }

    fn give_up(&mut self, id: model::RequestId, last: routing::AttemptOutcome) -> action::Action {
        let may_have_run = self.requests[&id].may_have_run;
        match last {
            _ if may_have_run => {
                self.requests.remove(&id);
                action::Action::Fail {
                    id,
                    outcome: model::Outcome::Unknown,
                    reason: None,
                    retry_after: None,
                }
            }
            routing::AttemptOutcome::ConnectFailed => {
                self.refuse(id, model::NotRunReason::Unreachable, Some(RETRY_AFTER.0))
            }
            _ => self.refuse(id, model::NotRunReason::Shed, Some(RETRY_AFTER.0)),
        }
    }

    fn refuse(
        &mut self,
        id: model::RequestId,
        reason: model::NotRunReason,
        retry_after: Option<time::Duration>,
    ) -> action::Action {
        self.requests.remove(&id);
        not_run(id, reason, retry_after)
    }

    fn work_mut(&mut self, service: &str, work: &str) -> Option<&mut super::work_state::WorkState> {
        self.services.get_mut(service)?.work.get_mut(work)
    }
}

/// Why a request is not taken, and when another try is likely to be.
type Refusal = (model::NotRunReason, Option<time::Duration>);

/// Why a service without slots takes nothing: where the host owns no server of it, another host
/// does.
fn orphan_reason(pool: &service_pool::ServicePool) -> model::NotRunReason {
    match pool.owns_any() {
        true => model::NotRunReason::NoCapacity,
        false => model::NotRunReason::NotReady,
    }
}

fn not_run(
    id: model::RequestId,
    reason: model::NotRunReason,
    retry_after: Option<time::Duration>,
) -> action::Action {
    action::Action::Fail {
        id,
        outcome: model::Outcome::NotRun,
        reason: Some(reason),
        retry_after,
    }
}

fn retry_after(wait: time::Duration) -> time::Duration {
    wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}

/// Cancels the running attempts but that on `winner`.
fn cancels(req: &attempts::Request, winner: &str) -> Vec<action::Action> {
    let id = req.meta.id;
    let losers = req.running.iter().filter(|server| *server != winner);
    losers
        .map(|server| action::Action::Cancel {
            id,
            server: server.clone(),
        })
        .collect()
}
