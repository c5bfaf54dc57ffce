//! One request, from its client to a backend server and back.

use std::{net, sync, time};

use http::header;
use tokio::sync::oneshot;
use xxhash_rust::xxh3;
use yuccatide_steering::gateway as decisions;

use super::{body, error, gateway, reply, sending};

/// Time after which a client should come back where nothing tells when there is room.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// A request whose head was read.
pub(super) struct Job {
    pub(super) head: http::request::Parts,
    pub(super) id: String,
    pub(super) req: decisions::Request,
}

/// Gives up a request when its client goes away.
struct Guard<'a> {
    gateway: &'a gateway::Gateway,
    ticket: decisions::Ticket,
    is_armed: bool,
}

impl<'a> Guard<'a> {
    /// Lets a request wait for a backend server.
    fn submit(
        gateway: &'a gateway::Gateway,
        job: &Job,
    ) -> (Guard<'a>, oneshot::Receiver<decisions::Decision>) {
        let (ticket, rx) = gateway.submit(job.req.clone());
        let guard = Guard {
            gateway,
            ticket,
            is_armed: true,
        };
        (guard, rx)
    }

    fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.gateway.abandon(self.ticket);
        }
    }
}

/// Serves a request; the answer tells truly whether it has run.
pub(super) async fn handle(
    gateway: sync::Arc<gateway::Gateway>,
    req: http::Request<hyper::body::Incoming>,
    client: net::IpAddr,
) -> reply::Reply {
    let start = time::Instant::now();
    let (head, incoming) = req.into_parts();
    let (route, mut answer) = match admit(&gateway, head, client) {
        Ok(job) => {
            let route = job.req.route.clone();
            (route.name.clone(), serve(&gateway, job, incoming).await)
        }
        Err(reply) => (String::new(), *reply),
    };
    let result = result_of(&gateway, &answer);
    gateway.metrics.request(&route, result, start.elapsed());
    if gateway.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// What a client got, as the metrics name it.
fn result_of(gateway: &gateway::Gateway, reply: &reply::Reply) -> &'static str {
    let is_servers = reply
        .headers()
        .contains_key(&gateway.header_names.signature);
    match reply.status() {
        status if status.is_success() => "answered",
        _ if is_servers => "answered-with-failure",
        http::StatusCode::SERVICE_UNAVAILABLE => "refused",
        status if status.is_server_error() => "unknown",
        _ => "denied",
    }
}

/// Finds the route and checks the bounds of a request's head.
fn admit(
    gateway: &gateway::Gateway,
    head: http::request::Parts,
    client: net::IpAddr,
) -> Result<Job, Box<reply::Reply>> {
    let now = gateway.clock.now();
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let Some(host) = host.or_else(|| head.uri.host()) else {
        return Err(Box::new(reply::status(
            http::StatusCode::BAD_REQUEST,
            "no Host header",
        )));
    };
    let route = match gateway.find(host, head.uri.path()) {
        decisions::RouteMatch::Route(route) => route,
        decisions::RouteMatch::NoRoute => {
            return Err(Box::new(reply::status(
                http::StatusCode::NOT_FOUND,
                "no route",
            )));
        }
        decisions::RouteMatch::NoPolicy => {
            let pause = time::Duration::from_millis(500);
            return Err(Box::new(reply::refusal(decisions::Reason::NoPolicy, pause)));
        }
    };
    check_limits(&gateway.limits(), &head)
        .map_err(|code| Box::new(reply::status(code, "too large")))?;
    let text = |name: &header::HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let id = text(&gateway.header_names.request_id)
        .unwrap_or_default()
        .to_string();
    let asked = text(&gateway.header_names.deadline)
        .and_then(|text| text.trim().parse().ok())
        .map_or(route.timeout, time::Duration::from_millis);
    let object = gateway.header_names.object(&head.headers);
    let (service, is_client_retry) = gateway.arrive(&route, client, asked);
    let req = decisions::Request {
        service,
        object: object
            .filter(|_| route.has_affinity)
            .map(|name| object_of(&route, name)),
        arrived: now,
        deadline: now + asked.min(route.timeout),
        is_client_retry,
        tried_servers: Vec::new(),
        route,
    };
    Ok(Job { head, id, req })
}

/// Objects of different routes are different, also under the same name.
fn object_of(route: &decisions::Route, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(route.name.as_bytes()))
}

fn check_limits(
    limits: &decisions::ClientLimits,
    head: &http::request::Parts,
) -> Result<(), http::StatusCode> {
    let size: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size > limits.max_header_bytes {
        return Err(http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let announced = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if announced.is_some_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(http::StatusCode::PAYLOAD_TOO_LARGE);
    }
    Ok(())
}

async fn serve(
    gateway: &gateway::Gateway,
    job: Job,
    incoming: hyper::body::Incoming,
) -> reply::Reply {
    let left = job.req.deadline.saturating_sub(gateway.clock.now());
    let mut progress = Progress::default();
    let (id, route) = (job.id.clone(), job.req.route.clone());
    let served = tokio::time::timeout(left, attempts(gateway, job, incoming, &mut progress)).await;
    if let Ok(reply) = served {
        return reply;
    }
    if let Some(omitted) = gateway.admit_line("timeout") {
        log::warn!(
            request = id, route = route.name, may_have_run = progress.may_have_run || progress.is_sent,
            arrivals = progress.arrivals, waited_ms = left.as_millis() as u64, omitted;
            "the time to answer a request ran out"
        );
    }
    timed_out(&progress)
}

fn timed_out(progress: &Progress) -> reply::Reply {
    match progress.may_have_run || progress.is_sent {
        true => reply::status(http::StatusCode::GATEWAY_TIMEOUT, "timeout"),
        false => reply::refusal(decisions::Reason::Overload, RETRY_AFTER),
    }
}

/// How far a request has come.
#[derive(Default)]
struct Progress {
    /// Whether a backend server may have run the request.
    may_have_run: bool,
    /// Whether a sending is in progress.
    is_sent: bool,
    /// Backend servers that received it.
    arrivals: u32,
    /// The failure that a backend server answered, for the case that no other one does better.
    failure: Option<reply::Reply>,
}

/// Sends a request to backend servers until one answers or no further one may be tried.
async fn attempts(
    gateway: &gateway::Gateway,
    mut job: Job,
    incoming: hyper::body::Incoming,
    progress: &mut Progress,
) -> reply::Reply {
    let read = match body::read(incoming).await {
        Ok(read) => read,
        Err(e) => {
            log::debug!(request = job.id, error:% = e; "a client's body broke off");
            return reply::status(http::StatusCode::BAD_REQUEST, "the body broke off");
        }
    };
    let (bytes, mut rest) = match read {
        body::Read::Whole(bytes) => (bytes, None),
        body::Read::Partial(bytes, rest) => (bytes, Some(rest)),
    };
    let is_whole = rest.is_none();
    loop {
        let (mut guard, rx) = Guard::submit(gateway, &job);
        let (index, entry) = match rx.await {
            Ok(decisions::Decision::Send(index, entry)) => (index, entry),
            Ok(decisions::Decision::Refuse {
                reason,
                retry_after,
            }) => {
                guard.disarm();
                return give_up(gateway, &job, progress, reason, retry_after);
            }
            Err(_) => {
                let reason = decisions::Reason::Stopping;
                return give_up(gateway, &job, progress, reason, time::Duration::ZERO);
            }
        };
        let body = match rest.take() {
            None => body::whole(bytes.clone()),
            Some(rest) => body::chained(bytes.clone(), rest, ()),
        };
        let sending = sending::Sending {
            gateway,
            job: &job,
            index,
            entry: &entry,
            ticket: guard.ticket,
        };
        progress.is_sent = true;
        let result = sending::send(&sending, body).await;
        progress.is_sent = false;
        guard.disarm();
        let (outcome, load) = match &result {
            Ok(answer) => (answer.outcome, sending::load_of(gateway, &answer.reply)),
            Err(e) => (e.outcome(), None),
        };
        gateway.finish(guard.ticket, outcome, load);
        progress.arrivals += u32::from(outcome.reached_server());
        progress.may_have_run |= !outcome.is_not_run();
        note_sending(gateway, &job, &entry, progress.arrivals, outcome, &result);
        let now = gateway.clock.now();
        let next = match outcome.next_action(&job.req, progress.arrivals, now) {
            decisions::NextAction::Retry { .. } if !is_whole => end_of(outcome),
            decisions::NextAction::Retry { uses_budget: true }
                if !gateway.repeat(&job.req.service) =>
            {
                end_of(outcome)
            }
            next => next,
        };
        let reply = result.ok().map(|answer| answer.reply);
        match (next, reply) {
            (decisions::NextAction::Retry { .. }, reply) => {
                job.req.tried_servers.push(index);
                let is_failure = outcome == decisions::Outcome::Failed;
                progress.failure = reply.filter(|_| is_failure).or(progress.failure.take());
            }
            (decisions::NextAction::Deliver, Some(reply)) => return reply,
            (decisions::NextAction::Refuse(reason), _) => {
                return give_up(gateway, &job, progress, reason, RETRY_AFTER);
            }
            _ => return reply::status(http::StatusCode::BAD_GATEWAY, "the outcome is not known"),
        }
    }
}

/// Ends a request that is not sent again: it is refused only where it has not run.
fn give_up(
    gateway: &gateway::Gateway,
    job: &Job,
    progress: &mut Progress,
    reason: decisions::Reason,
    retry_after: time::Duration,
) -> reply::Reply {
    if let Some(failure) = progress.failure.take() {
        return failure;
    }
    match progress.may_have_run {
        true => reply::status(http::StatusCode::BAD_GATEWAY, "the outcome is not known"),
        false => refuse(gateway, job, reason, retry_after),
    }
}

/// What follows from an outcome that may not be repeated.
fn end_of(outcome: decisions::Outcome) -> decisions::NextAction {
    match outcome {
        decisions::Outcome::Failed => decisions::NextAction::Deliver,
        _ if outcome.is_not_run() => decisions::NextAction::Refuse(decisions::Reason::Budget),
        _ => decisions::NextAction::Unknown,
    }
}

/// Logs a sending that did not succeed.
fn note_sending(
    gateway: &gateway::Gateway,
    job: &Job,
    entry: &decisions::ServerEntry,
    arrivals: u32,
    outcome: decisions::Outcome,
    result: &Result<sending::Answer, error::Error>,
) {
    let now = gateway.clock.now();
    if outcome == decisions::Outcome::Answered {
        return;
    }
    let Some(omitted) = gateway.admit_line("sending") else {
        return;
    };
    log::warn!(
        request = job.id, route = job.req.route.name, server = entry.id, address:% = entry.address,
        outcome = outcome.as_str(), arrivals,
        error = result.as_ref().err().map(ToString::to_string),
        status = result.as_ref().ok().map(|answer| answer.reply.status().as_u16()),
        age_ms = now.saturating_sub(job.req.arrived).as_millis() as u64,
        left_ms = job.req.deadline.saturating_sub(now).as_millis() as u64, omitted;
        "a sending did not succeed"
    );
}

fn refuse(
    gateway: &gateway::Gateway,
    job: &Job,
    reason: decisions::Reason,
    retry_after: time::Duration,
) -> reply::Reply {
    let now = gateway.clock.now();
    gateway.metrics.refusal(reason);
    if let Some(omitted) = gateway.admit_line("refusal") {
        log::info!(
            request = job.id, route = job.req.route.name, service = job.req.service,
            reason = reason.as_str(), retry_after_ms = retry_after.as_millis() as u64,
            has_returned = job.req.is_client_retry, tried = job.req.tried_servers.len(),
            age_ms = now.saturating_sub(job.req.arrived).as_millis() as u64,
            left_ms = job.req.deadline.saturating_sub(now).as_millis() as u64, omitted;
            "a request was refused"
        );
    }
    reply::refusal(reason, retry_after)
}
