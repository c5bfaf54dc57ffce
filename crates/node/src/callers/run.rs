//! `/v1/run/WORK/...`: a request to be run.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;
use xxhash_rust::xxh3;
use yuccatide_steering::{config, model, numbers};

use super::{Error, Interface};
use crate::{request, serve, telemetry::traces};

/// Paths of requests to be run; the name of the work follows.
pub(super) const PREFIX: &str = "/v1/run/";

/// Time in which the body of a request has to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Length of the longest identifier that a caller may give.
const MAX_ID_BYTES: usize = 128;

/// Reads a request whole, has it run and answers it.
pub(super) async fn answer(
    interface: &Interface,
    req: http::Request<body::Incoming>,
    client: net::IpAddr,
    start: time::Instant,
) -> Result<serve::Reply, Error> {
    let doc = interface.engine.document().ok_or(Error::NotReady)?;
    let permits = sync::Arc::clone(&interface.permits);
    let _permit = permits.try_acquire_owned().map_err(|_| Error::Busy)?;
    let (name, path) = split(req.uri());
    let work = doc
        .work
        .get(&name)
        .ok_or_else(|| Error::Work(name.clone()))?;
    let head = Head::read(&req, work, &name)?;
    let arrived = interface.engine.now();
    let (parts, body) = req.into_parts();
    let body = read_body(body, work.max_body_bytes).await?;
    let span = traces::span("entry host", head.traceparent.as_deref());
    let meta = model::RequestMeta {
        id: rand::random(),
        work: name.clone(),
        origin: interface.engine.origin(client),
        affinity: head.affinity(client),
        deadline: arrived + head.deadline.unwrap_or(work.deadline),
        body_bytes: body.len() as u64,
        key: head.key,
    };
    let caller_id = head
        .caller_id
        .unwrap_or_else(|| format!("{:032x}", meta.id));
    let job = request::Job {
        meta,
        caller_id: caller_id.clone(),
        fingerprint: request::Job::fingerprint(&parts.method, &path, &body),
        method: parts.method,
        path,
        headers: sync::Arc::new(request::forwarded(&parts.headers)),
        body,
        traceparent: traces::traceparent(&span),
    };
    let answer = interface.engine.run(job).await;
    let outcome = answer.outcome.as_str();
    let rank = work.rank.as_str();
    span.add_property(|| ("outcome", outcome));
    span.add_property(|| ("work", name.clone()));
    interface
        .metrics
        .request(&name, rank, outcome, start.elapsed());
    if let (model::Outcome::NotRun, Some(reason)) = (answer.outcome, &answer.reason) {
        interface.metrics.not_run(&name, reason);
    }
    Ok(reply(answer, &caller_id))
}

/// What the headers of a request say.
struct Head {
    key: Option<model::IdempotencyKey>,
    deadline: Option<time::Duration>,
    caller_id: Option<String>,
    traceparent: Option<String>,
}

impl Head {
    fn read(
        req: &http::Request<body::Incoming>,
        work: &config::Work,
        name: &str,
    ) -> Result<Head, Error> {
        let key = header(req, request::IDEMPOTENCY_KEY)?
            .map(|text| text.parse::<model::IdempotencyKey>())
            .transpose()
            .map_err(|e| Error::Header {
                name: request::IDEMPOTENCY_KEY,
                message: e.to_string(),
            })?;
        if key.is_none() && !work.idempotent {
            return Err(Error::KeyMissing(name.to_string()));
        }
        let deadline = header(req, request::DEADLINE)?
            .map(|text| text.parse::<u64>())
            .transpose()
            .map_err(|_| Error::Header {
                name: request::DEADLINE,
                message: "is no number of milliseconds".to_string(),
            })?
            .map(|ms| time::Duration::from_millis(ms).min(numbers::MAX_DURATION));
        let caller_id = header(req, request::REQUEST_ID)?;
        if caller_id.as_ref().is_some_and(|id| id.len() > MAX_ID_BYTES) {
            return Err(Error::Header {
                name: request::REQUEST_ID,
                message: format!("is longer than {MAX_ID_BYTES} bytes"),
            });
        }
        Ok(Head {
            key: key.filter(|_| !work.idempotent),
            deadline,
            caller_id,
            traceparent: header(req, traces::TRACEPARENT)?,
        })
    }

    /// A caller that repeats a request gets the same value at every host.
    fn affinity(&self, client: net::IpAddr) -> u64 {
        let key = self.key.as_ref().map(ToString::to_string);
        match key.as_ref().or(self.caller_id.as_ref()) {
            Some(text) => xxh3::xxh3_64(text.as_bytes()),
            None => xxh3::xxh3_64(client.to_string().as_bytes()),
        }
    }
}

/// Name of the work, and path and query for the backend server.
fn split(uri: &http::Uri) -> (model::WorkId, String) {
    let rest = &uri.path()[PREFIX.len()..];
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    (name.to_string(), format!("/{path}{query}"))
}

fn header(
    req: &http::Request<body::Incoming>,
    name: &'static str,
) -> Result<Option<String>, Error> {
    req.headers()
        .get(name)
        .map(|value| value.to_str().map(str::to_string))
        .transpose()
        .map_err(|_| Error::Header {
            name,
            message: "has other characters than visible ASCII".to_string(),
        })
}

async fn read_body(body: body::Incoming, limit: u64) -> Result<Bytes, Error> {
    let whole = Limited::new(body, limit as usize).collect();
    let whole = tokio::time::timeout(BODY_TIMEOUT, whole)
        .await
        .map_err(|_| Error::Body("timeout".to_string()))?;
    whole.map(|body| body.to_bytes()).map_err(|e| {
        match e.is::<http_body_util::LengthLimitError>() {
            true => Error::TooLarge(limit),
            false => Error::Body(e.to_string()),
        }
    })
}

fn reply(answer: request::Answer, caller_id: &str) -> serve::Reply {
    let mut reply = serve::Reply::new(http_body_util::Full::new(answer.body));
    *reply.status_mut() = answer.status;
    let headers = reply.headers_mut();
    for (name, value) in &answer.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, http::HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = http::HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(request::OUTCOME, answer.outcome.as_str());
    set(request::REQUEST_ID, caller_id);
    if let Some(reason) = &answer.reason {
        set(request::REASON, reason);
    }
    if let Some(server) = &answer.server {
        set(request::SERVER, server);
    }
    if let Some(retry_after) = answer.retry_after {
        // The header counts whole seconds; a shorter time would read as "at once".
        let seconds = retry_after.as_millis().div_ceil(1000).max(1);
        set(http::header::RETRY_AFTER.as_str(), &seconds.to_string());
    }
    reply
}
