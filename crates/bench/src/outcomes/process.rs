//! One entry host's process around the decisions.

use std::{collections, time};

use yuccatide_steering::{dedup, matching, model};

use super::{
    backend,
    event::{Input, Operation, Origin, ProcessId, Request},
};

/// Time between the decision to run a request and its first byte.
const SEND_DELAY: time::Duration = time::Duration::from_micros(100);

/// Length of a result in bytes.
const RESULT_BYTES: usize = 32;

/// What a process does.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Answers a request.
    Reply(model::RequestId, Origin, dedup::Response),
    /// Forwards a request.
    Forward(matching::ConnectionId, model::HostId, Request),
    /// Sends a message.
    Message(model::HostId, dedup::Message),
    /// Writes a request to the backend.
    Write(backend::Arrival),
    /// Wakes itself up.
    After(time::Duration, Input),
}

/// One entry host's process.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) id: ProcessId,
    pub(super) dedup: dedup::Dedup,
    /// Inputs that wait until the process is resumed; absent while it runs.
    pub(super) paused: Option<Vec<Input>>,
    pub(super) paused_since: model::Time,
    pub(super) leaving: Option<model::Time>,
    servers: matching::PendingAttempts,
    peers: matching::PendingAttempts,
    open: collections::BTreeMap<model::RequestId, Origin>,
    requests: collections::BTreeMap<model::RequestId, Request>,
    connections: matching::ConnectionId,
}

impl Process {
    pub(super) fn new(id: ProcessId, dedup: dedup::Dedup) -> Process {
        Process {
            id,
            dedup,
            paused: None,
            paused_since: time::Duration::ZERO,
            leaving: None,
            servers: matching::PendingAttempts::new(),
            peers: matching::PendingAttempts::new(),
            open: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            connections: 0,
        }
    }

    /// Requests of callers that have no answer yet.
    pub(super) fn open_of_callers(&self) -> impl Iterator<Item = model::RequestId> {
        let open = self.open.iter();
        open.filter(|(_, origin)| matches!(origin, Origin::Caller))
            .map(|(id, _)| *id)
    }

    /// Forwarded requests that have no answer yet, with the host that waits for it.
    pub(super) fn open_of_peers(&self) -> Vec<(ProcessId, matching::ConnectionId)> {
        let origins = self.open.values().cloned();
        let peers = origins.filter_map(|origin| match origin {
            Origin::Peer(peer, connection) => Some((peer, connection)),
            Origin::Caller => None,
        });
        peers.collect()
    }

    /// Answers that matched no waiting attempt or were cut short.
    pub(super) fn dropped_answers(&self) -> u64 {
        [self.servers.counters(), self.peers.counters()]
            .into_iter()
            .map(|c| c.truncated + c.late + c.duplicate + c.crossed + c.stray)
            .sum()
    }

    /// Whether nothing is left to finish.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.dedup.is_idle()
    }

    /// Takes what reaches the process.
    pub(super) fn input(&mut self, input: Input, now: model::Time) -> Vec<Effect> {
        match input {
            Input::Request(request, origin) => self.request(request, origin, now),
            Input::Message(from, message) => {
                let actions = self.dedup.on_message(&from, message, now);
                self.act(actions)
            }
            Input::Send(id) => self.send(id, now),
            Input::Expire(id) => match self.servers.abandon(first(id)) {
                Some(_) => self.ended(id, dedup::RunOutcome::Unknown, now),
                None => Vec::new(),
            },
            Input::Answer(arrival, reply) => self.answer(arrival, reply, now),
            Input::Broken(connection) => match self.servers.on_connection_closed(connection) {
                Some(attempt) => self.ended(attempt.id, dedup::RunOutcome::Unknown, now),
                None => Vec::new(),
            },
            Input::Forwarded(arrival, answer) => self.forwarded(arrival, answer, now),
            Input::ForwardBroken(connection) => self.forward_broken(connection, now),
            Input::Members(peers) => {
                let actions = self.dedup.set_members(&peers, now);
                self.act(actions)
            }
            Input::Leave => {
                self.leaving = Some(now);
                let actions = self.dedup.leave(now);
                self.act(actions)
            }
        }
    }

    /// Takes the time.
    pub(super) fn tick(&mut self, now: model::Time) -> Vec<Effect> {
        let actions = self.dedup.tick(now);
        self.act(actions)
    }

    fn request(&mut self, request: Request, origin: Origin, now: model::Time) -> Vec<Effect> {
        let id = request.meta.id;
        if self.open.contains_key(&id) {
            return Vec::new();
        }
        let actions = self
            .dedup
            .on_request(request.meta.clone(), request.operation, now);
        self.open.insert(id, origin);
        self.requests.insert(id, request);
        self.act(actions)
    }

    fn send(&mut self, id: model::RequestId, now: model::Time) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id).cloned() else {
            return Vec::new();
        };
        let connection = self.connect();
        let left = request.meta.deadline.saturating_sub(now);
        if left.is_zero() || !self.servers.register(first(id), connection) {
            let end = dedup::RunOutcome::NotRun(model::NotRunReason::Deadline);
            return self.ended(id, end, now);
        }
        let key = request.meta.key.expect("all requests have keys");
        let arrival = backend::Arrival {
            from: self.id.clone(),
            connection,
            attempt: first(id),
            key,
            operation: request.operation,
        };
        vec![
            Effect::Write(arrival),
            Effect::After(left, Input::Expire(id)),
        ]
    }

    fn answer(
        &mut self,
        arrival: matching::ReceivedResponse,
        reply: backend::Reply,
        now: model::Time,
    ) -> Vec<Effect> {
        match self.servers.on_response(arrival) {
            matching::Disposition::Deliver(attempt) => {
                let end = match reply {
                    backend::Reply::Ran(operation) => {
                        dedup::RunOutcome::done(result(operation, arrival.received_bytes as usize))
                    }
                    backend::Reply::Shed => dedup::RunOutcome::NotRun(model::NotRunReason::Shed),
                    backend::Reply::Refused => {
                        dedup::RunOutcome::NotRun(model::NotRunReason::Unreachable)
                    }
                };
                self.ended(attempt.id, end, now)
            }
            matching::Disposition::Truncated(attempt) => {
                self.ended(attempt.id, dedup::RunOutcome::Unknown, now)
            }
            matching::Disposition::Drop(_) => self.input(Input::Broken(arrival.connection), now),
        }
    }

    fn ended(
        &mut self,
        id: model::RequestId,
        end: dedup::RunOutcome,
        now: model::Time,
    ) -> Vec<Effect> {
        self.requests.remove(&id);
        let actions = self.dedup.on_run_ended(id, end, now);
        self.act(actions)
    }

    fn forwarded(
        &mut self,
        arrival: matching::ReceivedResponse,
        answer: dedup::Response,
        now: model::Time,
    ) -> Vec<Effect> {
        let verdict = self.peers.on_response(arrival);
        let matching::Disposition::Deliver(attempt) = verdict else {
            if let matching::Disposition::Truncated(attempt) = verdict {
                let actions = self.dedup.on_forward_ended(attempt.id, false, now);
                return self.act(actions);
            }
            return self.forward_broken(arrival.connection, now);
        };
        let actions = self.dedup.on_forward_ended(attempt.id, true, now);
        let mut effects = self.act(actions);
        effects.extend(self.reply(attempt.id, cut(answer, arrival.received_bytes)));
        effects
    }

    fn forward_broken(
        &mut self,
        connection: matching::ConnectionId,
        now: model::Time,
    ) -> Vec<Effect> {
        let Some(attempt) = self.peers.on_connection_closed(connection) else {
            return Vec::new();
        };
        let actions = self.dedup.on_forward_ended(attempt.id, false, now);
        self.act(actions)
    }

    fn act(&mut self, actions: Vec<dedup::Action>) -> Vec<Effect> {
        let effects = actions.into_iter().filter_map(|action| match action {
            dedup::Action::Run { id } => Some(Effect::After(SEND_DELAY, Input::Send(id))),
            dedup::Action::Forward { id, to } => self.forward(id, to),
            dedup::Action::Respond { id, response } => self.reply(id, response),
            dedup::Action::Send { to, message } => Some(Effect::Message(to, message)),
        });
        effects.collect()
    }

    fn forward(&mut self, id: model::RequestId, to: model::HostId) -> Option<Effect> {
        let request = self.requests.get(&id).cloned()?;
        let connection = self.connect();
        let sent = self.peers.register(first(id), connection);
        sent.then_some(Effect::Forward(connection, to, request))
    }

    fn reply(&mut self, id: model::RequestId, answer: dedup::Response) -> Option<Effect> {
        self.peers.abandon(first(id));
        let origin = self.open.remove(&id)?;
        Some(Effect::Reply(id, origin, answer))
    }

    fn connect(&mut self) -> matching::ConnectionId {
        self.connections += 1;
        self.connections
    }
}

/// The only attempt of a request at one host.
fn first(id: model::RequestId) -> matching::Attempt {
    matching::Attempt { id, number: 1 }
}

/// Result of an operation, of which this many bytes arrived.
pub(super) fn result(operation: Operation, bytes: usize) -> dedup::StoredResult {
    let body = format!("{operation:0>RESULT_BYTES$}");
    dedup::StoredResult {
        status: 201,
        headers: Vec::new(),
        body: body.into_bytes().into_iter().take(bytes).collect(),
    }
}

/// Length of an answer in bytes, as its head announces it.
pub(super) fn announced_bytes(answer: &dedup::Response) -> u64 {
    match answer {
        dedup::Response::Done(Some(result)) => result.body.len() as u64,
        _ => 0,
    }
}

/// An answer of which this many bytes arrived.
fn cut(answer: dedup::Response, bytes: u64) -> dedup::Response {
    match answer {
        dedup::Response::Done(Some(result)) if (result.body.len() as u64) > bytes => {
            let mut result = result.as_ref().clone();
            result.body.truncate(bytes as usize);
            dedup::Response::Done(Some(result.into()))
        }
        answer => answer,
    }
}

/// A whole result's length in bytes.
pub(super) fn whole_bytes() -> u64 {
    RESULT_BYTES as u64
}
