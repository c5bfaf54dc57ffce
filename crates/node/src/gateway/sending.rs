//! One sending of a request to a backend server.

use std::time;

use http::header;
use yuccatide_steering::{gateway as decisions, matching};

use super::{body, error, forward, gateway, header_names, reply};

/// Headers that concern one connection only.
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

/// Header with the idle time-out of a connection.
const KEEP_ALIVE: header::HeaderName = header::HeaderName::from_static("keep-alive");

/// Load that a backend server reports with its answer.
pub(super) fn load_of(
    gateway: &gateway::Gateway,
    reply: &reply::Reply,
) -> Option<header_names::ServerLoad> {
    let text = reply
        .headers()
        .get(&gateway.header_names.load)?
        .to_str()
        .ok()?;
    header_names::ServerLoad::parse(text)
}

pub(super) struct Sending<'a> {
    pub(super) gateway: &'a gateway::Gateway,
    pub(super) job: &'a forward::Job,
    pub(super) index: decisions::ServerIndex,
    pub(super) entry: &'a decisions::ServerEntry,
    pub(super) ticket: decisions::Ticket,
}

pub(super) struct Answer {
    pub(super) reply: reply::Reply,
    pub(super) outcome: decisions::Outcome,
}

/// Sends a request to a backend server and reads its answer.
pub(super) async fn send(sending: &Sending<'_>, body: body::Body) -> Result<Answer, error::Error> {
    let Sending {
        gateway,
        entry,
        index,
        ..
    } = *sending;
    let mut connection = gateway.connections.take(index, entry.address).await?;
    let req = outgoing(sending, body);
    let attempt = attempt_of(sending.ticket);
    let number = connection.number();
    gateway.matching(|pending| pending.register(attempt, number));
    let unmatch = Unmatch { gateway, number };
    let response = connection.send(req).await?;
    let (head, incoming) = response.into_parts();
    let keep_alive = keep_alive(&head.headers);
    match body::read(incoming).await.map_err(broken)? {
        body::Read::Whole(bytes) => {
            let arrival = arrival(sending, number, &head, bytes.len() as u64);
            let verdict = gateway.matching(|pending| pending.on_response(arrival));
            if verdict != matching::Disposition::Deliver(attempt) {
                return Err(error::Error::Invalid("it does not match the request"));
            }
            let outcome = judge(gateway, &head)?;
            gateway
                .connections
                .give_back(index, entry.address, connection, keep_alive);
            Ok(Answer {
                reply: reply(head, body::whole(bytes)),
                outcome,
            })
        }
        body::Read::Partial(bytes, rest) => {
            if names_other(sending, &head) {
                return Err(error::Error::Invalid("it does not match the request"));
            }
            let outcome = judge(gateway, &head)?;
            drop(unmatch);
            let body = body::chained(bytes, rest, connection);
            Ok(Answer {
                reply: reply(head, body),
                outcome,
            })
        }
    }
}

/// Forgets a sending that ended without an answer.
struct Unmatch<'a> {
    gateway: &'a gateway::Gateway,
    number: matching::ConnectionId,
}

impl Drop for Unmatch<'_> {
    fn drop(&mut self) {
        self.gateway
            .matching(|pending| pending.on_connection_closed(self.number));
    }
}

fn broken(e: hyper::Error) -> error::Error {
    error::Error::Backend(crate::backend::Error::Broken(e.to_string()))
}

/// Sending of a request; clients' ids may be missing or used again, tickets are not.
fn attempt_of(ticket: decisions::Ticket) -> matching::Attempt {
    matching::Attempt {
        id: u128::from(ticket),
        number: 1,
    }
}

/// Attempt of an answer that names another request than the one that waits for it.
const UNKNOWN: matching::Attempt = matching::Attempt { id: 0, number: 0 };

fn arrival(
    sending: &Sending<'_>,
    connection: matching::ConnectionId,
    head: &http::response::Parts,
    received_bytes: u64,
) -> matching::ReceivedResponse {
    let named = head.headers.get(&sending.gateway.header_names.request_id);
    let attempt = named.map(|id| match id.as_bytes() == sending.job.id.as_bytes() {
        true => attempt_of(sending.ticket),
        false => UNKNOWN,
    });
    matching::ReceivedResponse {
        connection,
        attempt,
        announced_bytes: None,
        received_bytes,
        body_ended: true,
    }
}

fn names_other(sending: &Sending<'_>, head: &http::response::Parts) -> bool {
    let named = head.headers.get(&sending.gateway.header_names.request_id);
    named.is_some_and(|id| id.as_bytes() != sending.job.id.as_bytes())
}

/// What a whole answer says, or why it is not one of the backend server.
fn judge(
    gateway: &gateway::Gateway,
    head: &http::response::Parts,
) -> Result<decisions::Outcome, error::Error> {
    let header_names = &gateway.header_names;
    let has = |name: &header::HeaderName| head.headers.contains_key(name);
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return Ok(decisions::Outcome::Misdirected);
    }
    if has(&header_names.not_run) {
        return Ok(decisions::Outcome::Shed);
    }
    if has(&header::CONTENT_ENCODING) {
        return Err(error::Error::Invalid("it is encoded"));
    }
    if !has(&header_names.request_id) {
        return Err(error::Error::Invalid("it names no request"));
    }
    if head.status.is_success() && !has(&header_names.signature) {
        return Err(error::Error::Invalid("it is not signed"));
    }
    match head.status.is_server_error() {
        true => Ok(decisions::Outcome::Failed),
        false => Ok(decisions::Outcome::Answered),
    }
}

/// Time after which the backend server closes the idle connection.
fn keep_alive(headers: &header::HeaderMap) -> Option<time::Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(time::Duration::from_secs)
}

fn outgoing(sending: &Sending<'_>, body: body::Body) -> http::Request<body::Body> {
    let Sending {
        gateway,
        job,
        entry,
        ..
    } = sending;
    let mut req = http::Request::new(body);
    *req.method_mut() = job.head.method.clone();
    if let Some(path) = job.head.uri.path_and_query() {
        *req.uri_mut() = http::Uri::from(path.clone());
    }
    *req.headers_mut() = forwarded(&job.head.headers);
    let left = job.req.deadline.saturating_sub(gateway.clock.now());
    let left = header::HeaderValue::from(left.as_millis().max(1) as u64);
    req.headers_mut()
        .insert(gateway.header_names.deadline.clone(), left);
    match header::HeaderValue::from_str(&entry.id) {
        Ok(id) => {
            req.headers_mut()
                .insert(gateway.header_names.target.clone(), id);
        }
        Err(e) => log::warn!(server = entry.id, error:% = e; "a server's id fits no header"),
    }
    req
}

/// Headers without those that concern one connection only.
fn forwarded(headers: &header::HeaderMap) -> header::HeaderMap {
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

/// The backend server's answer as the client gets it.
fn reply(head: http::response::Parts, body: body::Body) -> reply::Reply {
    let mut reply = reply::Reply::new(body);
    *reply.status_mut() = head.status;
    *reply.headers_mut() = forwarded(&head.headers);
    reply
}
