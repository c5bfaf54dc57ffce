//! The platform.

use std::{io, net, sync, time};

use bytes::Bytes;
use http::{Method, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body;
use tokio::sync::watch;

use super::{calls, limiter, store};
use crate::serve;

/// Limits of the platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Writes and deletions accepted per second.
    pub writes_per_second: u32,
    /// Reads, lists and watches accepted per second.
    pub reads_per_second: u32,
    /// Largest value in bytes.
    pub max_value_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 300,
            reads_per_second: 2_000,
            max_value_bytes: 1 << 20,
        }
    }
}

/// A running platform with its objects in memory.
pub struct Platform {
    shared: sync::Arc<Shared>,
    server: serve::Server,
}

struct Shared {
    state: sync::Mutex<State>,
    changes: watch::Sender<u64>,
    max_value_bytes: usize,
}

struct State {
    store: store::Store,
    calls: calls::Calls,
    reads: limiter::Limiter,
    writes: limiter::Limiter,
    down: bool,
    delay: time::Duration,
    answers_to_lose: u32,
    writes_to_lose: u32,
}

impl Platform {
    /// Starts a platform without objects.
    pub async fn start(cfg: Config) -> io::Result<Platform> {
        let now = time::Instant::now();
        let shared = sync::Arc::new(Shared {
            state: sync::Mutex::new(State {
                store: store::Store::default(),
                calls: calls::Calls::default(),
                reads: limiter::Limiter::new(cfg.reads_per_second, now),
                writes: limiter::Limiter::new(cfg.writes_per_second, now),
                down: false,
                delay: time::Duration::ZERO,
                answers_to_lose: 0,
                writes_to_lose: 0,
            }),
            changes: watch::Sender::new(0),
            max_value_bytes: cfg.max_value_bytes,
        });
        let handler = {
            let shared = shared.clone();
            move |req| handle(shared.clone(), req)
        };
        let server = serve::Server::start(cfg.address, usize::MAX, handler).await?;
        Ok(Platform { shared, server })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Writes an object without condition, rate limit or count, and returns its version.
    pub fn put(&self, kind: &str, name: &str, body: impl Into<Bytes>) -> u64 {
        let key = (kind.to_string(), name.to_string());
        self.shared
            .change(|state| state.store.put(key, body.into()))
    }

    /// Reads an object without rate limit or count.
    pub fn get(&self, kind: &str, name: &str) -> Option<store::Object> {
        let key = (kind.to_string(), name.to_string());
        self.shared.lock().store.get(&key).cloned()
    }

    /// Begins or ends an outage: every call is answered with 503, waiting watches too.
    pub fn set_down(&self, down: bool) {
        self.shared.change(|state| state.down = down);
    }

    /// Sets the time that each call waits before it takes effect, and again before its answer.
    pub fn set_delay(&self, delay: time::Duration) {
        self.shared.lock().delay = delay;
    }

    /// Lets the next `count` accepted writes take effect and closes their connections.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().answers_to_lose = count;
    }

    /// Closes the connections of the next `count` writes without any effect.
    pub fn lose_writes(&self, count: u32) {
        self.shared.lock().writes_to_lose = count;
    }

    /// A copy of all objects.
    pub fn snapshot(&self) -> store::Snapshot {
        self.shared.lock().store.snapshot()
    }

    /// Replaces all objects by those of an older copy; versions go back with them.
    pub fn restore(&self, snapshot: &store::Snapshot) {
        self.shared.change(|state| state.store.restore(snapshot));
    }

    /// Calls counted so far.
    pub fn calls(&self) -> calls::Calls {
        self.shared.lock().calls
    }

    /// Closes the listener and all connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn change<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let result = f(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }
}

enum Call {
    List(String),
    Get(store::Key),
    Watch(store::Key, u64, time::Duration),
    Put(store::Key, store::Condition),
    Delete(store::Key, store::Condition),
}

async fn handle(
    shared: sync::Arc<Shared>,
    req: http::Request<body::Incoming>,
) -> Result<serve::Answer, serve::Broken> {
    let (parts, body) = req.into_parts();
    let call = match parse(&parts) {
        Ok(call) => call,
        Err(status) => return Ok(serve::empty(status)),
    };
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    if let Some(answer) = refuse(&shared, &call) {
        return Ok(answer);
    }
    let answer = match call {
        Call::List(kind) => Ok(list(&shared, &kind)),
        Call::Get(key) => Ok(get(&shared, &key)),
        Call::Watch(key, after, wait) => Ok(wait_for(&shared, &key, after, wait).await),
        Call::Put(key, condition) => put(&shared, key, condition, body).await,
        Call::Delete(key, condition) => delete(&shared, &key, condition),
    };
    tokio::time::sleep(delay).await;
    answer
}

fn parse(parts: &http::request::Parts) -> Result<Call, StatusCode> {
    let path = parts.uri.path().strip_prefix("/v1/objects/");
    let path = path.ok_or(StatusCode::NOT_FOUND)?;
    let Some((kind, name)) = path.split_once('/') else {
        return match parts.method {
            Method::GET => Ok(Call::List(path.to_string())),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    };
    let key = (kind.to_string(), name.to_string());
    match parts.method {
        Method::GET => Ok(match (query(parts, "after"), query(parts, "wait_ms")) {
            (Some(after), Some(ms)) => Call::Watch(key, after, time::Duration::from_millis(ms)),
            _ => Call::Get(key),
        }),
        Method::PUT => Ok(Call::Put(key, condition(parts)?)),
        Method::DELETE => Ok(Call::Delete(key, condition(parts)?)),
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn query(parts: &http::request::Parts, name: &str) -> Option<u64> {
    let pairs = parts.uri.query()?.split('&');
    let (_, value) = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)?;
    value.parse().ok()
}

fn condition(parts: &http::request::Parts) -> Result<store::Condition, StatusCode> {
    let text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
    match (text(header::IF_MATCH), text(header::IF_NONE_MATCH)) {
        (Some(etag), None) => etag
            .trim_matches('"')
            .parse()
            .map(store::Condition::Version)
            .map_err(|_| StatusCode::BAD_REQUEST),
        (None, Some("*")) => Ok(store::Condition::Absent),
        _ => Err(StatusCode::PRECONDITION_REQUIRED),
    }
}

/// Counts a call, or refuses it in an outage or above the rate.
fn refuse(shared: &Shared, call: &Call) -> Option<serve::Answer> {
    let now = time::Instant::now();
    let mut state = shared.lock();
    if state.down {
        state.calls.failed += 1;
        return Some(serve::empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let admitted = match call {
        Call::Put(..) | Call::Delete(..) => state.writes.admit(now),
        _ => state.reads.admit(now),
    };
    if !admitted {
        state.calls.refused += 1;
        let mut answer = serve::empty(StatusCode::TOO_MANY_REQUESTS);
        answer.headers_mut().insert(header::RETRY_AFTER, 1.into());
        return Some(answer);
    }
    match call {
        Call::List(_) => state.calls.lists += 1,
        Call::Get(_) => state.calls.gets += 1,
        Call::Watch(..) => state.calls.watches += 1,
        Call::Put(..) => state.calls.puts += 1,
        Call::Delete(..) => state.calls.deletes += 1,
    }
    None
}

fn list(shared: &Shared, kind: &str) -> serve::Answer {
    serve::json(StatusCode::OK, &shared.lock().store.list(kind))
}

fn get(shared: &Shared, key: &store::Key) -> serve::Answer {
    match shared.lock().store.get(key) {
        Some(object) => found(object),
        None => serve::empty(StatusCode::NOT_FOUND),
    }
}

async fn wait_for(
    shared: &Shared,
    key: &store::Key,
    after: u64,
    wait: time::Duration,
) -> serve::Answer {
    let mut changes = shared.changes.subscribe();
    let timeout = tokio::time::sleep(wait);
    tokio::pin!(timeout);
    loop {
        if let Some(answer) = newer(shared, key, after) {
            return answer;
        }
        tokio::select! {
            () = &mut timeout => return serve::empty(StatusCode::NOT_MODIFIED),
            _ = changes.changed() => {}
        }
    }
}

fn newer(shared: &Shared, key: &store::Key, after: u64) -> Option<serve::Answer> {
    let state = shared.lock();
    if state.down {
        return Some(serve::empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    match state.store.get(key) {
        Some(object) if object.version > after => Some(found(object)),
        Some(_) => None,
        None if after == 0 => None,
        None => Some(serve::empty(StatusCode::NOT_FOUND)),
    }
}

async fn put(
    shared: &Shared,
    key: store::Key,
    condition: store::Condition,
    body: body::Incoming,
) -> Result<serve::Answer, serve::Broken> {
    let Ok(body) = Limited::new(body, shared.max_value_bytes).collect().await else {
        return Ok(serve::empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    write(shared, &key, condition, |store| {
        let version = store.put(key.clone(), body.to_bytes());
        let created = condition == store::Condition::Absent;
        let status = if created {
            StatusCode::CREATED
        } else {
            StatusCode::OK
        };
        with_version(serve::empty(status), version)
    })
}

fn delete(
    shared: &Shared,
    key: &store::Key,
    condition: store::Condition,
) -> Result<serve::Answer, serve::Broken> {
    write(shared, key, condition, |store| {
        store.delete(key);
        serve::empty(StatusCode::NO_CONTENT)
    })
}

fn write(
    shared: &Shared,
    key: &store::Key,
    condition: store::Condition,
    f: impl FnOnce(&mut store::Store) -> serve::Answer,
) -> Result<serve::Answer, serve::Broken> {
    shared.change(|state| {
        if state.writes_to_lose > 0 {
            state.writes_to_lose -= 1;
            return Err(serve::Broken);
        }
        if !state.store.allows(key, condition) {
            return Ok(serve::empty(StatusCode::PRECONDITION_FAILED));
        }
        let answer = f(&mut state.store);
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            return Err(serve::Broken);
        }
        Ok(answer)
    })
}

fn found(object: &store::Object) -> serve::Answer {
    with_version(
        serve::full(StatusCode::OK, object.body.clone()),
        object.version,
    )
}

fn with_version(mut answer: serve::Answer, version: u64) -> serve::Answer {
    let etag = http::HeaderValue::from_str(&format!("\"{version}\""));
    let etag = etag.expect("digits and quotes are a header value");
    answer.headers_mut().insert(header::ETAG, etag);
    answer
}
