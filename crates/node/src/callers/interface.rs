//! Routes of the interface.

use std::{net, sync, time};

use hyper::body;
use yuccatide_steering::model;

use super::{Error, lookup, run};
use crate::{engine, request, serve, tasks, telemetry::metrics};

/// The interface for callers, over the decisions of one host.
pub struct Interface {
    pub(super) engine: sync::Arc<engine::Engine>,
    pub(super) metrics: metrics::Metrics,
    pub(super) permits: sync::Arc<tokio::sync::Semaphore>,
    tasks: tasks::Tasks,
}

impl Interface {
    /// An interface that carries at most `max_requests` at once.  Without all its `tasks` the host is
    /// not ready.
    pub fn new(
        engine: sync::Arc<engine::Engine>,
        metrics: metrics::Metrics,
        max_requests: usize,
        tasks: tasks::Tasks,
    ) -> Interface {
        let max_requests = max_requests.min(tokio::sync::Semaphore::MAX_PERMITS);
        Interface {
            engine,
            metrics,
            permits: sync::Arc::new(tokio::sync::Semaphore::new(max_requests)),
            tasks,
        }
    }

    /// Answers one HTTP request.
    pub async fn handle(
        &self,
        req: http::Request<body::Incoming>,
        client: net::SocketAddr,
    ) -> serve::Reply {
        let start = time::Instant::now();
        let path = req.uri().path();
        if path == "/v1/lookup" {
            let answer = lookup::answer(self, &req, client.ip());
            self.metrics.lookup(start.elapsed());
            return answer.unwrap_or_else(refusal);
        }
        if path == "/v1/ready" {
            return match self.engine.is_ready() && self.tasks.are_running() {
                true => serve::text(http::StatusCode::OK, "ready"),
                false => refusal(Error::NotReady),
            };
        }
        if !path.starts_with(run::PREFIX) {
            return refusal(Error::Path);
        }
        let id = req.headers().get(request::REQUEST_ID).cloned();
        let keyed = req.headers().contains_key(request::IDEMPOTENCY_KEY);
        match run::answer(self, req, client.ip(), start).await {
            Ok(reply) => reply,
            Err(e) if keyed && !e.holds_at_every_host() => with_id(key_refusal(e), id),
            Err(e) => with_id(refusal(e), id),
        }
    }
}

/// Returns the caller's id with the answer, so that the caller can tell whose answer it is.
fn with_id(mut reply: serve::Reply, id: Option<http::HeaderValue>) -> serve::Reply {
    if let Some(id) = id {
        reply.headers_mut().insert(request::REQUEST_ID, id);
    }
    reply
}

/// A refused request was not run.
fn refusal(e: Error) -> serve::Reply {
    refusal_with(e, model::Outcome::NotRun)
}

/// Another host may have run the key of a request that this host alone refused.
fn key_refusal(e: Error) -> serve::Reply {
    refusal_with(e, model::Outcome::Unknown)
}

fn refusal_with(e: Error, outcome: model::Outcome) -> serve::Reply {
    let mut reply = serve::text(e.status(), e.to_string());
    let headers = reply.headers_mut();
    let outcome = http::HeaderValue::from_static(outcome.as_str());
    headers.insert(request::OUTCOME, outcome);
    headers.insert(request::REASON, http::HeaderValue::from_static(e.reason()));
    reply
}
