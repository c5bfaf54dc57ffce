//! State machine for the idempotency keys at one entry host.

use std::{collections, mem, sync, time};

use super::{
    action::{Action, Response},
    context, home, limits, message, remote,
    run_outcome::RunOutcome,
    selection, snapshot, witness,
};
use crate::{config, model};

/// State of the idempotency keys at one entry host: of keys whose home or witness is this process,
/// and of requests that it forwards to the home of their key.
///
/// Across all hosts and all time, at most one [`Action::Run`] is emitted per key.  Each request
/// gets one [`Action::Respond`], unless it is cancelled or its response arrives over the forwarded
/// request.
#[derive(Debug)]
pub struct Dedup {
    doc: sync::Arc<config::Document>,
    local: selection::Peer,
    home: home::Home,
    witness: witness::Witness,
    remote: remote::RemoteRequests,
    unkeyed: collections::BTreeSet<model::RequestId>,
    cx: context::Context,
}

impl Dedup {
    /// Empty state of a newly started process.
    pub fn new(
        doc: sync::Arc<config::Document>,
        local: selection::Peer,
        limits: limits::Limits,
    ) -> Dedup {
        Dedup {
            doc,
            local,
            home: home::Home::new(limits.clone()),
            witness: witness::Witness::new(limits.clone()),
            remote: remote::RemoteRequests::new(limits),
            unkeyed: collections::BTreeSet::new(),
            cx: context::Context::default(),
        }
    }

    /// Replaces the configuration.
    pub fn set_document(&mut self, doc: sync::Arc<config::Document>) {
        self.doc = doc;
    }

    /// Replaces the list of live entry hosts.
    pub fn set_members(&mut self, peers: &[selection::Peer], now: model::Time) -> Vec<Action> {
        let others = peers.iter().filter(|peer| peer.host != self.local.host);
        self.cx.members = others.map(|p| (p.host.clone(), p.clone())).collect();
        self.tick(now)
    }

    /// Prefix of new keys whose home is this host or another live one; returned by look-ups.
    pub fn key_prefix(&self, home: &str, now: model::Time) -> Option<model::KeyPrefix> {
        let is_home = home == self.local.host;
        let peer = match is_home {
            true => Some(&self.local),
            false => self.cx.members.get(home),
        }?;
        let all = self.cx.members.values().chain([&self.local]);
        let trusted = all.filter(|peer| !is_home || !self.home.is_suspected(&peer.process()));
        Some(model::KeyPrefix {
            home: peer.process(),
            minted_unix_ms: now.as_millis() as u64,
            witness: selection::select_witness(&self.doc, peer, trusted),
        })
    }

    /// Handles a request from a caller, or one that another host forwarded.
    ///
    /// The fingerprint is a hash of its method, path and body.  A request without a key runs
    /// immediately.
    pub fn on_request(
        &mut self,
        meta: model::RequestMeta,
        fingerprint: u64,
        now: model::Time,
    ) -> Vec<Action> {
        let id = meta.id;
        if self.remote.contains(id) || self.unkeyed.contains(&id) {
            self.cx.counters.strays += 1;
            return Vec::new();
        }
        let Some(key) = meta.key.map(sync::Arc::new) else {
            self.unkeyed.insert(id);
            return vec![Action::Run { id }];
        };
        let is_home = key.home_process() == self.local.process();
        let req = home::Request {
            id,
            fingerprint,
            deadline: meta.deadline,
            retention: self.retention(&meta.work),
            witness_reachable: self.is_witness_reachable(key.witness.as_ref()),
            key,
        };
        if is_home {
            self.home.on_request(req, now, &mut self.cx);
        } else {
            self.remote.on_request(req, now, &mut self.cx);
        }
        self.take_actions(now)
    }

    /// Handles the outcome of a run.
    pub fn on_run_ended(
        &mut self,
        id: model::RequestId,
        outcome: RunOutcome,
        now: model::Time,
    ) -> Vec<Action> {
        if self.unkeyed.remove(&id) {
            let response = Response::from(&outcome);
            return vec![Action::Respond { id, response }];
        }
        if !self.home.on_run_ended(id, outcome, now, &mut self.cx) {
            self.cx.counters.strays += 1;
        }
        self.take_actions(now)
    }

    /// Handles the end of a forward.  If `complete` is false, the home's response did not arrive in
    /// full, and the outcome is queried.
    pub fn on_forward_ended(
        &mut self,
        id: model::RequestId,
        complete: bool,
        now: model::Time,
    ) -> Vec<Action> {
        self.remote
            .on_forward_ended(id, complete, now, &mut self.cx);
        self.take_actions(now)
    }

    /// Handles the cancellation of a request by its caller; it gets no response.
    ///
    /// A running request continues until its outcome is reported.
    pub fn on_cancelled(&mut self, id: model::RequestId) {
        self.remote.on_cancelled(id);
        self.home.on_cancelled(id);
    }

    /// Handles a message from another host, whose name the channel has authenticated.
    pub fn on_message(
        &mut self,
        from: &str,
        message: message::Message,
        now: model::Time,
    ) -> Vec<Action> {
        self.handle_message(from, message, now);
        self.take_actions(now)
    }

    /// Processes timers: retransmissions, time-outs and expiry.  Must be called several times per
    /// second.
    pub fn tick(&mut self, now: model::Time) -> Vec<Action> {
        self.home.tick(now, &mut self.cx);
        self.remote.tick(now, &mut self.cx);
        self.witness.tick(now);
        self.take_actions(now)
    }

    /// Marks this host as leaving before a planned shutdown: outcomes that the witness has not
    /// acknowledged are sent again.
    pub fn leave(&mut self, now: model::Time) -> Vec<Action> {
        self.local.leaving = true;
        self.home.resend_outcomes(now, &mut self.cx);
        self.take_actions(now)
    }

    /// Whether no request is running or pending and no outcome is being delivered to a witness.
    pub fn is_idle(&self) -> bool {
        self.home.is_idle() && self.remote.is_idle() && self.unkeyed.is_empty()
    }

    /// State for the status page and metrics.
    pub fn snapshot(&self) -> snapshot::Snapshot {
        let mut snapshot = snapshot::Snapshot {
            counters: self.cx.counters.clone(),
            ..snapshot::Snapshot::default()
        };
        self.home.fill_snapshot(&mut snapshot);
        self.witness.fill_snapshot(&mut snapshot);
        self.remote.fill_snapshot(&mut snapshot);
        snapshot
    }

    /// Retention of results; the longest configured one for unknown kinds of work.
    fn retention(&self, work: &str) -> time::Duration {
        let longest = self.doc.work.values().map(|work| work.result_retention);
        self.doc.work.get(work).map_or_else(
            || longest.max().unwrap_or_default(),
            |work| work.result_retention,
        )
    }

    fn is_witness_reachable(&self, witness: Option<&model::Process>) -> bool {
        witness
            .and_then(|w| Some((w, self.cx.members.get(&w.host)?)))
            .is_some_and(|(w, peer)| peer.incarnation <= w.incarnation)
    }

    /// Returns the pending actions; messages from this host to itself are handled instead.
    fn take_actions(&mut self, now: model::Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.cx.actions.is_empty() {
            for action in mem::take(&mut self.cx.actions) {
                match action {
                    Action::Send { to, message } if to == self.local.host => {
                        self.handle_message(&to, message, now);
                    }
                    action => actions.push(action),
                }
            }
        }
        actions
    }

    fn handle_message(&mut self, from: &str, message: message::Message, now: model::Time) {
        match message {
            message::Message::Record { .. } | message::Message::Close { .. } => {
                self.handle_witness_message(from, message, now);
            }
            message::Message::RecordReply { key, recorded } if is_from_witness(from, &key) => {
                self.home.on_record_reply(&key, recorded, now, &mut self.cx);
            }
            message::Message::CloseReply { key } if is_from_witness(from, &key) => {
                self.home.on_close_reply(&key, now, &mut self.cx);
            }
            message::Message::Query {
                id,
                key,
                fingerprint,
            } => {
                let key = sync::Arc::new(key);
                let verdict = self.key_status(&key, fingerprint, now);
                let key = key.as_ref().clone();
                let message = message::Message::QueryReply { id, key, verdict };
                let to = from.to_string();
                self.cx.actions.push(Action::Send { to, message });
            }
            message::Message::QueryReply { id, key, verdict } => {
                self.remote
                    .on_query_reply(from, id, &key, verdict, &mut self.cx);
            }
            _ => self.cx.counters.strays += 1,
        }
    }

    fn handle_witness_message(&mut self, from: &str, message: message::Message, now: model::Time) {
        let reply = match message {
            message::Message::Record {
                key,
                fingerprint,
                retention,
            } if key.home == from => {
                let recorded = if self.is_witness(&key) {
                    let key = sync::Arc::new(key.clone());
                    self.witness.on_record(key, fingerprint, retention, now)
                } else {
                    message::RecordStatus::NotWitness
                };
                message::Message::RecordReply { key, recorded }
            }
            message::Message::Close {
                key,
                end,
                retention,
                ..
            } if key.home == from => {
                if self.is_witness(&key) {
                    let counters = &mut self.cx.counters;
                    let key = sync::Arc::new(key.clone());
                    self.witness.on_close(key, end, retention, now, counters);
                }
                message::Message::CloseReply { key }
            }
            _ => {
                self.cx.counters.strays += 1;
                return;
            }
        };
        let to = from.to_string();
        self.cx.actions.push(Action::Send { to, message: reply });
    }

    fn key_status(
        &mut self,
        key: &sync::Arc<model::IdempotencyKey>,
        fingerprint: u64,
        now: model::Time,
    ) -> message::KeyStatus {
        if key.home_process() == self.local.process() {
            self.home.on_query(key, fingerprint, now)
        } else if self.is_witness(key) {
            self.witness
                .on_query(key, fingerprint, now, &mut self.cx.counters)
        } else {
            message::KeyStatus::Gone
        }
    }

    fn is_witness(&self, key: &model::IdempotencyKey) -> bool {
        key.witness.as_ref() == Some(&self.local.process())
    }
}

fn is_from_witness(from: &str, key: &model::IdempotencyKey) -> bool {
    key.witness.as_ref().is_some_and(|w| w.host == from)
}
