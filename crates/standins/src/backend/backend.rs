//! The backend server.

use std::{io, net, sync, time};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::Semaphore;

use super::{load, run, state};
use crate::serve;

const NOT_RUN: &str = "x-yuccatide-not-run";
const REQUEST_ID: &str = "x-yuccatide-request-id";
const DEADLINE_MS: &str = "x-yuccatide-deadline-ms";
const RANK: &str = "x-yuccatide-rank";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const SERVER: &str = "x-yuccatide-server";

/// Size and speed of a backend server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name that its answers carry.
    pub name: String,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests that may wait for a slot; more are shed.
    pub backlog: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time that a run takes with warm caches.
    pub service_time: time::Duration,
    /// Time that a run takes longer with cold caches.
    pub cold_extra: time::Duration,
    /// Number of first runs with cold caches.
    pub cold_runs: u32,
    /// Length to which answers are filled up, in bytes.
    pub answer_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: "backend".to_string(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 4,
            backlog: 2,
            connections: 400,
            service_time: time::Duration::from_millis(5),
            cold_extra: time::Duration::ZERO,
            cold_runs: 0,
            answer_bytes: 0,
        }
    }
}

/// A running backend server.
///
/// It answers with the request's path, a line feed and the request's body.
pub struct Backend {
    shared: Shared,
    server: serve::Server,
}

#[derive(Clone)]
struct Shared {
    cfg: sync::Arc<Config>,
    state: sync::Arc<sync::Mutex<state::State>>,
    slots: sync::Arc<Semaphore>,
}

impl Backend {
    /// Starts a backend server.
    pub async fn start(cfg: Config) -> io::Result<Backend> {
        let shared = Shared {
            state: sync::Arc::new(sync::Mutex::new(state::State {
                in_use: 0,
                peak_in_use: 0,
                waiting: 0,
                sheds: 0,
                cold_runs: cfg.cold_runs,
                service_time: cfg.service_time,
                healthy: true,
                draining: false,
                shedding: false,
                report_lag: time::Duration::ZERO,
                false_report: None,
                last_report: None,
                crossed_answers: 0,
                truncated_answers: 0,
                lost_answers: 0,
                invalid_statuses: 0,
                runs: Vec::new(),
            })),
            slots: sync::Arc::new(Semaphore::new(cfg.slots as usize)),
            cfg: sync::Arc::new(cfg),
        };
        let (address, limit) = (shared.cfg.address, shared.cfg.connections as usize);
        let handler = {
            let shared = shared.clone();
            move |req| handle(shared.clone(), req)
        };
        let server = serve::Server::start(address, limit, handler).await?;
        Ok(Backend { shared, server })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Name that its answers carry.
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Sets the time that later runs take with warm caches.
    pub fn set_service_time(&self, service_time: time::Duration) {
        self.shared.lock().service_time = service_time;
    }

    /// Sets whether it says that it can serve.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.lock().healthy = healthy;
    }

    /// Sets whether it says that it is about to leave; it runs what it gets all the same.
    pub fn set_draining(&self, draining: bool) {
        self.shared.lock().draining = draining;
    }

    /// Sets whether it sheds every request.
    pub fn set_shedding(&self, shedding: bool) {
        self.shared.lock().shedding = shedding;
    }

    /// Sets the age up to which a load report is repeated.
    pub fn set_report_lag(&self, lag: time::Duration) {
        self.shared.lock().report_lag = lag;
    }

    /// Sets a report that is given in place of the true one.
    pub fn set_false_report(&self, report: Option<load::Load>) {
        self.shared.lock().false_report = report;
    }

    /// Lets the next `count` answers carry another request's id.
    pub fn cross_answers(&self, count: u32) {
        self.shared.lock().crossed_answers = count;
    }

    /// Lets the next `count` answers break off in the middle.
    pub fn truncate_answers(&self, count: u32) {
        self.shared.lock().truncated_answers = count;
    }

    /// Lets the next `count` answers have the status 600.
    pub fn invalidate_statuses(&self, count: u32) {
        self.shared.lock().invalid_statuses = count;
    }

    /// Runs the next `count` requests and closes their connections without an answer.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().lost_answers = count;
    }

    /// Requests that it ran, in the order in which they took their slots.
    pub fn runs(&self) -> Vec<run::Run> {
        self.shared.lock().runs.clone()
    }

    /// Requests refused before they ran.
    pub fn sheds(&self) -> u64 {
        self.shared.lock().sheds
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.shared.lock().in_use
    }

    /// Most slots that were in use at a time.
    pub fn peak_in_use(&self) -> u32 {
        self.shared.lock().peak_in_use
    }

    /// Largest number of connections that were open at a time.
    pub fn peak_connections(&self) -> usize {
        self.server.peak_connections()
    }

    /// Closes the listener and all connections; runs in progress are cancelled.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        state::lock(&self.state)
    }
}

/// Counts a waiting request for as long as it lives.
struct Waiting(Shared);

impl Waiting {
    /// Joins the backlog if it has room.
    fn new(shared: &Shared) -> Option<Waiting> {
        let mut state = shared.lock();
        let free = shared.slots.available_permits() as u32;
        if state.shedding || state.waiting >= shared.cfg.backlog + free {
            state.sheds += 1;
            return None;
        }
        state.waiting += 1;
        Some(Waiting(shared.clone()))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

async fn handle(
    shared: Shared,
    req: http::Request<body::Incoming>,
) -> Result<serve::Answer, serve::Broken> {
    if req.uri().path() == "/load" {
        let report = shared.lock().report(shared.cfg.slots, time::Instant::now());
        return Ok(serve::json(StatusCode::OK, &report));
    }
    let (parts, body) = req.into_parts();
    let deadline = header(&parts, DEADLINE_MS)
        .and_then(|v| v.parse().ok())
        .map(|ms| tokio::time::Instant::now() + time::Duration::from_millis(ms));
    let Some(waiting) = Waiting::new(&shared) else {
        return Ok(not_run(&parts, "shed"));
    };
    let body = body.collect().await.map_err(|_| serve::Broken)?.to_bytes();
    let slot = before(deadline, shared.slots.clone().acquire_owned()).await;
    drop(waiting);
    let Some(Ok(_slot)) = slot else {
        return Ok(not_run(&parts, "deadline"));
    };
    execute(&shared, &parts, body, deadline).await
}

async fn execute(
    shared: &Shared,
    parts: &http::request::Parts,
    body: Bytes,
    deadline: Option<tokio::time::Instant>,
) -> Result<serve::Answer, serve::Broken> {
    let running = state::Running::new(&shared.state, entry(parts));
    if before(deadline, tokio::time::sleep(run_time(shared)))
        .await
        .is_none()
    {
        running.end(run::Ending::Deadline);
        return Ok(marked(serve::empty(StatusCode::GATEWAY_TIMEOUT), parts));
    }
    running.end(run::Ending::Finished);
    answer(shared, parts, body)
}

fn run_time(shared: &Shared) -> time::Duration {
    let mut state = shared.lock();
    if state.cold_runs == 0 {
        return state.service_time;
    }
    state.cold_runs -= 1;
    state.service_time + shared.cfg.cold_extra
}

async fn before<T>(
    deadline: Option<tokio::time::Instant>,
    future: impl Future<Output = T>,
) -> Option<T> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, future).await.ok(),
        None => Some(future.await),
    }
}

fn entry(parts: &http::request::Parts) -> run::Run {
    run::Run {
        request: header(parts, REQUEST_ID).unwrap_or_default(),
        key: header(parts, IDEMPOTENCY_KEY),
        rank: header(parts, RANK),
        path: parts.uri.path().to_string(),
        start: time::Instant::now(),
        end: None,
    }
}

fn answer(
    shared: &Shared,
    parts: &http::request::Parts,
    body: Bytes,
) -> Result<serve::Answer, serve::Broken> {
    let mut text = [parts.uri.path().as_bytes(), b"\n", &body].concat();
    text.resize(text.len().max(shared.cfg.answer_bytes), b'.');
    let mut state = shared.lock();
    if take(&mut state.lost_answers) {
        return Err(serve::Broken);
    }
    let mut answer = match take(&mut state.truncated_answers) {
        true => serve::truncated(StatusCode::OK, text.into()),
        false => serve::full(StatusCode::OK, text),
    };
    if let Ok(name) = http::HeaderValue::from_str(&shared.cfg.name) {
        answer.headers_mut().insert(SERVER, name);
    }
    if take(&mut state.invalid_statuses) {
        *answer.status_mut() = StatusCode::from_u16(600).expect("hyper sends any three digits");
    }
    let mut answer = marked(answer, parts);
    if take(&mut state.crossed_answers) {
        let other = http::HeaderValue::from_static("ffffffffffffffffffffffffffffffff");
        answer.headers_mut().insert(REQUEST_ID, other);
    }
    Ok(answer)
}

fn take(count: &mut u32) -> bool {
    let any = *count > 0;
    *count -= u32::from(any);
    any
}

fn not_run(parts: &http::request::Parts, reason: &'static str) -> serve::Answer {
    let mut answer = serve::empty(StatusCode::SERVICE_UNAVAILABLE);
    let reason = http::HeaderValue::from_static(reason);
    answer.headers_mut().insert(NOT_RUN, reason);
    marked(answer, parts)
}

fn marked(mut answer: serve::Answer, parts: &http::request::Parts) -> serve::Answer {
    if let Some(id) = parts.headers.get(REQUEST_ID) {
        answer.headers_mut().insert(REQUEST_ID, id.clone());
    }
    answer
}

fn header(parts: &http::request::Parts, name: &str) -> Option<String> {
    let value = parts.headers.get(name)?;
    value.to_str().ok().map(str::to_string)
}
