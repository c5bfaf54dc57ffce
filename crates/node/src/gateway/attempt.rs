//! One attempt to run a request on a backend server.

use std::{sync, sync::atomic, time};

use http::header;
use yuccatide_steering::{gateway as decisions, matching, model};

use super::{body, error, forward, gateway, memory, response};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Header with the idle timeout of a connection.
const KEEP_ALIVE: header::HeaderName = header::HeaderName::from_static("keep-alive");

/// An attempt to run a request on the chosen backend server.
pub(super) struct Attempt<'a> {
    pub(super) gateway: &'a gateway::Gateway,
    pub(super) client_req: &'a forward::ClientRequest,
    pub(super) index: decisions::ServerIndex,
    pub(super) entry: &'a decisions::ServerEntry,
    pub(super) fingerprint: decisions::Fingerprint,
    pub(super) ticket: decisions::Ticket,
    /// Time of the choice of the backend server.
    pub(super) chosen_at: model::Time,
    /// Set as soon as the backend server may receive the request.
    pub(super) is_sent: &'a atomic::AtomicBool,
}

/// A valid response of a backend server and the outcome that it stands for.
pub(super) struct ServerResponse {
    /// Status that the backend server gave.
    pub(super) status: http::StatusCode,
    /// Response for the client.
    pub(super) response: response::Response,
    pub(super) outcome: decisions::Outcome,
    pub(super) signals: decisions::ServerSignals,
}

/// Sends a request to a backend server and reads its response.
pub(super) async fn send(
    attempt: &Attempt<'_>,
    body: body::Body,
) -> Result<ServerResponse, error::Error> {
    let Attempt {
        gateway,
        entry,
        index,
        ..
    } = *attempt;
    let mut connection = gateway
        .connection_pool
        .acquire(index, entry.address)
        .await?;
    let req = outgoing_request(attempt, body);
    let attempt_id = attempt_id(attempt.ticket);
    let connection_id = connection.number();
    let is_reused = connection.is_reused();
    gateway.with_pending_attempts(|pending| pending.register(attempt_id, connection_id));
    let unregister_guard = UnregisterGuard {
        gateway,
        connection_id,
    };
    let is_blocked = gateway.blocked_for(attempt.fingerprint).is_some();
    if is_blocked || !gateway.may_still_send(attempt.ticket) {
        return Err(error::Error::Withdrawn);
    }
    let delay = gateway.clock.now().saturating_sub(attempt.chosen_at);
    gateway.metrics.send_delay.observe(delay.as_secs_f64());
    attempt.is_sent.store(true, atomic::Ordering::Relaxed);
    let response = connection.send(req).await?;
    let (head, incoming) = response.into_parts();
    let keep_alive = keep_alive_timeout(&head.headers);
    let signals =
        (gateway.header_names.signals)(head.status, &head.headers, time::SystemTime::now());
    let mut holder = memory::Holder::new(&gateway.memory, &attempt.client_req.client);
    let may_keep = |_, total| holder.may_keep(total);
    match body::read_buffered(incoming, may_keep)
        .await
        .map_err(broken_connection)?
    {
        body::ReadBody::Complete(bytes) => {
            let received = received_response(attempt, connection_id, &head, bytes.len() as u64);
            let disposition =
                gateway.with_pending_attempts(|pending| pending.on_response(received));
            if disposition != matching::Disposition::Deliver(attempt_id) {
                return Err(error::Error::Invalid("does not match the request"));
            }
            let outcome = classify(gateway, &head, is_reused)?;
            if !signals.is_leaving {
                gateway
                    .connection_pool
                    .release(index, entry.address, connection, keep_alive);
            }
            Ok(ServerResponse {
                status: head.status,
                response: client_response(head, body::full(holder.hold(bytes))),
                outcome,
                signals,
            })
        }
        body::ReadBody::Partial(bytes, rest) => {
            if names_other_request(attempt, &head) {
                return Err(error::Error::Invalid("does not match the request"));
            }
            let outcome = classify(gateway, &head, is_reused)?;
            drop(unregister_guard);
            let left = attempt
                .client_req
                .req
                .deadline
                .saturating_sub(gateway.clock.now());
            let broken_answers = sync::Arc::clone(&gateway.broken_answers);
            let server = (index, entry.incarnation);
            let body =
                body::prefixed_until(holder.hold(bytes), rest, connection, left, move || {
                    broken_answers.record(server);
                });
            Ok(ServerResponse {
                status: head.status,
                response: client_response(head, body),
                outcome,
                signals,
            })
        }
    }
}

/// Unregisters an attempt that ended without a response.
struct UnregisterGuard<'a> {
    gateway: &'a gateway::Gateway,
    connection_id: matching::ConnectionId,
}

impl Drop for UnregisterGuard<'_> {
    fn drop(&mut self) {
        self.gateway
            .with_pending_attempts(|pending| pending.on_connection_closed(self.connection_id));
    }
}

fn broken_connection(e: hyper::Error) -> error::Error {
    error::Error::Backend(crate::backend::Error::Broken(e.to_string()))
}

/// Id of an attempt. It is derived from the ticket because request ids from clients may be missing
/// or reused.
fn attempt_id(ticket: decisions::Ticket) -> matching::Attempt {
    matching::Attempt {
        id: u128::from(ticket),
        number: 1,
    }
}

/// Id for a response that names another request than the one that waits for it.
const UNKNOWN_ATTEMPT: matching::Attempt = matching::Attempt { id: 0, number: 0 };

fn received_response(
    attempt: &Attempt<'_>,
    connection: matching::ConnectionId,
    head: &http::response::Parts,
    received_bytes: u64,
) -> matching::ReceivedResponse {
    let named = head.headers.get(&attempt.gateway.header_names.request_id);
    let attempt = named.map(
        |id| match id.as_bytes() == attempt.client_req.id.as_bytes() {
            true => attempt_id(attempt.ticket),
            false => UNKNOWN_ATTEMPT,
        },
    );
    matching::ReceivedResponse {
        connection,
        attempt,
        announced_bytes: None,
        received_bytes,
        body_ended: true,
    }
}

fn names_other_request(attempt: &Attempt<'_>, head: &http::response::Parts) -> bool {
    let named = head.headers.get(&attempt.gateway.header_names.request_id);
    named.is_some_and(|id| id.as_bytes() != attempt.client_req.id.as_bytes())
}

/// Outcome that a response stands for, or why it is not the backend server's own.  Only the header
/// `not_run`, or 421 of a server that has not signed it, says that the request has not run; other
/// statuses that a client would take for that are failures.  On a connection that is reused, a
/// refusal that names no request may be an earlier one, written once more.
fn classify(
    gateway: &gateway::Gateway,
    head: &http::response::Parts,
    is_reused: bool,
) -> Result<decisions::Outcome, error::Error> {
    let header_names = &gateway.header_names;
    let has = |name: &header::HeaderName| head.headers.contains_key(name);
    let states_not_run = has(&header_names.not_run);
    let refusal = match head.status {
        http::StatusCode::MISDIRECTED_REQUEST
            if states_not_run || !has(&header_names.signature) =>
        {
            Some(decisions::Outcome::Misdirected)
        }
        _ if states_not_run => Some(decisions::Outcome::Shed),
        _ => None,
    };
    if let Some(refusal) = refusal {
        return match is_reused && !has(&header_names.request_id) {
            true => Err(error::Error::Invalid("refusal names no request")),
            false => Ok(refusal),
        };
    }
    if has(&header::CONTENT_ENCODING) {
        return Err(error::Error::Invalid("unexpected Content-Encoding"));
    }
    if !has(&header_names.request_id) {
        return Err(error::Error::Invalid("request id is missing"));
    }
    if head.status.is_success() && !has(&header_names.signature) {
        return Err(error::Error::Invalid("signature is missing"));
    }
    match head.status.is_server_error() || response::promises_not_run(head.status) {
        true => Ok(decisions::Outcome::Failed),
        false => Ok(decisions::Outcome::Answered),
    }
}

/// Idle timeout that the backend server announces for the connection.
fn keep_alive_timeout(headers: &header::HeaderMap) -> Option<time::Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(time::Duration::from_secs)
}

fn outgoing_request(attempt: &Attempt<'_>, body: body::Body) -> http::Request<body::Body> {
    let Attempt {
        gateway,
        client_req,
        entry,
        ..
    } = attempt;
    let mut req = http::Request::new(body);
    *req.method_mut() = client_req.head.method.clone();
    if let Some(path) = client_req.head.uri.path_and_query() {
        *req.uri_mut() = http::Uri::from(path.clone());
    }
    *req.headers_mut() = forwarded_headers(&client_req.head.headers);
    let left = client_req.req.deadline.saturating_sub(gateway.clock.now());
    let left = header::HeaderValue::from(left.as_millis().max(1) as u64);
    req.headers_mut()
        .insert(gateway.header_names.deadline.clone(), left);
    if let Some(name) = &client_req.customer_name {
        req.headers_mut()
            .insert(gateway.header_names.customer.clone(), name.clone());
    }
    match header::HeaderValue::from_str(&entry.id) {
        Ok(id) => {
            req.headers_mut()
                .insert(gateway.header_names.target.clone(), id);
        }
        Err(e) => {
            log::warn!(server = entry.id, error:% = e; "server id is not a valid header value")
        }
    }
    req
}

/// Copies the headers except the hop-by-hop ones.
fn forwarded_headers(headers: &header::HeaderMap) -> header::HeaderMap {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && *name != KEEP_ALIVE)
        .filter(|(name, _)| !named.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Builds the response to the client from that of the backend server.  A status that would promise
/// the client that its request has not run is not passed on: the server has not said so.
fn client_response(head: http::response::Parts, body: body::Body) -> response::Response {
    if response::promises_not_run(head.status) {
        return response::unknown_outcome();
    }
    let mut response = response::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(&head.headers);
    response
}
