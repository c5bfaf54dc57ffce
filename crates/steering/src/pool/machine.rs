//! State machine of request handling on the owning host.

use std::{collections, sync, time};

use rand::SeedableRng;

use super::{action, capacity, request, service_pool, snapshot};
use crate::{config, model, routing};

/// Time between two checks of the queues while requests wait.
const QUEUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Minimum and maximum of the time after which a client is told to retry.
const RETRY_AFTER_RANGE: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_secs(5),
);

/// Backend servers that one host owns, and the requests that the host sends to them.
#[derive(Debug)]
pub struct Pool {
    doc: sync::Arc<config::Document>,
    host: model::HostId,
    rng: rand_pcg::Pcg64Mcg,
    owned: collections::BTreeSet<model::ServerId>,
    services: collections::BTreeMap<model::ServiceId, service_pool::ServicePool>,
    requests: collections::BTreeMap<model::RequestId, request::Request>,
    hedges: collections::BTreeSet<(model::Time, model::RequestId)>,
    now: model::Time,
}

impl Pool {
    /// Creates the pool of a host that owns no servers yet.  `seed` seeds the random choice among
    /// equally good backend servers.
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

    /// Name of the owning host.
    pub fn host(&self) -> &model::HostId {
        &self.host
    }

    /// Applies a new version of the document.
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

    /// Sets the backend servers that the host owns.  Attempts on servers that it no longer owns run
    /// to their end.
    pub fn set_owned_servers(
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

    /// Accepts or refuses a new request.  A request with an id that the pool already has is ignored.
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

    /// Records the end of an attempt.
    pub fn finished(
        &mut self,
        id: model::RequestId,
        server: &str,
        outcome: routing::AttemptOutcome,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if !req.end_attempt(server) {
            return Vec::new();
        }
        let service = req.service.clone();
        self.free_slot(id, server, outcome);
        let mut actions = self.on_attempt_ended(id, server, outcome);
        actions.extend(self.dispatch(&service));
        actions
    }

    /// Records that the response of an attempt has begun to arrive; the other attempts are
    /// cancelled.
    pub fn response_started(
        &mut self,
        id: model::RequestId,
        server: &str,
        now: model::Time,
    ) -> Vec<action::Action> {
        self.advance(now);
        match self.requests.get_mut(&id) {
            Some(req) if !req.response_started => {
                req.response_started = true;
                cancel_actions(req, server)
            }
            _ => Vec::new(),
        }
    }

    /// Cancels a request on behalf of the HTTP client: a waiting request ends, and the attempts of
    /// a running one are cancelled.
    pub fn cancel(&mut self, id: model::RequestId, now: model::Time) -> Vec<action::Action> {
        self.advance(now);
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        req.cancelled = true;
        if !req.running_servers.is_empty() {
            return cancel_actions(req, "");
        }
        let (service, work) = (req.service.clone(), req.meta.work.clone());
        self.requests.remove(&id);
        if let Some(work) = self.work_mut(&service, &work) {
            work.queue.remove(id);
        }
        vec![not_run(id, model::NotRunReason::Cancelled, None)]
    }

    /// Records a load report of a backend server.
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

    /// Starts or refuses waiting requests and starts the hedged attempts that are due.
    pub fn tick(&mut self, now: model::Time) -> Vec<action::Action> {
        self.advance(now);
        let mut actions = self.dispatch_all();
        actions.extend(self.start_hedges());
        actions
    }

    /// Time of the next call of `tick`, if nothing else happens before.
    pub fn next_wakeup(&self, now: model::Time) -> Option<model::Time> {
        let waiting = self.services.values().any(|s| s.has_waiting());
        let queue_check = waiting.then(|| now + QUEUE_CHECK_INTERVAL);
        let hedge = self.hedges.first().map(|(at, _)| *at);
        queue_check.into_iter().chain(hedge).min()
    }

    /// Capacity of the owned backend servers of a service.
    pub fn capacity(&self, service: &str) -> capacity::Capacity {
        self.services
            .get(service)
            .map(|s| s.capacity(self.now))
            .unwrap_or_default()
    }

    /// State of the pool, for operators.
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
        let mut unserved = Vec::new();
        for (id, service) in &mut self.services {
            service.tick(self.now);
            let ids = service.configure(&self.doc, id, &self.owned, self.now);
            let reason = refusal_reason(service);
            unserved.extend(ids.into_iter().map(|id| (id, reason)));
        }
        unserved
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
        let usable_slots = pool.usable_slots(now);
        let slots = pool.slots_for(&pool.work[&meta.work], now);
        let accepts_requests = pool.accepts_requests(&pool.work[&meta.work], now);
        let work = pool
            .work
            .get_mut(&meta.work)
            .expect("work exists in its service");
        let service_s = work.service_time.mean_s();
        work.demand.record_arrival(service_s, f64::from(slots), now);
        let latest_start = work.latest_start(meta.deadline, now);
        let wait = work.queue_wait(usable_slots);
        if !accepts_requests {
            // The sending host may not know the new owner yet.
            return Err((refusal_reason(pool), Some(RETRY_AFTER_RANGE.1)));
        }
        if meta.deadline <= now || now + wait > latest_start {
            return Err((model::NotRunReason::Deadline, Some(retry_after(wait))));
        }
        work.queue.push(meta.id, latest_start);
        let req = request::Request::new(meta, service.clone(), idempotent);
        self.requests.insert(req.meta.id, req);
        Ok(service)
    }

    /// Refuses the newest waiting requests of queues that exceed their bounds.
    fn trim_queues(&mut self, service: &str) -> Vec<action::Action> {
        let now = self.now;
        let Some(pool) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let usable_slots = pool.usable_slots(now);
        let bounds = pool
            .work
            .iter()
            .map(|(id, work)| {
                (
                    id.clone(),
                    work.cfg
                        .queue_per_slot
                        .saturating_mul(pool.slots_for(work, now)),
                )
            })
            .collect::<Vec<_>>();
        let mut refused = Vec::new();
        for (id, bound) in bounds {
            let Some(work) = pool.work.get_mut(&id) else {
                continue;
            };
            let retry_after = retry_after(work.queue_wait(usable_slots));
            while work.queue.len() > bound as usize {
                refused.extend(work.queue.pop_newest().map(|id| (id, retry_after)));
            }
        }
        refused
            .into_iter()
            .map(|(id, after)| self.refuse(id, model::NotRunReason::QueueFull, Some(after)))
            .collect()
    }

    fn dispatch_all(&mut self) -> Vec<action::Action> {
        let ids = self.services.keys().cloned().collect::<Vec<_>>();
        ids.iter().flat_map(|id| self.dispatch(id)).collect()
    }

    /// Starts waiting requests as long as there are slots, and refuses those that cannot wait any
    /// longer or exceed the bound of their queue.
    fn dispatch(&mut self, service: &str) -> Vec<action::Action> {
        let mut actions = self.refuse_expired(service);
        while let Some(action) = self.start_next(service) {
            actions.push(action);
        }
        actions.extend(self.trim_queues(service));
        actions
    }

    fn refuse_expired(&mut self, service: &str) -> Vec<action::Action> {
        let now = self.now;
        let Some(pool) = self.services.get_mut(service) else {
            return Vec::new();
        };
        pool.tick(now);
        let expired = pool.work.values_mut();
        let expired = expired.flat_map(|work| work.queue.expire(now));
        let expired = expired.collect::<Vec<_>>();
        expired
            .into_iter()
            .map(|id| self.refuse(id, model::NotRunReason::Deadline, Some(RETRY_AFTER_RANGE.0)))
            .collect()
    }

    fn start_next(&mut self, service: &str) -> Option<action::Action> {
        let pool = self.services.get_mut(service)?;
        let now = self.now;
        let rng = &mut self.rng;
        let (work, server) = pool
            .dispatch_candidates(now)
            .into_iter()
            .find_map(|candidate| {
                let server =
                    pool.select_server(&candidate.work, &[], candidate.slot_limits, rng, now)?;
                Some((candidate.work, server))
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
        pool.servers.get_mut(&server)?.record_start(now);
        let work = pool.work.get_mut(&req.meta.work)?;
        work.in_use += 1;
        let hedge_after = work.cfg.hedge_after;
        if req.idempotent && !hedge_after.is_zero() && req.tried_servers.is_empty() {
            self.hedges.insert((now + hedge_after, id));
        }
        Some(action::Action::Start {
            id,
            attempt: req.start_attempt(&server),
            server,
            timeout: req.meta.deadline.saturating_sub(now),
        })
    }

    /// Starts a further attempt, a retry or a hedge, if the request and the retry budget allow it and
    /// no requests wait.
    fn try_retry(&mut self, id: model::RequestId) -> Option<action::Action> {
        let now = self.now;
        let req = self.requests.get(&id)?;
        let pool = self.services.get_mut(&req.service)?;
        if !req.may_retry() || req.meta.deadline <= now || pool.has_waiting() {
            return None;
        }
        let work = &req.meta.work;
        let slot_limits = [routing::SlotLimit::Target];
        let server =
            pool.select_server(work, &req.tried_servers, &slot_limits, &mut self.rng, now)?;
        let is_covered = pool.work.get_mut(work)?.budget.withdraw();
        if is_covered {
            self.start(id, server)
        } else {
            None
        }
    }

    fn start_hedges(&mut self) -> Vec<action::Action> {
        let later = self.hedges.split_off(&(self.now, model::RequestId::MAX));
        let due = std::mem::replace(&mut self.hedges, later);
        due.into_iter()
            .filter_map(|(_, id)| self.try_retry(id))
            .collect()
    }

    fn free_slot(&mut self, id: model::RequestId, server: &str, outcome: routing::AttemptOutcome) {
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
            if let routing::AttemptOutcome::Answered { latency, ok: true } = outcome {
                work.service_time.add(latency);
            }
        }
        if let Some(s) = pool.servers.get_mut(server) {
            s.record_end(outcome, mean, now);
        }
        pool.eject_outliers(now);
    }

    /// Completes, retries or fails a request after the end of an attempt.
    fn on_attempt_ended(
        &mut self,
        id: model::RequestId,
        server: &str,
        outcome: routing::AttemptOutcome,
    ) -> Vec<action::Action> {
        let Some(req) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let is_proven_not_run = matches!(
            outcome,
            routing::AttemptOutcome::Shed | routing::AttemptOutcome::ConnectFailed
        );
        let mut actions = Vec::new();
        if let (routing::AttemptOutcome::Answered { .. }, false) = (outcome, req.ended) {
            req.ended = true;
            let server = server.to_string();
            actions.push(action::Action::Done { id, server });
            actions.extend(cancel_actions(req, ""));
        } else {
            req.may_have_run |= !is_proven_not_run;
        }
        if !req.running_servers.is_empty() {
            return actions;
        }
        if req.ended {
            self.requests.remove(&id);
            return actions;
        }
        let action = match self.try_retry(id) {
            Some(start) => start,
            None => self.fail(id, outcome),
        };
        actions.push(action);
        actions
    }

    fn fail(&mut self, id: model::RequestId, last: routing::AttemptOutcome) -> action::Action {
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
            routing::AttemptOutcome::ConnectFailed => self.refuse(
                id,
                model::NotRunReason::Unreachable,
                Some(RETRY_AFTER_RANGE.0),
            ),
            _ => self.refuse(id, model::NotRunReason::Shed, Some(RETRY_AFTER_RANGE.0)),
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

/// Why a request is refused, and after what time a retry is likely to be accepted.
type Refusal = (model::NotRunReason, Option<time::Duration>);

/// Why a service without slots refuses requests.  If this host owns no server of the service,
/// another host does.
fn refusal_reason(pool: &service_pool::ServicePool) -> model::NotRunReason {
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
    wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}

/// Actions that cancel the running attempts, except the one on `winner`.
fn cancel_actions(req: &request::Request, winner: &str) -> Vec<action::Action> {
    let id = req.meta.id;
    let others = req
        .running_servers
        .iter()
        .filter(|server| *server != winner);
    others
        .map(|server| action::Action::Cancel {
            id,
            server: server.clone(),
        })
        .collect()
}
