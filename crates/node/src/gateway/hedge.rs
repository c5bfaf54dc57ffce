//! A second attempt beside a first one that is slower than nearly all of its kind.

use std::{future::Future, time};

use bytes::Bytes;
use yuccatide_steering::gateway as decisions;

use super::{attempt, body, error, gateway};

type AttemptResult = Result<attempt::ServerResponse, error::Error>;

/// The attempt whose result counts, and what the other one cost.
pub(super) struct Finished {
    pub(super) ticket: decisions::Ticket,
    pub(super) index: decisions::ServerIndex,
    pub(super) entry: decisions::ServerEntry,
    pub(super) result: AttemptResult,
    /// Backend servers that got the request in the other attempt: 0 or 1.
    pub(super) other_arrivals: u32,
}

impl Finished {
    /// An attempt without a second one.
    pub(super) fn alone(attempt: &attempt::Attempt<'_>, result: AttemptResult) -> Finished {
        Finished {
            ticket: attempt.ticket,
            index: attempt.index,
            entry: attempt.entry.clone(),
            result,
            other_arrivals: 0,
        }
    }
}

/// Results of a first and a second attempt; `None` for one that was cancelled.
struct Raced {
    first: Option<AttemptResult>,
    second: Option<AttemptResult>,
}

/// Ends the accounts of a second attempt, and abandons it if it is dropped before it has ended.
struct SecondGuard<'a> {
    gateway: &'a gateway::Gateway,
    second: &'a decisions::SecondAttempt,
    service: &'a str,
    started: time::Instant,
    is_armed: bool,
}

impl Drop for SecondGuard<'_> {
    fn drop(&mut self) {
        let saved = self.second.expected.saturating_sub(self.started.elapsed());
        self.gateway.refund_extra_work(self.service, saved);
        if self.is_armed {
            self.gateway.abandon(self.second.ticket);
        }
    }
}

/// Sends a request whose whole body is `bytes`, and sends it to a second backend server as well if
/// that becomes due and is allowed.  The first good answer counts; the other attempt is cancelled.
pub(super) async fn send(
    first: &attempt::Attempt<'_>,
    bytes: &Bytes,
    earlier_arrivals: u32,
) -> Finished {
    let (gateway, req) = (first.gateway, &first.client_req.req);
    let started = time::Instant::now();
    let first_send = attempt::send(first, body::full(bytes.clone()));
    tokio::pin!(first_send);
    let due = async {
        match gateway.second_attempt_delay(req, earlier_arrivals) {
            Some(delay) => tokio::time::sleep(delay).await,
            None => std::future::pending().await,
        }
    };
    let second = tokio::select! {
        result = &mut first_send => {
            record_first(first, &result, started);
            return Finished::alone(first, result);
        }
        () = due => gateway.begin_second_attempt(req, first.index),
    };
    let Some(second) = second else {
        let result = first_send.await;
        record_first(first, &result, started);
        return Finished::alone(first, result);
    };
    log_second(first, &second, started);
    let mut guard = SecondGuard {
        gateway,
        second: &second,
        service: &req.service,
        started: time::Instant::now(),
        is_armed: true,
    };
    let second_attempt = attempt::Attempt {
        index: second.server,
        entry: &second.entry,
        ticket: second.ticket,
        chosen_at: gateway.clock.now(),
        ..*first
    };
    let second_send = attempt::send(&second_attempt, body::full(bytes.clone()));
    let raced = race(first_send, second_send).await;
    let has_second_won =
        raced.second.as_ref().is_some_and(is_good) && !raced.first.as_ref().is_some_and(is_good);
    guard.is_armed = raced.second.is_none();
    match (has_second_won, raced.first, raced.second) {
        (true, first_result, Some(result)) => {
            gateway.metrics.second_attempts_won.inc();
            let other_arrivals = arrivals(&first_result);
            match first_result {
                Some(first_result) => finish(gateway, first.ticket, &first_result),
                None => {
                    gateway.record_first_latency(req, started.elapsed());
                    gateway.abandon(first.ticket);
                }
            }
            Finished {
                ticket: second.ticket,
                index: second.server,
                entry: second.entry.clone(),
                result,
                other_arrivals,
            }
        }
        (_, first_result, second_result) => {
            if let Some(second_result) = &second_result {
                finish(gateway, second.ticket, second_result);
            }
            // A race ends without the first result only if the second one is good.
            let result = first_result.unwrap_or(Err(error::Error::Withdrawn));
            record_first(first, &result, started);
            Finished {
                other_arrivals: arrivals(&second_result),
                ..Finished::alone(first, result)
            }
        }
    }
}

/// Runs both attempts until one yields a good answer, or both have ended.
async fn race(
    first: impl Future<Output = AttemptResult> + Unpin,
    second: impl Future<Output = AttemptResult>,
) -> Raced {
    let mut first = first;
    tokio::pin!(second);
    let (first_result, second_result) = tokio::select! {
        result = &mut first => (Some(result), None),
        result = &mut second => (None, Some(result)),
    };
    let is_decided = [&first_result, &second_result]
        .into_iter()
        .any(|result| result.as_ref().is_some_and(is_good));
    match (is_decided, first_result, second_result) {
        (false, Some(first), None) => Raced {
            first: Some(first),
            second: Some(second.await),
        },
        (false, None, second) => Raced {
            first: Some(first.await),
            second,
        },
        (_, first, second) => Raced { first, second },
    }
}

fn is_good(result: &AttemptResult) -> bool {
    result
        .as_ref()
        .is_ok_and(|received| received.outcome == decisions::Outcome::Answered)
}

fn outcome(result: &AttemptResult) -> decisions::Outcome {
    match result {
        Ok(received) => received.outcome,
        Err(e) => e.outcome(),
    }
}

/// Backend servers that got the request in an attempt; one that was cancelled may have reached its
/// server.
fn arrivals(result: &Option<AttemptResult>) -> u32 {
    let reached = |result| outcome(result).reached_server();
    u32::from(result.as_ref().is_none_or(reached))
}

/// Ends the attempt whose result does not count.
fn finish(gateway: &gateway::Gateway, ticket: decisions::Ticket, result: &AttemptResult) {
    let signals = result.as_ref().ok().map(|received| received.signals);
    gateway.finish_attempt(ticket, outcome(result), signals);
}

fn record_first(first: &attempt::Attempt<'_>, result: &AttemptResult, started: time::Instant) {
    if is_good(result) {
        let req = &first.client_req.req;
        first.gateway.record_first_latency(req, started.elapsed());
    }
}

fn log_second(
    first: &attempt::Attempt<'_>,
    second: &decisions::SecondAttempt,
    started: time::Instant,
) {
    let (gateway, client_req) = (first.gateway, first.client_req);
    gateway.metrics.second_attempts.inc();
    if let Some(omitted) = gateway.admit_log_line("second-attempt") {
        log::info!(
            request = client_req.id, route = client_req.req.route.name,
            first = first.entry.id, second = second.entry.id,
            waited_ms = started.elapsed().as_millis() as u64,
            expected_ms = second.expected.as_millis() as u64, omitted;
            "second attempt of a slow request"
        );
    }
}

impl gateway::Gateway {
    /// Time after the sending of a first attempt at which a second one is due; `None` if the request
    /// must not get one.
    fn second_attempt_delay(
        &self,
        req: &decisions::Request,
        earlier_arrivals: u32,
    ) -> Option<time::Duration> {
        let may_repeat = req.route.is_idempotent && earlier_arrivals + 2 <= req.route.attempts;
        // Both attempts would count against the quota, of which the request has one token.
        let has_quota = req
            .customer
            .as_ref()
            .is_some_and(|customer| customer.quota.is_some());
        let delay = self.lock().hedger.delay(&req.service, &req.route.name);
        delay.filter(|_| may_repeat && !has_quota && !self.is_stopping())
    }

    /// Begins a second attempt of a request whose first one is in progress at `first`.
    fn begin_second_attempt(
        &self,
        req: &decisions::Request,
        first: decisions::ServerIndex,
    ) -> Option<decisions::SecondAttempt> {
        let now = self.clock.now();
        let mut req = req.clone();
        req.tried_servers.push(first);
        let state = &mut *self.lock();
        let hosts = state.members.known_host_count();
        let hedger = &mut state.hedger;
        state
            .dispatcher
            .begin_second_attempt(req, hedger, hosts, now)
    }

    /// Records how long a first attempt took, or after what time it was given up.
    fn record_first_latency(&self, req: &decisions::Request, latency: time::Duration) {
        let hedger = &mut self.lock().hedger;
        hedger.record_first(&req.service, &req.route.name, latency);
    }

    fn refund_extra_work(&self, service: &str, saved: time::Duration) {
        self.lock().hedger.refund(service, saved);
    }
}
