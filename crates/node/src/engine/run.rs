//! A request on its way through this host.

use std::{collections, sync, time};

use futures::{StreamExt, future, stream};
use tokio::sync::mpsc;
use yuccatide_steering::{model, pool, steer};

use super::{attempt, engine, state};
use crate::{peer, request, telemetry::traces};

/// Pauses before a request is routed again; by the last one all hosts of a data centre know each
/// other's changes.
const ROUTE_PAUSES: [time::Duration; 5] = [
    time::Duration::from_millis(10),
    time::Duration::from_millis(40),
    time::Duration::from_millis(160),
    time::Duration::from_millis(320),
    time::Duration::from_millis(640),
];

impl engine::Engine {
    /// Carries a request to its answer.  Dropping the future cancels the request.
    pub async fn run(self: &sync::Arc<engine::Engine>, job: request::Job) -> request::Answer {
        match job.meta.key {
            Some(_) => self.run_once(job).await,
            None => self.run_steered(job).await,
        }
    }

    /// Takes a request that another host carried here.
    pub async fn on_forward(
        self: &sync::Arc<engine::Engine>,
        req: peer::generated::ForwardRequest,
    ) -> Result<peer::generated::ForwardAnswer, tonic::Status> {
        let refused = |e: peer::Error| tonic::Status::failed_precondition(e.to_string());
        let from = req.from.clone();
        let (job, purpose, grant) = peer::job_from_wire(req, self.now()).map_err(refused)?;
        let id = job.meta.id;
        let answer = match purpose {
            peer::Purpose::Home if !self.is_home(&job) => {
                let message = "this process is not the home of the key";
                return Err(tonic::Status::failed_precondition(message));
            }
            peer::Purpose::Home => self.run_once(job).await,
            peer::Purpose::Run => self.run_accepted(job, &from, &grant).await?,
        };
        Ok(peer::answer_to_wire(id, answer))
    }

    /// Runs a request that another host routed to this one, if it may.
    async fn run_accepted(
        &self,
        job: request::Job,
        from: &str,
        grant: &[u8],
    ) -> Result<request::Answer, tonic::Status> {
        let malformed = |e: postcard::Error| tonic::Status::failed_precondition(e.to_string());
        let grant = match grant {
            [] => None,
            bytes => Some(postcard::from_bytes(bytes).map_err(malformed)?),
        };
        let now = self.now();
        let accepted = match &mut self.lock().active {
            Some(active) => active.steer.accept_remote(&job.meta, from, grant, now),
            None => Err(model::NotRunReason::NotReady),
        };
        accepted.map_err(|reason| tonic::Status::failed_precondition(reason.as_str()))?;
        let mut routed = Routed::new(self, job.meta.id);
        let answer = self.run_here(job).await;
        routed.note(&answer);
        Ok(answer)
    }

    fn is_home(&self, job: &request::Job) -> bool {
        job.meta
            .key
            .as_ref()
            .is_some_and(|key| key.home == self.me.host && key.incarnation == self.me.incarnation)
    }

    /// Runs a request where the decisions send it.  It is routed again where the first host is
    /// proven not to have run it, or where the work is idempotent and the budget allows.
    pub(super) async fn run_steered(&self, job: request::Job) -> request::Answer {
        let mut failure = None;
        for pause in ROUTE_PAUSES {
            let e = match self.run_routed(&job).await {
                Ok(answer) => return after(failure, answer),
                Err(e) => e,
            };
            let known = after(failure, failed(&e));
            if pause >= job.left(self.now()) || !self.may_route_again(&job, &e) {
                return known;
            }
            failure = Some(known);
            tokio::time::sleep(pause).await;
        }
        let last = self.run_routed(&job).await;
        after(failure, last.unwrap_or_else(|e| failed(&e)))
    }

    async fn run_routed(&self, job: &request::Job) -> Result<request::Answer, peer::Error> {
        let route = match self.route(job) {
            Some(route) => route,
            None => return Ok(request::Answer::not_run(model::NotRunReason::NotReady)),
        };
        let (host, grant) = match route {
            steer::Route::NotRun(reason) => return Ok(request::Answer::not_run(reason)),
            steer::Route::Local => {
                let mut routed = Routed::new(self, job.meta.id);
                let answer = self.run_here(job.clone()).await;
                routed.note(&answer);
                return still_owned(answer);
            }
            steer::Route::Remote { host, grant, .. } => (host, grant),
        };
        let mut routed = Routed::new(self, job.meta.id);
        let grant = grant.map_or_else(Vec::new, |id| {
            postcard::to_stdvec(&id).expect("a grant's number has an encoding")
        });
        let answer = self.forward(job, &host, peer::Purpose::Run, grant).await;
        if let Ok(answer) = &answer {
            routed.note(answer);
        }
        answer.and_then(still_owned)
    }

    fn route(&self, job: &request::Job) -> Option<steer::Route> {
        let now = self.now();
        let mut state = self.lock();
        let active = state.active.as_mut()?;
        let share = active.doc.work.get(&job.meta.work)?.retry_share;
        let budget = active.budgets.entry(job.meta.work.clone()).or_default();
        budget.deposit(share);
        Some(active.steer.route(&job.meta, now))
    }

    fn may_route_again(&self, job: &request::Job, e: &peer::Error) -> bool {
        if job.meta.deadline <= self.now() {
            return false;
        }
        // What was proven not to have run took nothing from a backend server.
        if e.is_not_run() {
            return true;
        }
        let mut state = self.lock();
        let Some(active) = &mut state.active else {
            return false;
        };
        let work = active.doc.work.get(&job.meta.work);
        let idempotent = work.is_some_and(|work| work.idempotent);
        let budget = active.budgets.entry(job.meta.work.clone()).or_default();
        idempotent && budget.withdraw()
    }

    /// Carries a request to another host and reads its answer.
    pub(super) async fn forward(
        &self,
        job: &request::Job,
        to: &str,
        purpose: peer::Purpose,
        grant: Vec<u8>,
    ) -> Result<request::Answer, peer::Error> {
        let unknown = || peer::Error::Connect(format!("host {to} is not known"));
        let address = self.peer_address(to).ok_or_else(unknown)?;
        let now = self.now();
        let span = traces::span("peer host", job.traceparent.as_deref());
        let job = request::Job {
            traceparent: traces::traceparent(&span),
            ..job.clone()
        };
        let req = peer::job_to_wire(&job, purpose, grant, now)?;
        let answer = self.links.forward(address, req, job.left(now)).await?;
        peer::answer_from_wire(job.meta.id, answer)
    }

    /// Runs a request on a backend server that this host owns.
    pub(super) async fn run_here(&self, job: request::Job) -> request::Answer {
        let (tx, mut rx) = mpsc::unbounded_channel();
        if !self.offer(&job, tx) {
            return request::Answer::not_run(model::NotRunReason::NotReady);
        }
        let mut run = Run::new(self, job.meta.id);
        let mut attempts = stream::FuturesUnordered::new();
        loop {
            tokio::select! {
                Some(action) = rx.recv() => match action {
                    pool::Action::Start { server, timeout, .. } => {
                        let (handle, registration) = future::AbortHandle::new_pair();
                        run.running.insert(server.clone(), handle);
                        let sent = self.attempt(&job, server.clone(), timeout);
                        let sent = future::Abortable::new(sent, registration);
                        attempts.push(async move { (server, sent.await) });
                    }
                    pool::Action::Cancel { server, .. } => {
                        run.running.get(&server).inspect(|handle| handle.abort());
                    }
                    pool::Action::Done { server, .. } => {
                        return run.answer(&server);
                    }
                    pool::Action::Fail { outcome, reason, retry_after, .. } => {
                        return failure(outcome, reason).with_retry_after(retry_after);
                    }
                },
                Some((server, sent)) = attempts.next() => {
                    let ended = sent.unwrap_or(attempt::Ended {
                        server,
                        finish: pool::AttemptOutcome::Cancelled,
                        answer: None,
                    });
                    run.ended(ended);
                }
                else => return request::Answer::unknown("server"),
            }
        }
    }

    fn offer(&self, job: &request::Job, tx: state::RunSender) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if state.active.is_none() {
            return false;
        }
        state.runs.insert(job.meta.id, tx);
        state.with_pool(|pool| pool.submit(job.meta.clone(), now));
        true
    }
}

/// Answer to a request that another host did not answer.
fn failed(e: &peer::Error) -> request::Answer {
    match e.is_not_run() {
        true => request::Answer::not_run(model::NotRunReason::Unreachable),
        false => request::Answer::unknown("host"),
    }
}

/// The answer after a failure and what came after it: a request that may have run stays so until
/// a whole answer comes.
fn after(failure: Option<request::Answer>, answer: request::Answer) -> request::Answer {
    let not_run = answer.outcome == model::Outcome::NotRun;
    failure
        .filter(|f| not_run && f.outcome == model::Outcome::Unknown)
        .unwrap_or(answer)
}

/// A host that lost its backend servers to another one refuses what still waits for them.
fn still_owned(answer: request::Answer) -> Result<request::Answer, peer::Error> {
    let reason = model::NotRunReason::NotReady.as_str();
    match answer.outcome == model::Outcome::NotRun && answer.reason.as_deref() == Some(reason) {
        true => Err(peer::Error::Refused(reason.to_string())),
        false => Ok(answer),
    }
}

/// A request that steering counts; dropping it tells steering that the request has ended.
struct Routed<'a> {
    engine: &'a engine::Engine,
    id: model::RequestId,
    finish: steer::Completion,
}

impl Routed<'_> {
    fn new(engine: &engine::Engine, id: model::RequestId) -> Routed<'_> {
        Routed {
            engine,
            id,
            finish: steer::Completion::default(),
        }
    }

    fn note(&mut self, answer: &request::Answer) {
        self.finish.slot_time = answer.slot_time;
        self.finish.response_bytes = answer.body.len() as u64;
    }
}

impl Drop for Routed<'_> {
    fn drop(&mut self) {
        let now = self.engine.now();
        if let Some(active) = &mut self.engine.lock().active {
            active.steer.finished(self.id, self.finish, now);
        }
    }
}

fn failure(outcome: model::Outcome, reason: Option<model::NotRunReason>) -> request::Answer {
    match (outcome, reason) {
        (model::Outcome::NotRun, Some(reason)) => request::Answer::not_run(reason),
        _ => request::Answer::unknown("server"),
    }
}

/// A request in the pool; dropping it tells the pool that the request has ended.
struct Run<'a> {
    engine: &'a engine::Engine,
    id: model::RequestId,
    running: collections::BTreeMap<model::ServerId, future::AbortHandle>,
    answers: collections::BTreeMap<model::ServerId, request::Answer>,
}

impl Run<'_> {
    fn new(engine: &engine::Engine, id: model::RequestId) -> Run<'_> {
        Run {
            engine,
            id,
            running: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
        }
    }

    fn ended(&mut self, ended: attempt::Ended) {
        self.running.remove(&ended.server);
        if let Some(answer) = ended.answer {
            self.answers.insert(ended.server.clone(), answer);
        }
        self.finished(&ended.server, ended.finish);
    }

    fn finished(&self, server: &str, finish: pool::AttemptOutcome) {
        let now = self.engine.now();
        let id = self.id;
        self.engine
            .lock()
            .with_pool(|pool| pool.finished(id, server, finish, now));
    }

    fn answer(&mut self, server: &str) -> request::Answer {
        self.answers
            .remove(server)
            .unwrap_or_else(|| request::Answer::unknown("server"))
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let now = self.engine.now();
        {
            let mut state = self.engine.lock();
            state.runs.remove(&self.id);
            state.with_pool(|pool| pool.cancel(self.id, now));
        }
        for server in std::mem::take(&mut self.running).into_keys() {
            self.finished(&server, pool::AttemptOutcome::Cancelled);
        }
    }
}
