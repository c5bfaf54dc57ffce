//! A request in a pool and its attempts.

use crate::model;

/// A request that a pool has accepted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Metadata of the request.
    pub meta: model::RequestMeta,
    /// Service that runs the request.
    pub service: model::ServiceId,
    /// Whether the request may be retried without proof that it has not run.
    pub idempotent: bool,
    /// Backend servers with a running attempt.
    pub running_servers: Vec<model::ServerId>,
    /// Backend servers on which an attempt was started.
    pub tried_servers: Vec<model::ServerId>,
    /// Whether an attempt that has ended may have run the request.
    pub may_have_run: bool,
    /// Whether the HTTP client has cancelled the request.
    pub cancelled: bool,
    /// Whether the request has ended; attempts may still be running.
    pub ended: bool,
    /// Whether a response has begun to arrive, which makes a further attempt useless.
    pub response_started: bool,
}

impl Request {
    /// Creates a request without attempts.
    pub fn new(meta: model::RequestMeta, service: model::ServiceId, idempotent: bool) -> Request {
        Request {
            meta,
            service,
            idempotent,
            running_servers: Vec::new(),
            tried_servers: Vec::new(),
            may_have_run: false,
            cancelled: false,
            ended: false,
            response_started: false,
        }
    }

    /// Records the start of an attempt and returns its number, 1 for the first.
    pub fn start_attempt(&mut self, server: &str) -> u32 {
        self.running_servers.push(server.to_string());
        self.tried_servers.push(server.to_string());
        self.tried_servers.len() as u32
    }

    /// Records the end of an attempt; returns whether the attempt was running.
    pub fn end_attempt(&mut self, server: &str) -> bool {
        let before = self.running_servers.len();
        self.running_servers.retain(|other| other != server);
        self.running_servers.len() < before
    }

    /// Whether a further attempt is allowed.  A request that is not idempotent needs proof that no
    /// earlier attempt has run it or is running it.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.idempotent || !self.may_have_run && self.running_servers.is_empty();
        is_safe && !self.ended && !self.cancelled && !self.response_started
    }
}
