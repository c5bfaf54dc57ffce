//! Requests whose home is another process.

use std::{collections, sync};

use super::{
    action::{Action, Response, UnknownReason},
    context, home, limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

type Key = sync::Arc<model::IdempotencyKey>;

/// The time reserved to query the outcome is at most this fraction of the time to the deadline.
const QUERY_RESERVE_DIVISOR: u32 = 4;

#[derive(Debug)]
struct RemoteRequest {
    key: Key,
    fingerprint: u64,
    deadline: model::Time,
    query_at: model::Time,
    query: Option<OutcomeQuery>,
}

#[derive(Debug)]
struct OutcomeQuery {
    since: model::Time,
    resend_at: model::Time,
    home_started: bool,
    home_gone: bool,
    witness_gone: bool,
}

/// Requests whose home is another process.
#[derive(Debug)]
pub(super) struct RemoteRequests {
    requests: collections::BTreeMap<model::RequestId, RemoteRequest>,
    limits: limits::Limits,
}

impl RemoteRequests {
    pub(super) fn new(limits: limits::Limits) -> RemoteRequests {
        RemoteRequests {
            requests: collections::BTreeMap::new(),
            limits,
        }
    }

    /// Forwards a request to its home, or queries its outcome if the home is gone.
    pub(super) fn on_request(
        &mut self,
        req: home::Request,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        let home::Request {
            id,
            key,
            fingerprint,
            deadline,
            ..
        } = req;
        let remaining = deadline.saturating_sub(now);
        let reserve = self
            .limits
            .ask_reserve
            .min(remaining / QUERY_RESERVE_DIVISOR);
        let to = key.home.clone();
        let reachable = is_live(&key, &cx.members);
        let request = RemoteRequest {
            key,
            fingerprint,
            deadline,
            query_at: deadline.saturating_sub(reserve),
            query: None,
        };
        self.requests.insert(id, request);
        if reachable {
            cx.actions.push(Action::Forward { id, to });
        } else {
            self.start_query(id, now, cx);
        }
    }

    /// Whether a request is pending.
    pub(super) fn contains(&self, id: model::RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Handles the end of a forward.  If `complete` is false, the home's response did not arrive in
    /// full, and the outcome is queried.
    pub(super) fn on_forward_ended(
        &mut self,
        id: model::RequestId,
        complete: bool,
        now: model::Time,
        cx: &mut context::Context,
    ) {
        if complete {
            self.requests.remove(&id);
        } else {
            self.start_query(id, now, cx);
        }
    }

    /// Drops a request whose caller no longer waits.
    pub(super) fn on_cancelled(&mut self, id: model::RequestId) {
        self.requests.remove(&id);
    }

    /// Handles the reply of a home or witness to a query.
    pub(super) fn on_query_reply(
        &mut self,
        from: &str,
        id: model::RequestId,
        key: &model::IdempotencyKey,
        status: message::KeyStatus,
        cx: &mut context::Context,
    ) {
        let from_home = from == key.home;
        let from_witness = key.witness.as_ref().is_some_and(|w| w.host == from);
        let Some((request_key, query)) = self
            .requests
            .get_mut(&id)
            .filter(|request| *request.key == *key && (from_home || from_witness))
            .and_then(|request| Some((&request.key, request.query.as_mut()?)))
        else {
            cx.counters.strays += 1;
            return;
        };
        let response = match status {
            message::KeyStatus::Ended(RunOutcome::Unknown) => {
                Response::Unknown(UnknownReason::Server)
            }
            message::KeyStatus::Ended(outcome) => Response::from(&outcome),
            message::KeyStatus::Forgotten if from_home => {
                Response::Unknown(UnknownReason::Forgotten)
            }
            message::KeyStatus::Started => {
                query.home_started = true;
                return;
            }
            message::KeyStatus::Forgotten | message::KeyStatus::Gone => {
                query.home_gone |= from_home;
                query.witness_gone |= from_witness;
                if query.targets(request_key, &cx.members).next().is_some() {
                    return;
                }
                Response::Unknown(query.reason())
            }
        };
        self.requests.remove(&id);
        cx.actions.push(Action::Respond { id, response });
    }

    /// Processes timers: queries, retransmissions and time-outs.
    pub(super) fn tick(&mut self, now: model::Time, cx: &mut context::Context) {
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.advance(id, now, cx);
        }
    }

    /// Whether no request is pending.
    pub(super) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Sets the snapshot fields about requests whose home is another process.
    pub(super) fn fill_snapshot(&self, snapshot: &mut snapshot::Snapshot) {
        let querying = self
            .requests
            .values()
            .filter(|request| request.query.is_some());
        snapshot.asking = querying.count();
        snapshot.forwarded = self.requests.len() - snapshot.asking;
    }

    fn start_query(&mut self, id: model::RequestId, now: model::Time, cx: &mut context::Context) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.query.get_or_insert(OutcomeQuery {
                since: now,
                resend_at: now,
                home_started: false,
                home_gone: false,
                witness_gone: false,
            });
            self.advance(id, now, cx);
        }
    }

    fn advance(&mut self, id: model::RequestId, now: model::Time, cx: &mut context::Context) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let home_live = is_live(&request.key, &cx.members);
        let Some(query) = &mut request.query else {
            if !home_live || now >= request.query_at {
                self.start_query(id, now, cx);
            }
            return;
        };
        let is_late = now >= request.deadline + self.limits.deadline_grace;
        let awaits_home = home_live && !query.home_gone;
        let timed_out = !awaits_home && now >= query.since + self.limits.ask_timeout;
        let targets = query.targets(&request.key, &cx.members).collect::<Vec<_>>();
        if is_late || timed_out || targets.is_empty() {
            let response = Response::Unknown(query.reason());
            self.requests.remove(&id);
            cx.actions.push(Action::Respond { id, response });
        } else if now >= query.resend_at {
            let wait = now.saturating_sub(query.since).max(self.limits.resend);
            query.resend_at = now + wait;
            cx.actions
                .extend(targets.into_iter().map(|to| Action::Send {
                    to,
                    message: message::Message::Query {
                        id,
                        key: request.key.as_ref().clone(),
                        fingerprint: request.fingerprint,
                    },
                }));
        }
    }
}

impl OutcomeQuery {
    /// Hosts that may still have the outcome.
    fn targets(
        &self,
        key: &Key,
        members: &context::Members,
    ) -> impl Iterator<Item = model::HostId> {
        let home = (!self.home_gone && is_live(key, members)).then(|| key.home.clone());
        let witness = key.witness.as_ref().filter(|_| !self.witness_gone);
        home.into_iter().chain(witness.map(|w| w.host.clone()))
    }

    fn reason(&self) -> UnknownReason {
        if self.home_started {
            UnknownReason::Started
        } else {
            UnknownReason::Unreachable
        }
    }
}

/// Whether the member list contains the home of a key or an earlier process of that host.
fn is_live(key: &model::IdempotencyKey, members: &context::Members) -> bool {
    members
        .get(&key.home)
        .is_some_and(|peer| peer.incarnation <= key.incarnation)
}
