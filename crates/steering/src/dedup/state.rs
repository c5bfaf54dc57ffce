//! Keys at one entry host.

use std::{collections, mem, sync, time};

use super::{
    action::{Action, Response},
    ask, choice, cx, home, limits, message,
    run_outcome::RunOutcome,
    snapshot, witness,
};
use crate::{config, model};

/// Keys at one entry host: as their home, as their witness, and on behalf of its callers.
///
/// At most one [`Action::Run`] is given for a key over all hosts and all time.  Each request gets
/// one [`Action::Respond`], or its answer comes with the forwarded request.
#[derive(Debug)]
pub struct Dedup {
    doc: sync::Arc<config::Document>,
    me: choice::Peer,
    home: home::Home,
    witness: witness::Witness,
    asker: ask::Asker,
    plain: collections::BTreeSet<model::RequestId>,
    cx: cx::Cx,
}

impl Dedup {
    /// The empty state of a process that has just started.
    pub fn new(
        doc: sync::Arc<config::Document>,
        me: choice::Peer,
        limits: limits::Limits,
    ) -> Dedup {
        Dedup {
            doc,
            me,
            home: home::Home::new(limits.clone()),
            witness: witness::Witness::new(limits.clone()),
            asker: ask::Asker::new(limits),
            plain: collections::BTreeSet::new(),
            cx: cx::Cx::default(),
        }
    }

    /// Replaces the configuration.
    pub fn set_document(&mut self, doc: sync::Arc<config::Document>) {
        self.doc = doc;
    }

    /// Replaces the list of live entry hosts.
    pub fn set_members(&mut self, peers: &[choice::Peer], now: model::Time) -> Vec<Action> {
        let others = peers.iter().filter(|peer| peer.host != self.me.host);
        self.cx.members = others.map(|p| (p.host.clone(), p.clone())).collect();
        self.tick(now)
    }

    /// Prefix of new keys whose home is this host or another live one; given out by look-ups.
    pub fn key_prefix(&self, home: &str, now: model::Time) -> Option<model::KeyPrefix> {
        let own = home == self.me.host;
        let peer = match own {
            true => Some(&self.me),
            false => self.cx.members.get(home),
        }?;
        let all = self.cx.members.values().chain([&self.me]);
        let trusted = all.filter(|peer| !own || !self.home.suspects(&peer.process()));
        Some(model::KeyPrefix {
            home: peer.process(),
            minted_unix_ms: now.as_millis() as u64,
            witness: choice::select_witness(&self.doc, peer, trusted),
        })
    }

    /// Takes a request of a caller, or one that another host forwarded.
    ///
    /// The fingerprint is a hash of its method, path and body.  A request without a key is run at
    /// once.
    pub fn on_request(
        &mut self,
        meta: model::RequestMeta,
        fingerprint: u64,
        now: model::Time,
    ) -> Vec<Action> {
        let id = meta.id;
        if self.asker.contains(id) || self.plain.contains(&id) {
            self.cx.counters.strays += 1;
            return Vec::new();
        }
        let Some(key) = meta.key.map(sync::Arc::new) else {
            self.plain.insert(id);
            return vec![Action::Run { id }];
        };
        let own = key.home_process() == self.me.process();
        let req = home::Request {
            id,
            fingerprint,
            deadline: meta.deadline,
            retention: self.retention(&meta.work),
            witness_reachable: self.is_reachable(key.witness.as_ref()),
            key,
        };
        if own {
            self.home.on_request(req, now, &mut self.cx);
        } else {
            self.asker.on_request(req, now, &mut self.cx);
        }
        self.take_actions(now)
    }

    /// Takes how the run of a request ended.
    pub fn on_run_ended(
        &mut self,
        id: model::RequestId,
        end: RunOutcome,
        now: model::Time,
    ) -> Vec<Action> {
        if self.plain.remove(&id) {
            let response = Response::from(&end);
            return vec![Action::Respond { id, response }];
        }
        if !self.home.on_run_ended(id, end, now, &mut self.cx) {
            self.cx.counters.strays += 1;
        }
        self.take_actions(now)
    }

    /// Takes that a forwarded request was answered in whole by its home, or that the connection
    /// broke before that.
    pub fn on_forward_ended(
        &mut self,
        id: model::RequestId,
        complete: bool,
        now: model::Time,
    ) -> Vec<Action> {
        self.asker.on_forward_ended(id, complete, now, &mut self.cx);
        self.take_actions(now)
    }

    /// Takes that the caller of a request no longer waits; it gets no answer.
    ///
    /// A request that runs goes on until its end is reported.
    pub fn on_cancelled(&mut self, id: model::RequestId) {
        self.asker.on_cancelled(id);
        self.home.on_cancelled(id);
    }

    /// Takes a message of another host, whose name the channel has verified.
    pub fn on_message(
        &mut self,
        from: &str,
        message: message::Message,
        now: model::Time,
    ) -> Vec<Action> {
        self.receive(from, message, now);
        self.take_actions(now)
    }

    /// Sends again, gives up and forgets what is due; to be called several times a second.
    pub fn tick(&mut self, now: model::Time) -> Vec<Action> {
        self.home.tick(now, &mut self.cx);
        self.asker.tick(now, &mut self.cx);
        self.witness.tick(now);
        self.take_actions(now)
    }

    /// Begins a planned stop: results that the witness lacks are sent to it once more.
    pub fn leave(&mut self, now: model::Time) -> Vec<Action> {
        self.me.leaving = true;
        self.home.hand_over(now, &mut self.cx);
        self.take_actions(now)
    }

    /// Whether nothing runs, waits for an answer or has to be handed to a witness.
    pub fn is_idle(&self) -> bool {
        self.home.is_idle() && self.asker.is_idle() && self.plain.is_empty()
    }

    /// State for the status page and metrics.
    pub fn snapshot(&self) -> snapshot::Snapshot {
        let mut snapshot = snapshot::Snapshot {
            counters: self.cx.counters.clone(),
            ..snapshot::Snapshot::default()
        };
        self.home.describe(&mut snapshot);
        self.witness.describe(&mut snapshot);
        self.asker.describe(&mut snapshot);
        snapshot
    }

    /// Retention of results; the longest one for work that the configuration does not hold.
    fn retention(&self, work: &str) -> time::Duration {
        let longest = self.doc.work.values().map(|work| work.result_retention);
        self.doc.work.get(work).map_or_else(
            || longest.max().unwrap_or_default(),
            |work| work.result_retention,
        )
    }

    fn is_reachable(&self, witness: Option<&model::Process>) -> bool {
        witness
            .and_then(|w| Some((w, self.cx.members.get(&w.host)?)))
            .is_some_and(|(w, peer)| peer.incarnation <= w.incarnation)
    }

    /// Takes the actions, after handling the messages to this host itself.
    fn take_actions(&mut self, now: model::Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.cx.out.is_empty() {
            for action in mem::take(&mut self.cx.out) {
                match action {
                    Action::Send { to, message } if to == self.me.host => {
                        self.receive(&to, message, now);
                    }
                    action => actions.push(action),
                }
            }
        }
        actions
    }

    fn receive(&mut self, from: &str, message: message::Message, now: model::Time) {
        match message {
            message::Message::Record { .. } | message::Message::Close { .. } => {
                self.receive_as_witness(from, message, now);
            }
            message::Message::RecordReply { key, recorded } if is_from_witness(from, &key) => {
                self.home.recorded(&key, recorded, now, &mut self.cx);
            }
            message::Message::CloseReply { key } if is_from_witness(from, &key) => {
                self.home.closed(&key, now, &mut self.cx);
            }
            message::Message::Query {
                id,
                key,
                fingerprint,
            } => {
                let key = sync::Arc::new(key);
                let verdict = self.verdict(&key, fingerprint, now);
                let key = key.as_ref().clone();
                let message = message::Message::QueryReply { id, key, verdict };
                let to = from.to_string();
                self.cx.out.push(Action::Send { to, message });
            }
            message::Message::QueryReply { id, key, verdict } => {
                self.asker.reply(from, id, &key, verdict, &mut self.cx);
            }
            _ => self.cx.counters.strays += 1,
        }
    }

    fn receive_as_witness(&mut self, from: &str, message: message::Message, now: model::Time) {
        let reply = match message {
            message::Message::Record {
                key,
                fingerprint,
                retention,
            } if key.home == from => {
                let recorded = if self.is_witness(&key) {
                    let key = sync::Arc::new(key.clone());
                    self.witness.record(key, fingerprint, retention, now)
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
                    self.witness.close(key, end, retention, now, counters);
                }
                message::Message::CloseReply { key }
            }
            _ => {
                self.cx.counters.strays += 1;
                return;
            }
        };
        let to = from.to_string();
        self.cx.out.push(Action::Send { to, message: reply });
    }

    fn verdict(
        &mut self,
        key: &sync::Arc<model::IdempotencyKey>,
        fingerprint: u64,
        now: model::Time,
    ) -> message::KeyStatus {
        if key.home_process() == self.me.process() {
            self.home.query(key, fingerprint, now)
        } else if self.is_witness(key) {
            self.witness
                .query(key, fingerprint, now, &mut self.cx.counters)
        } else {
            message::KeyStatus::Gone
        }
    }

    fn is_witness(&self, key: &model::IdempotencyKey) -> bool {
        key.witness.as_ref() == Some(&self.me.process())
    }
}

fn is_from_witness(from: &str, key: &model::IdempotencyKey) -> bool {
    key.witness.as_ref().is_some_and(|w| w.host == from)
}
