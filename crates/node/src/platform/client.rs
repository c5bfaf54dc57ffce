//! The client.

use std::{collections, net, sync, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy, rt};
use rand::RngCore;

use super::{
    backoff, calls, error, object,
    request::{self, Request},
};

/// Address and limits of a client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the platform's object API.
    pub address: net::SocketAddr,
    /// Time within which a connection has to be made.
    pub connect_timeout: Duration,
    /// Time within which each attempt has to be answered; a watch gets its waiting time on top.
    pub timeout: Duration,
    /// Attempts for each call that surely had no effect before.
    pub attempts: u32,
    /// Pauses between attempts.
    pub backoff: backoff::Backoff,
}

impl Config {
    /// Default limits for an address.
    pub fn new(address: net::SocketAddr) -> Config {
        Config {
            address,
            connect_timeout: Duration::from_secs(1),
            timeout: Duration::from_secs(2),
            attempts: 3,
            backoff: backoff::Backoff::default(),
        }
    }
}

/// A client of the platform's object API.
pub struct Client {
    cfg: Config,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    rng: sync::Mutex<Box<dyn RngCore + Send>>,
    counters: calls::Counters,
}

impl Client {
    /// A client that draws its jitter from `rng`.
    pub fn new(cfg: Config, rng: impl RngCore + Send + 'static) -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        Client {
            cfg,
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
            rng: sync::Mutex::new(Box::new(rng)),
            counters: calls::Counters::default(),
        }
    }

    /// Calls sent so far.
    pub fn calls(&self) -> calls::Calls {
        self.counters.calls()
    }

    /// Pause before a call is repeated after the failed attempt with this number, 0 for the first.
    pub fn pause(&self, attempt: u32) -> Duration {
        let mut rng = self.rng.lock().expect("no thread panics with the lock");
        self.cfg.backoff.pause(attempt, &mut *rng)
    }

    /// Reads an object.
    pub async fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<object::Object>, error::Error> {
        let req = Request::read(calls::Kind::Get, path(kind, name)?);
        let answer = self.send(&req).await?;
        match answer.status {
            StatusCode::OK => answer.object().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unexpected()),
        }
    }

    /// Names and versions of the objects of a kind.
    pub async fn list(
        &self,
        kind: &str,
    ) -> Result<collections::BTreeMap<String, u64>, error::Error> {
        let req = Request::read(calls::Kind::List, format!("{PREFIX}/{}", checked(kind)?));
        let answer = self.send(&req).await?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map_err(|e| error::Error::Protocol(e.to_string())),
            _ => Err(answer.unexpected()),
        }
    }

    /// Waits up to `wait` for a version of an object above `after`; sent once, without retry.
    ///
    /// With 0 for `after` it waits for an object that does not exist.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<object::Watched, error::Error> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let req = Request::read(calls::Kind::Watch, path(kind, name)? + &query);
        let answer = self.attempt(&req, self.cfg.timeout + wait).await?;
        match answer.status {
            StatusCode::OK => answer.object().map(object::Watched::Changed),
            StatusCode::NOT_MODIFIED => Ok(object::Watched::Unchanged),
            StatusCode::NOT_FOUND => Ok(object::Watched::Absent),
            _ => Err(answer.unexpected()),
        }
    }

    /// Creates an object that does not exist, and returns its version.
    pub async fn create(&self, kind: &str, name: &str, body: Bytes) -> Result<u64, error::Error> {
        self.put(kind, name, object::Condition::Absent, body).await
    }

    /// Replaces an object that has this version, and returns the new version.
    pub async fn put_if(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        body: Bytes,
    ) -> Result<u64, error::Error> {
        let condition = object::Condition::Version(version);
        self.put(kind, name, condition, body).await
    }

    /// Deletes an object that has this version.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), error::Error> {
        let condition = object::Condition::Version(version);
        let answer = self
            .send(&Request::delete(path(kind, name)?, condition))
            .await?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(error::Error::Conflict),
            _ => Err(answer.unexpected()),
        }
    }

    /// Writes an object under a condition, and reads it back where the answer was lost.
    ///
    /// `contains` tells whether an object's value is or includes this write.  The same write is
    /// sent again only while the condition still holds, so that it takes effect at most once.
    /// Ends with [`error::Error::Ambiguous`] if the object can't be read back.
    pub async fn put_confirmed(
        &self,
        kind: &str,
        name: &str,
        condition: object::Condition,
        body: Bytes,
        contains: impl Fn(&[u8]) -> bool,
    ) -> Result<object::Written, error::Error> {
        let mut lost = false;
        for attempt in 0..self.cfg.attempts.max(1) {
            let reason = match self.put(kind, name, condition, body.clone()).await {
                Ok(version) => return Ok(object::Written::Version(version)),
                Err(error::Error::Ambiguous(reason)) => reason,
                Err(error::Error::Conflict) if lost => "read back".to_string(),
                Err(e) if lost => return Err(error::Error::Ambiguous(e.to_string())),
                Err(e) => return Err(e),
            };
            lost = true;
            let found = match self.get(kind, name).await {
                Ok(found) => found,
                Err(e) => return Err(error::Error::Ambiguous(format!("{reason}; {e}"))),
            };
            match found {
                Some(object) if contains(&object.body) => {
                    return Ok(object::Written::ReadBack(object));
                }
                found if !holds(condition, found.as_ref()) => return Err(error::Error::Conflict),
                _ => tokio::time::sleep(self.pause(attempt)).await,
            }
        }
        let message = "every attempt was lost".to_string();
        Err(error::Error::Ambiguous(message))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        condition: object::Condition,
        body: Bytes,
    ) -> Result<u64, error::Error> {
        let req = Request::put(path(kind, name)?, condition, body);
        let answer = self.send(&req).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => answer.version(),
            _ => Err(answer.unexpected()),
        }
    }

    /// Sends a call until it is answered, while earlier attempts surely had no effect.
    async fn send(&self, req: &Request) -> Result<request::Answer, error::Error> {
        let mut attempt = 0;
        loop {
            let result = self.attempt(req, self.cfg.timeout).await;
            attempt += 1;
            let pause = match &result {
                Err(e) if e.is_transient() && attempt < self.cfg.attempts => {
                    self.pause(attempt - 1).max(retry_after(e))
                }
                _ => return result,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(
        &self,
        req: &Request,
        timeout: Duration,
    ) -> Result<request::Answer, error::Error> {
        let http = req.to_http(&self.cfg.address.to_string())?;
        self.counters.add(req.kind);
        let no_answer = |reason: String| match req.is_write() {
            true => error::Error::Ambiguous(reason),
            false => error::Error::NoAnswer(reason),
        };
        let exchange = async {
            let res = self
                .http
                .request(http)
                .await
                .map_err(|e| match e.is_connect() {
                    true => error::Error::Unreachable(e.to_string()),
                    false => no_answer(e.to_string()),
                })?;
            let (parts, body) = res.into_parts();
            let body = Limited::new(body, request::MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|e| no_answer(e.to_string()))?;
            Ok(request::Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(no_answer(format!("no answer in {timeout:?}"))))?
            .checked(req.is_write())
    }
}

const PREFIX: &str = "/v1/objects";

fn path(kind: &str, name: &str) -> Result<String, error::Error> {
    Ok(format!("{PREFIX}/{}/{}", checked(kind)?, checked(name)?))
}

fn checked(name: &str) -> Result<&str, error::Error> {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !name.is_empty() && name.chars().all(valid) {
        true => Ok(name),
        false => Err(error::Error::Name(name.to_string())),
    }
}

fn retry_after(e: &error::Error) -> Duration {
    match e {
        error::Error::RateLimited { retry_after } => retry_after.unwrap_or_default(),
        _ => Duration::ZERO,
    }
}

fn holds(condition: object::Condition, found: Option<&object::Object>) -> bool {
    match condition {
        object::Condition::Absent => found.is_none(),
        object::Condition::Version(version) => found.is_some_and(|o| o.version == version),
    }
}
