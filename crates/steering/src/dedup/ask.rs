//! Requests whose home is another process.

use std::{collections, sync};

use super::{
    action::{Action, Response, UnknownReason},
    cx, home, limits, message,
    run_outcome::RunOutcome,
    snapshot,
};
use crate::model;

type Key = sync::Arc<model::IdempotencyKey>;

/// Part of the time to the deadline that is kept at most to ask for the outcome.
const ASK_RESERVE_DIVISOR: u32 = 4;

#[derive(Debug)]
struct Task {
    key: Key,
    fingerprint: u64,
    deadline: model::Time,
    ask_at: model::Time,
    asking: Option<Asking>,
}

#[derive(Debug)]
struct Asking {
    since: model::Time,
    resend_at: model::Time,
    started: bool,
    home_gone: bool,
    witness_gone: bool,
}

/// Requests whose home is another process.
#[derive(Debug)]
pub(super) struct Asker {
    tasks: collections::BTreeMap<model::RequestId, Task>,
    limits: limits::Limits,
}

impl Asker {
    pub(super) fn new(limits: limits::Limits) -> Asker {
        Asker {
            tasks: collections::BTreeMap::new(),
            limits,
        }
    }

    /// Forwards a request to its home, or asks for its outcome where the home is gone.
    pub(super) fn on_request(&mut self, req: home::Request, now: model::Time, cx: &mut cx::Cx) {
        let home::Request {
            id,
            key,
            fingerprint,
            deadline,
            ..
        } = req;
        let left = deadline.saturating_sub(now);
        let reserve = self.limits.ask_reserve.min(left / ASK_RESERVE_DIVISOR);
        let to = key.home.clone();
        let reachable = is_live(&key, &cx.members);
        let task = Task {
            key,
            fingerprint,
            deadline,
            ask_at: deadline.saturating_sub(reserve),
            asking: None,
        };
        self.tasks.insert(id, task);
        if reachable {
            cx.out.push(Action::Forward { id, to });
        } else {
            self.ask(id, now, cx);
        }
    }

    /// Whether a request is waited for.
    pub(super) fn contains(&self, id: model::RequestId) -> bool {
        self.tasks.contains_key(&id)
    }

    /// Takes that the home answered the request in whole, or that it can't be told.
    pub(super) fn on_forward_ended(
        &mut self,
        id: model::RequestId,
        complete: bool,
        now: model::Time,
        cx: &mut cx::Cx,
    ) {
        if complete {
            self.tasks.remove(&id);
        } else {
            self.ask(id, now, cx);
        }
    }

    /// Forgets that the caller of a request waits.
    pub(super) fn on_cancelled(&mut self, id: model::RequestId) {
        self.tasks.remove(&id);
    }

    /// Takes the answer of a home or a witness to a query.
    pub(super) fn reply(
        &mut self,
        from: &str,
        id: model::RequestId,
        key: &model::IdempotencyKey,
        verdict: message::KeyStatus,
        cx: &mut cx::Cx,
    ) {
        let from_home = from == key.home;
        let from_witness = key.witness.as_ref().is_some_and(|w| w.host == from);
        let Some((task, asking)) = self
            .tasks
            .get_mut(&id)
            .filter(|task| *task.key == *key && (from_home || from_witness))
            .and_then(|task| Some((&task.key, task.asking.as_mut()?)))
        else {
            cx.counters.strays += 1;
            return;
        };
        let response = match verdict {
            message::KeyStatus::Ended(RunOutcome::Unknown) => {
                Response::Unknown(UnknownReason::Server)
            }
            message::KeyStatus::Ended(end) => Response::from(&end),
            message::KeyStatus::Forgotten if from_home => {
                Response::Unknown(UnknownReason::Forgotten)
            }
            message::KeyStatus::Started => {
                asking.started = true;
                return;
            }
            message::KeyStatus::Forgotten | message::KeyStatus::Gone => {
                asking.home_gone |= from_home;
                asking.witness_gone |= from_witness;
                if asking.targets(task, &cx.members).next().is_some() {
                    return;
                }
                Response::Unknown(asking.reason())
            }
        };
        self.tasks.remove(&id);
        cx.out.push(Action::Respond { id, response });
    }

    /// Asks, asks again and gives up what is due.
    pub(super) fn tick(&mut self, now: model::Time, cx: &mut cx::Cx) {
        for id in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.advance(id, now, cx);
        }
    }

    /// Whether no request is waited for.
    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Writes the state.
    pub(super) fn describe(&self, snapshot: &mut snapshot::Snapshot) {
        let asking = self.tasks.values().filter(|task| task.asking.is_some());
        snapshot.asking = asking.count();
        snapshot.forwarded = self.tasks.len() - snapshot.asking;
    }

    fn ask(&mut self, id: model::RequestId, now: model::Time, cx: &mut cx::Cx) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.asking.get_or_insert(Asking {
                since: now,
                resend_at: now,
                started: false,
                home_gone: false,
                witness_gone: false,
            });
            self.advance(id, now, cx);
        }
    }

    fn advance(&mut self, id: model::RequestId, now: model::Time, cx: &mut cx::Cx) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let live = is_live(&task.key, &cx.members);
        let Some(asking) = &mut task.asking else {
            if !live || now >= task.ask_at {
                self.ask(id, now, cx);
            }
            return;
        };
        let late = now >= task.deadline + self.limits.deadline_grace;
        let patient = live && !asking.home_gone;
        let hopeless = !patient && now >= asking.since + self.limits.ask_timeout;
        let targets = asking.targets(&task.key, &cx.members).collect::<Vec<_>>();
        if late || hopeless || targets.is_empty() {
            let response = Response::Unknown(asking.reason());
            self.tasks.remove(&id);
            cx.out.push(Action::Respond { id, response });
        } else if now >= asking.resend_at {
            let wait = now.saturating_sub(asking.since).max(self.limits.resend);
            asking.resend_at = now + wait;
            cx.out.extend(targets.into_iter().map(|to| Action::Send {
                to,
                message: message::Message::Query {
                    id,
                    key: task.key.as_ref().clone(),
                    fingerprint: task.fingerprint,
                },
            }));
        }
    }
}

impl Asking {
    /// Hosts that may still know the outcome.
    fn targets(&self, key: &Key, members: &cx::Members) -> impl Iterator<Item = model::HostId> {
        let home = (!self.home_gone && is_live(key, members)).then(|| key.home.clone());
        let witness = key.witness.as_ref().filter(|_| !self.witness_gone);
        home.into_iter().chain(witness.map(|w| w.host.clone()))
    }

    fn reason(&self) -> UnknownReason {
        if self.started {
            UnknownReason::Started
        } else {
            UnknownReason::Unreachable
        }
    }
}

/// Whether the member list holds the home of a key, or an earlier process of that host.
fn is_live(key: &model::IdempotencyKey, members: &cx::Members) -> bool {
    members
        .get(&key.home)
        .is_some_and(|peer| peer.incarnation <= key.incarnation)
}
