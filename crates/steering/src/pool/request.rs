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
    pub running: Vec<model::ServerId>,
    /// Backend servers on which an attempt was started.
    pub tried_servers: Vec<model::ServerId>,
    /// Whether an attempt that has ended may have run the request.
    pub may_have_run: bool,
    /// Whether the caller has cancelled the request.
    pub cancelled: bool,
    /// Whether the request has ended; attempts may still be running.
    pub ended: bool,
    /// Whether a response has begun to arrive, which makes a further attempt useless.
    pub has_response: bool,
}

impl Request {
    /// Creates a request without attempts.
    pub fn new(meta: model::RequestMeta, service: model::ServiceId, idempotent: bool) -> Request {
        Request {
            meta,
            service,
            idempotent,
            running: Vec::new(),
            tried_servers: Vec::new(),
            may_have_run: false,
            cancelled: false,
            ended: false,
            has_response: false,
        }
    }

    /// Records the start of an attempt and returns its number, 1 for the first.
    pub fn start_attempt(&mut self, server: &str) -> u32 {
        self.running.push(server.to_string());
        self.tried_servers.push(server.to_string());
        self.tried_servers.len() as u32
    }

    /// Records the end of an attempt; returns whether the attempt was running.
    pub fn end_attempt(&mut self, server: &str) -> bool {
        let before = self.running.len();
        self.running.retain(|other| other != server);
        self.running.len() < before
    }

    /// Whether a further attempt is allowed, although others are running or may have run.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.idempotent || !self.may_have_run && self.running.is_empty();
        is_safe && !self.ended && !self.cancelled && !self.has_response
    }
}
