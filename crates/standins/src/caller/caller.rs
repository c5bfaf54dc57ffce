//! The caller.

use std::{
    collections, net, sync,
    sync::atomic,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use rand::{Rng, SeedableRng};
use yuccatide_steering::model;

use super::{answer, lookup, request};

const DEADLINE: &str = "x-yuccatide-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const OUTCOME: &str = "x-yuccatide-outcome";
const REASON: &str = "x-yuccatide-reason";
const REQUEST_ID: &str = "x-yuccatide-request-id";
const SERVER: &str = "x-yuccatide-server";
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the deadline in which the entry host's verdict may still arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Who the caller is and how often it tries.
#[derive(Clone, Debug)]
pub struct Config {
    /// Entry hosts that it asks for look-ups.
    pub entry_hosts: Vec<net::SocketAddr>,
    /// Its address; connections are made from it, which must be of this machine.
    pub client: net::IpAddr,
    /// Attempts for each request.
    pub attempts: u32,
    /// Seed of ids, tokens and jitter.
    pub seed: u64,
}

/// A caller with its cache of look-ups.
pub struct Caller {
    cfg: Config,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    rng: sync::Mutex<rand_pcg::Pcg64>,
    cache: sync::Mutex<collections::HashMap<model::WorkId, Cached>>,
    crossed: atomic::AtomicU64,
}

struct Cached {
    lookup: lookup::Lookup,
    expires: Instant,
}

/// An answer to one attempt.
struct Reply {
    outcome: model::Outcome,
    reason: Option<String>,
    retry_after: Option<Duration>,
    server: Option<String>,
    status: http::StatusCode,
    body: Bytes,
}

/// A key and whether an attempt with it may have been received.
struct Key {
    text: String,
    sent: bool,
}

impl Caller {
    /// A caller without cached look-ups.
    pub fn new(cfg: Config) -> Caller {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(Some(cfg.client));
        Caller {
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
            rng: sync::Mutex::new(rand_pcg::Pcg64::seed_from_u64(cfg.seed)),
            cache: sync::Mutex::default(),
            crossed: atomic::AtomicU64::new(0),
            cfg,
        }
    }

    /// Answers that carried another request's id; none of them was given to a request.
    pub fn crossed(&self) -> u64 {
        self.crossed.load(atomic::Ordering::Relaxed)
    }

    /// Entry hosts for a kind of work, from the cache while its time to live lasts.
    pub async fn lookup(&self, work: &str) -> Result<lookup::Lookup, answer::Error> {
        if let Some(found) = self.cached(work) {
            return Ok(found);
        }
        for host in &self.cfg.entry_hosts {
            let asked = tokio::time::timeout(LOOKUP_TIMEOUT, self.ask(*host, work)).await;
            if let Ok(Ok(found)) = asked {
                self.remember(work, found.clone());
                return Ok(found);
            }
        }
        Err(answer::Error::NoHosts)
    }

    /// Sends a request until it is answered, may have run, or has no attempts or time left.
    ///
    /// After `not-run` it goes to any host, under a new key.  After `unknown` it is repeated only
    /// if it is idempotent or carries the same key.
    pub async fn send(&self, req: &request::Request) -> answer::Answer {
        let start = Instant::now();
        let mut key = None;
        let mut result = unsent();
        let mut attempt = 0;
        while attempt < self.cfg.attempts {
            let left = req.deadline.saturating_sub(start.elapsed());
            if left.is_zero() {
                break;
            }
            let Some(host) = self.host(&req.work, attempt).await else {
                self.pause(FIRST_PAUSE).await;
                attempt += 1;
                continue;
            };
            if !req.idempotent && key.is_none() {
                let new = self.key(&host);
                result.keys.push(new.text.clone());
                key = Some(new);
            }
            attempt += 1;
            result.attempts = attempt;
            let sent = self.attempt(&host, req, key.as_ref(), left).await;
            let pause = self.note(sent, &mut key, &mut result, &host, &req.work);
            match pause {
                Some(pause) => self.pause(pause.min(left)).await,
                None => break,
            }
        }
        result.latency = start.elapsed();
        result
    }

    /// Takes the end of an attempt; returns the pause before the next one, if there may be one.
    fn note(
        &self,
        sent: Result<Reply, answer::Error>,
        key: &mut Option<Key>,
        result: &mut answer::Answer,
        host: &lookup::Host,
        work: &str,
    ) -> Option<Duration> {
        let reply = match sent {
            Ok(reply) => reply,
            Err(e) => {
                self.forget(work, host);
                let not_sent = matches!(e, answer::Error::NotSent(_));
                result.reason = Some(e.to_string());
                match key {
                    // The key's home can't be reached and has never seen the key.
                    Some(k) if not_sent && !k.sent => *key = None,
                    Some(k) if !not_sent => k.sent = true,
                    _ => {}
                }
                if !not_sent {
                    result.outcome = model::Outcome::Unknown;
                }
                return Some(FIRST_PAUSE);
            }
        };
        // Only a key makes one answer speak for earlier attempts too.
        let earlier = result.outcome == model::Outcome::Unknown && key.is_none();
        result.outcome = match reply.outcome {
            model::Outcome::NotRun if earlier => model::Outcome::Unknown,
            outcome => outcome,
        };
        result.reason = reply.reason;
        result.status = Some(reply.status);
        result.server = reply.server;
        result.body = reply.body;
        match reply.outcome {
            model::Outcome::Done => None,
            model::Outcome::Unknown => {
                key.iter_mut().for_each(|k| k.sent = true);
                Some(FIRST_PAUSE)
            }
            model::Outcome::NotRun if reply.status.is_client_error() => None,
            model::Outcome::NotRun => {
                *key = None;
                Some(reply.retry_after.unwrap_or(FIRST_PAUSE))
            }
        }
    }

    async fn attempt(
        &self,
        host: &lookup::Host,
        req: &request::Request,
        key: Option<&Key>,
        left: Duration,
    ) -> Result<Reply, answer::Error> {
        let id = format!("{:032x}", self.random::<u128>());
        let uri = format!("http://{}/v1/run/{}/{}", host.address, req.work, req.path);
        let mut builder = http::Request::post(uri)
            .header(REQUEST_ID, &id)
            .header(DEADLINE, left.as_millis().to_string());
        if let Some(key) = key {
            builder = builder.header(IDEMPOTENCY_KEY, &key.text);
        }
        let http = builder
            .body(Full::new(req.body.clone()))
            .map_err(|e| answer::Error::NotSent(e.to_string()))?;
        let (parts, body) = tokio::time::timeout(left + ANSWER_GRACE, self.exchange(http))
            .await
            .map_err(|_| answer::Error::NoAnswer("time-out".to_string()))??;
        if header(&parts, REQUEST_ID) != Some(&id) {
            self.crossed.fetch_add(1, atomic::Ordering::Relaxed);
            return Err(answer::Error::Crossed);
        }
        let outcome = header(&parts, OUTCOME).and_then(model::Outcome::from_header);
        let retry_after = header(&parts, http::header::RETRY_AFTER.as_str());
        Ok(Reply {
            outcome: outcome.unwrap_or(model::Outcome::Unknown),
            reason: header(&parts, REASON).map(str::to_string),
            retry_after: retry_after
                .and_then(|v| v.parse().ok())
                .map(Duration::from_secs),
            server: header(&parts, SERVER).map(str::to_string),
            status: parts.status,
            body,
        })
    }

    async fn exchange(
        &self,
        req: http::Request<Full<Bytes>>,
    ) -> Result<(http::response::Parts, Bytes), answer::Error> {
        let sent = self.http.request(req).await;
        let (parts, body) = sent
            .map_err(|e| match e.is_connect() {
                true => answer::Error::NotSent(e.to_string()),
                false => answer::Error::NoAnswer(e.to_string()),
            })?
            .into_parts();
        let body = body.collect().await;
        let body = body.map_err(|e| answer::Error::NoAnswer(e.to_string()))?;
        Ok((parts, body.to_bytes()))
    }

    async fn ask(
        &self,
        host: net::SocketAddr,
        work: &str,
    ) -> Result<lookup::Lookup, answer::Error> {
        let client = self.cfg.client;
        let uri = format!("http://{host}/v1/lookup?client={client}&work={work}");
        let req = http::Request::get(uri)
            .body(Full::default())
            .map_err(|e| answer::Error::NotSent(e.to_string()))?;
        let (_, body) = self.exchange(req).await?;
        let found = serde_json::from_slice::<lookup::Lookup>(&body)
            .map_err(|e| answer::Error::NoAnswer(e.to_string()))?;
        match found.hosts.is_empty() {
            true => Err(answer::Error::NoHosts),
            false => Ok(found),
        }
    }

    /// The preferred host first, and the others in their order for later attempts.
    async fn host(&self, work: &str, attempt: u32) -> Option<lookup::Host> {
        let hosts = self.lookup(work).await.ok()?.hosts;
        hosts.get(attempt as usize % hosts.len().max(1)).cloned()
    }

    fn key(&self, host: &lookup::Host) -> Key {
        let token = self.random::<u128>();
        Key {
            text: format!("{}{token:032x}", host.key_prefix),
            sent: false,
        }
    }

    fn cached(&self, work: &str) -> Option<lookup::Lookup> {
        let cache = self.cache.lock().expect("no thread panics with the lock");
        let cached = cache.get(work)?;
        (cached.expires > Instant::now()).then(|| cached.lookup.clone())
    }

    fn remember(&self, work: &str, lookup: lookup::Lookup) {
        let expires = Instant::now() + Duration::from_millis(lookup.ttl_ms);
        let mut cache = self.cache.lock().expect("no thread panics with the lock");
        cache.insert(work.to_string(), Cached { lookup, expires });
    }

    /// Takes a host that did not answer out of the cache.
    fn forget(&self, work: &str, host: &lookup::Host) {
        let mut cache = self.cache.lock().expect("no thread panics with the lock");
        if let Some(cached) = cache.get_mut(work) {
            cached.lookup.hosts.retain(|h| h != host);
            if cached.lookup.hosts.is_empty() {
                cache.remove(work);
            }
        }
    }

    async fn pause(&self, pause: Duration) {
        let jitter = self.random::<f64>();
        tokio::time::sleep(pause.mul_f64(0.5 + 0.5 * jitter)).await;
    }

    fn random<T>(&self) -> T
    where
        rand::distr::StandardUniform: rand::distr::Distribution<T>,
    {
        let mut rng = self.rng.lock().expect("no thread panics with the lock");
        rng.random()
    }
}

fn header<'a>(parts: &'a http::response::Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name)?.to_str().ok()
}

fn unsent() -> answer::Answer {
    answer::Answer {
        outcome: model::Outcome::NotRun,
        reason: None,
        status: None,
        server: None,
        body: Bytes::new(),
        attempts: 0,
        latency: Duration::ZERO,
        keys: Vec::new(),
    }
}
