//! Forwards a client's request to a backend server and returns the response.

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use http::header;
use hyper::body::Body as _;
use tokio::sync::oneshot;
use xxhash_rust::xxh3;
use yuccatide_steering::{clients, gateway as decisions};

use super::{attempt, authentication, body, error, fingerprint, gateway, hedge, memory, response};

/// Retry-After of a refusal if no estimate of free capacity is available.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Retry-After of a refusal for lack of memory: slow clients have been closed by then.
const MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// A client's request after its head was read and validated.
pub(super) struct ClientRequest {
    pub(super) head: http::request::Parts,
    pub(super) id: String,
    /// Name of the customer, as backend servers get it.
    pub(super) customer_name: Option<header::HeaderValue>,
    pub(super) req: decisions::Request,
    pub(super) client: sync::Arc<memory::ClientConnection>,
}

/// Abandons the request if it is dropped while armed, which happens when the client disconnects or
/// the deadline passes.
struct AbandonGuard<'a> {
    gateway: &'a gateway::Gateway,
    ticket: decisions::Ticket,
    is_armed: bool,
}

impl<'a> AbandonGuard<'a> {
    /// Queues a request for a backend server.
    fn submit(
        gateway: &'a gateway::Gateway,
        client_req: &ClientRequest,
    ) -> (AbandonGuard<'a>, oneshot::Receiver<gateway::TimedDecision>) {
        let (ticket, rx) = gateway.submit(client_req.req.clone());
        let guard = AbandonGuard {
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

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.gateway.abandon(self.ticket);
        }
    }
}

/// Forwards a request, without body if there is no `incoming` one, and returns the response, which
/// never claims that a request has not run if it may have run.
pub(super) async fn forward_request(
    gateway: sync::Arc<gateway::Gateway>,
    head: http::request::Parts,
    incoming: Option<hyper::body::Incoming>,
    client: sync::Arc<memory::ClientConnection>,
) -> response::Response {
    let start = time::Instant::now();
    let (route, customer, response) = match prepare(&gateway, head, &client) {
        Ok(client_req) => {
            let (route, customer) = (
                client_req.req.route.clone(),
                client_req.req.customer.clone(),
            );
            (
                route.name.clone(),
                customer,
                serve_within_quota(&gateway, client_req, incoming).await,
            )
        }
        Err(response) => (String::new(), None, *response),
    };
    let result = result_label(&gateway, &response);
    if let Some(customer) = &customer {
        gateway.metrics.record_customer(&customer.name, result);
    }
    gateway
        .metrics
        .record_request(&route, result, start.elapsed());
    response
}

/// Value of the `result` label of a response in the metrics:
/// - `answered`: success;
/// - `answered-with-failure`: signed response of a backend server without a success status;
/// - `refused`: the host sent 503, and no backend server has run the request;
/// - `over-quota`: the host sent 429, as the customer's quota is used up;
/// - `unknown`: another 5xx of the host; a backend server may have run the request;
/// - `denied`: the host rejected the request, for example for lack of a route or for its size.
fn result_label(gateway: &gateway::Gateway, response: &response::Response) -> &'static str {
    let is_from_server = response
        .headers()
        .contains_key(&gateway.header_names.signature);
    match response.status() {
        status if status.is_success() => "answered",
        _ if is_from_server => "answered-with-failure",
        http::StatusCode::SERVICE_UNAVAILABLE => "refused",
        http::StatusCode::TOO_MANY_REQUESTS => "over-quota",
        status if status.is_server_error() => "unknown",
        _ => "denied",
    }
}

/// Finds the route and the customer of a request and checks its head against the limits.
fn prepare(
    gateway: &gateway::Gateway,
    mut head: http::request::Parts,
    client: &sync::Arc<memory::ClientConnection>,
) -> Result<ClientRequest, Box<response::Response>> {
    let now = gateway.clock.now();
    let host_name = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let Some(host_name) = host_name.or_else(|| head.uri.host()) else {
        return Err(Box::new(response::text(
            http::StatusCode::BAD_REQUEST,
            "no Host header",
        )));
    };
    let (route_match, customers) = gateway.find_route(host_name, head.uri.path());
    let route = match route_match {
        decisions::RouteMatch::Route(route) => route,
        decisions::RouteMatch::NoRoute => {
            return Err(Box::new(response::text(
                http::StatusCode::NOT_FOUND,
                "no route",
            )));
        }
        decisions::RouteMatch::NoPolicy => {
            let retry_after = time::Duration::from_millis(500);
            return Err(Box::new(response::refusal(
                decisions::Reason::NoPolicy,
                retry_after,
            )));
        }
    };
    check_limits(&gateway.client_limits(), &head)
        .map_err(|code| Box::new(response::text(code, "too large")))?;
    let names = &gateway.header_names;
    let identity = match customers {
        Some(customers) => {
            authentication::authenticate(names, &customers, &route, &mut head.headers)
                .map_err(|denial| Box::new(authentication::deny(gateway, &head, &route, denial)))?
        }
        None => authentication::Identity::default(),
    };
    let text = |name: &header::HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let id = text(&names.request_id).unwrap_or_default().to_string();
    let requested_timeout = text(&names.deadline)
        .and_then(|text| text.trim().parse().ok())
        .map_or(route.timeout, time::Duration::from_millis);
    let object = names.object_name(&head.headers);
    let customer = identity.customer;
    let (service, is_client_retry) = gateway.assign_service(
        &route,
        customer.as_deref(),
        client.address(),
        requested_timeout,
    );
    let req = decisions::Request {
        service,
        object_hash: object
            .filter(|_| route.has_affinity)
            .map(|name| object_key(&route, name)),
        arrived: now,
        deadline: now + requested_timeout.min(route.timeout),
        is_client_retry,
        tried_servers: Vec::new(),
        customer,
        route,
    };
    Ok(ClientRequest {
        head,
        id,
        customer_name: identity.name,
        req,
        client: sync::Arc::clone(client),
    })
}

/// Hash of an object's name. Equal names on different routes yield different keys.
fn object_key(route: &decisions::Route, name: &str) -> u64 {
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
    let content_length = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if content_length.is_some_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(http::StatusCode::PAYLOAD_TOO_LARGE);
    }
    Ok(())
}

/// Serves a request if the quota of its customer, if it has one, admits it.
async fn serve_within_quota(
    gateway: &gateway::Gateway,
    client_req: ClientRequest,
    incoming: Option<hyper::body::Incoming>,
) -> response::Response {
    let permit = match gateway.admit_by_quota(&client_req).await {
        Ok(permit) => permit,
        Err(response) => return *response,
    };
    let response = serve_before_deadline(gateway, client_req, incoming).await;
    if let Some(permit) = permit
        && result_label(gateway, &response) == "refused"
    {
        gateway.give_back(permit);
    }
    response
}

async fn serve_before_deadline(
    gateway: &gateway::Gateway,
    client_req: ClientRequest,
    incoming: Option<hyper::body::Incoming>,
) -> response::Response {
    let left = client_req.req.deadline.saturating_sub(gateway.clock.now());
    let mut progress = Progress::default();
    let (id, route) = (client_req.id.clone(), client_req.req.route.clone());
    let (message, reason) = tokio::select! {
        response = send_with_retries(gateway, client_req, incoming, &mut progress) => {
            return response;
        }
        () = tokio::time::sleep(left) => {
            ("request deadline exceeded", decisions::Reason::Overload)
        }
        () = gateway.wait_for_grace_end() => {
            ("grace period is over; request ended", decisions::Reason::Stopping)
        }
    };
    if let Some(omitted) = gateway.admit_log_line("timeout") {
        // `waited_ms` is the time that was left until the deadline when serving began.
        log::warn!(
            request = id, route = route.name,
            may_have_run = progress.may_have_run(),
            arrivals = progress.arrivals, waited_ms = left.as_millis() as u64, omitted;
            "{message}"
        );
    }
    response_without_answer(&progress, reason)
}

/// Response to a request that no backend server has answered in time.
fn response_without_answer(progress: &Progress, reason: decisions::Reason) -> response::Response {
    match progress.may_have_run() {
        true => response::text(http::StatusCode::GATEWAY_TIMEOUT, "timeout"),
        false => response::refusal(reason, DEFAULT_RETRY_AFTER),
    }
}

/// Progress of a request.
#[derive(Default)]
struct Progress {
    /// Whether a backend server may have run the request in an attempt that has ended.
    has_maybe_run: bool,
    /// Whether an attempt is in progress that a backend server may have received.
    is_attempt_sent: atomic::AtomicBool,
    /// Number of backend servers that received the request.
    arrivals: u32,
    /// Last failure response of a backend server, returned if no other attempt does better.
    failure: Option<response::Response>,
}

impl Progress {
    /// Whether a backend server may have run the request.
    fn may_have_run(&self) -> bool {
        self.has_maybe_run || self.is_attempt_sent.load(atomic::Ordering::Relaxed)
    }
}

/// Sends a request to backend servers until one responds or no further attempt is allowed.
async fn send_with_retries(
    gateway: &gateway::Gateway,
    mut client_req: ClientRequest,
    incoming: Option<hyper::body::Incoming>,
    progress: &mut Progress,
) -> response::Response {
    let mut holder = memory::Holder::new(&gateway.memory, &client_req.client);
    let mut transfer = None;
    if incoming
        .as_ref()
        .is_some_and(|incoming| !is_small(incoming))
    {
        transfer = holder.reserve_transfer().await;
        if transfer.is_none() {
            let reason = decisions::Reason::Memory;
            return give_up(gateway, &client_req, progress, reason, MEMORY_RETRY_AFTER);
        }
    }
    let may_keep = |bytes, total| {
        client_req.client.record(bytes);
        holder.may_keep(total)
    };
    let read = match incoming {
        Some(incoming) => body::read_buffered(incoming, may_keep).await,
        None => Ok(body::ReadBody::Complete(Bytes::new())),
    };
    let read = match read {
        Ok(read) => read,
        Err(e) => {
            log::debug!(request = client_req.id, error:% = e; "failed to read a request body");
            return response::text(http::StatusCode::BAD_REQUEST, "the body broke off");
        }
    };
    let (bytes, mut rest) = match read {
        body::ReadBody::Complete(bytes) => (bytes, None),
        body::ReadBody::Partial(bytes, rest) => (bytes, Some(rest)),
    };
    client_req.client.enter(clients::Phase::Working);
    let is_body_buffered = rest.is_none();
    if is_body_buffered {
        drop(transfer.take());
    }
    let object = gateway.header_names.object_name(&client_req.head.headers);
    let customer = client_req.req.customer.as_ref();
    let customer = customer.map(|customer| customer.name.as_str());
    let fingerprint = fingerprint::fingerprint(&client_req.head, customer, object, &bytes);
    let bytes = holder.hold(bytes);
    loop {
        if let Some((reason, retry_after)) = why_not_sent(gateway, &client_req, fingerprint) {
            return give_up(gateway, &client_req, progress, reason, retry_after);
        }
        let (mut guard, rx) = AbandonGuard::submit(gateway, &client_req);
        let Ok(gateway::TimedDecision { decision, at }) = rx.await else {
            let reason = decisions::Reason::Stopping;
            return give_up(gateway, &client_req, progress, reason, time::Duration::ZERO);
        };
        let (index, entry) = match decision {
            decisions::Decision::Send(index, entry) => (index, entry),
            decisions::Decision::Refuse {
                reason,
                retry_after,
            } => {
                guard.disarm();
                return give_up(gateway, &client_req, progress, reason, retry_after);
            }
        };
        if let Some((reason, retry_after)) = why_not_sent(gateway, &client_req, fingerprint) {
            return give_up(gateway, &client_req, progress, reason, retry_after);
        }
        let attempt = attempt::Attempt {
            gateway,
            client_req: &client_req,
            index,
            entry: &entry,
            fingerprint,
            ticket: guard.ticket,
            chosen_at: at,
            is_sent: &progress.is_attempt_sent,
        };
        let finished = match rest.take() {
            None => hedge::send(&attempt, &bytes, progress.arrivals).await,
            Some(rest) => {
                client_req.client.enter(clients::Phase::Streaming);
                let body = body::prefixed(bytes.clone(), rest, transfer.take());
                hedge::Finished::alone(&attempt, attempt::send(&attempt, body).await)
            }
        };
        let hedge::Finished {
            ticket,
            index,
            entry,
            result,
            other_arrivals,
        } = finished;
        progress
            .is_attempt_sent
            .store(false, atomic::Ordering::Relaxed);
        guard.disarm();
        let (outcome, signals) = match &result {
            Ok(received) => (received.outcome, Some(received.signals)),
            Err(e) => (e.outcome(), None),
        };
        gateway.finish_attempt(ticket, outcome, signals);
        progress.arrivals += u32::from(outcome.reached_server()) + other_arrivals;
        progress.has_maybe_run |= !outcome.was_not_executed() || other_arrivals > 0;
        // Only now: the deadline may pass while the server's address is tried.
        match &result {
            Ok(_) if !outcome.was_not_executed() => gateway.record_answer(fingerprint),
            Err(e) if e.is_connection_broken() => {
                record_crash(gateway, fingerprint, index, &entry).await;
            }
            _ => {}
        }
        log_failed_attempt(
            gateway,
            &client_req,
            fingerprint,
            &entry,
            progress.arrivals,
            outcome,
            &result,
        );
        let now = gateway.clock.now();
        let next = match outcome.next_action(&client_req.req, progress.arrivals, now) {
            decisions::NextAction::Retry { .. } if !is_body_buffered => {
                action_without_retry(outcome)
            }
            decisions::NextAction::Retry { uses_budget: true }
                if !gateway.try_retry(&client_req.req.service) =>
            {
                action_without_retry(outcome)
            }
            next => next,
        };
        let response = result.ok().map(|received| received.response);
        match (next, response) {
            (decisions::NextAction::Retry { .. }, response) => {
                client_req.req.tried_servers.push(index);
                let is_failure = outcome == decisions::Outcome::Failed;
                progress.failure = response.filter(|_| is_failure).or(progress.failure.take());
            }
            (decisions::NextAction::Deliver, Some(response)) => return response,
            (decisions::NextAction::Refuse(reason), _) => {
                return give_up(gateway, &client_req, progress, reason, DEFAULT_RETRY_AFTER);
            }
            _ => return response::unknown_outcome(),
        }
    }
}

/// Whether a body is part of what every connection is counted with.
fn is_small(body: &hyper::body::Incoming) -> bool {
    let largest = body.size_hint().upper();
    largest.is_some_and(|bytes| bytes <= memory::SMALL_BODY_BYTES as u64)
}

/// Why a request must not be sent now, with the time after which it may be, if there is a reason.
fn why_not_sent(
    gateway: &gateway::Gateway,
    client_req: &ClientRequest,
    fingerprint: decisions::Fingerprint,
) -> Option<(decisions::Reason, time::Duration)> {
    if let Some(blocked_for) = gateway.blocked_for(fingerprint) {
        return Some((decisions::Reason::CrashesServers, blocked_for));
    }
    // Other hosts can take it at once.
    let can_answer = gateway.can_answer_before_stop(&client_req.req);
    (!can_answer).then_some((decisions::Reason::Stopping, time::Duration::ZERO))
}

/// Records that a backend server, the connection to which has broken, crashed under a request, if it
/// is gone.
async fn record_crash(
    gateway: &gateway::Gateway,
    fingerprint: decisions::Fingerprint,
    index: decisions::ServerIndex,
    entry: &decisions::ServerEntry,
) {
    let pool = &gateway.connection_pool;
    if pool.is_refused(index, entry.address).await {
        gateway.record_crash(fingerprint, entry);
    }
}

/// Ends a request that is not retried. It is refused only if it has not run.
fn give_up(
    gateway: &gateway::Gateway,
    client_req: &ClientRequest,
    progress: &mut Progress,
    reason: decisions::Reason,
    retry_after: time::Duration,
) -> response::Response {
    if let Some(failure) = progress.failure.take() {
        return failure;
    }
    match progress.has_maybe_run {
        true => response::unknown_outcome(),
        false => refuse(gateway, client_req, reason, retry_after),
    }
}

/// Action after an outcome if no retry is allowed.
fn action_without_retry(outcome: decisions::Outcome) -> decisions::NextAction {
    match outcome {
        decisions::Outcome::Failed => decisions::NextAction::Deliver,
        _ if outcome.was_not_executed() => decisions::NextAction::Refuse(decisions::Reason::Budget),
        _ => decisions::NextAction::Unknown,
    }
}

/// Logs an attempt unless it succeeded.
fn log_failed_attempt(
    gateway: &gateway::Gateway,
    client_req: &ClientRequest,
    fingerprint: decisions::Fingerprint,
    entry: &decisions::ServerEntry,
    arrivals: u32,
    outcome: decisions::Outcome,
    result: &Result<attempt::ServerResponse, error::Error>,
) {
    let now = gateway.clock.now();
    if outcome == decisions::Outcome::Answered {
        return;
    }
    // The kind `sending` stands for attempts.
    let Some(omitted) = gateway.admit_log_line("sending") else {
        return;
    };
    log::warn!(
        request = client_req.id, fingerprint:% = fingerprint::Hex(fingerprint),
        route = client_req.req.route.name, server = entry.id,
        address:% = entry.address, outcome = outcome.as_str(), arrivals,
        error = result.as_ref().err().map(ToString::to_string),
        status = result.as_ref().ok().map(|received| received.status.as_u16()),
        age_ms = now.saturating_sub(client_req.req.arrived).as_millis() as u64,
        left_ms = client_req.req.deadline.saturating_sub(now).as_millis() as u64, omitted;
        "attempt on a backend server failed"
    );
}

fn refuse(
    gateway: &gateway::Gateway,
    client_req: &ClientRequest,
    reason: decisions::Reason,
    retry_after: time::Duration,
) -> response::Response {
    let now = gateway.clock.now();
    gateway.metrics.record_refusal(reason);
    if reason == decisions::Reason::Overload {
        gateway.clients.record_shortage_of_servers();
    }
    if let Some(omitted) = gateway.admit_log_line("refusal") {
        log::info!(
            request = client_req.id, route = client_req.req.route.name,
            service = client_req.req.service, reason = reason.as_str(),
            retry_after_ms = retry_after.as_millis() as u64,
            has_returned = client_req.req.is_client_retry,
            tried = client_req.req.tried_servers.len(),
            age_ms = now.saturating_sub(client_req.req.arrived).as_millis() as u64,
            left_ms = client_req.req.deadline.saturating_sub(now).as_millis() as u64, omitted;
            "request refused"
        );
    }
    response::refusal(reason, retry_after)
}
