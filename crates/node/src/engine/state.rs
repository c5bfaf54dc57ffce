//! The state machines of one host.

use std::{collections, sync};

use tokio::sync::{mpsc, oneshot};
use yuccatide_steering::{
    config, dedup, lookup, membership, model, pool, propagation, retry, steer,
};

/// Actions of the pool for one request.
pub(super) type RunSender = mpsc::UnboundedSender<pool::Action>;

/// Actions of deduplication for one request.
pub(super) type KeySender = mpsc::UnboundedSender<dedup::Action>;

/// The state machines, used under one lock.
pub(super) struct State {
    pub(super) membership: membership::Membership,
    pub(super) follower: propagation::Follower,
    pub(super) active: Option<Active>,
    /// Whether peers and platform were asked for the configuration.
    pub(super) configured: bool,
    /// Whether the host takes requests.
    pub(super) ready: bool,
    /// Whether the process is being stopped.
    pub(super) stopping: bool,
    /// Whether the host has left the look-ups.
    pub(super) leaving: bool,
    /// When the steps of steering are due next.
    pub(super) next_steer: model::Time,
    /// When the list of hosts is handed to steering again at the latest.
    pub(super) next_members: model::Time,
    /// Chunks of the table of client blocks.
    pub(super) loader: lookup::Loader,
    /// Table of client blocks in use.
    pub(super) table: sync::Arc<lookup::BlockTable>,
    /// Backend servers that this host owns.
    pub(super) owned: collections::BTreeSet<model::ServerId>,
    pub(super) runs: collections::HashMap<model::RequestId, RunSender>,
    pub(super) keys: collections::HashMap<model::RequestId, KeySender>,
    pub(super) submissions:
        collections::HashMap<propagation::SubmissionId, oneshot::Sender<propagation::SubmitResult>>,
    pub(super) limits: dedup::Limits,
}

/// The state machines that need a configuration.
pub(super) struct Active {
    pub(super) doc: sync::Arc<config::Document>,
    pub(super) steer: steer::Router,
    pub(super) pool: pool::Pool,
    /// Budgets for sending a request to a second host, by kind of work.
    pub(super) budgets: collections::BTreeMap<model::WorkId, retry::Budget>,
    pub(super) dedup: dedup::Dedup,
}

impl State {
    /// Hands the pool's actions to the requests that they concern.
    pub(super) fn dispatch(&mut self, actions: Vec<pool::Action>) {
        for action in actions {
            if let Some(tx) = self.runs.get(&request_of(&action)) {
                // A request that has ended takes no more actions.
                let _ = tx.send(action);
            }
        }
    }

    /// Uses the pool and hands its actions on; nothing happens without a configuration.
    pub(super) fn with_pool(&mut self, f: impl FnOnce(&mut pool::Pool) -> Vec<pool::Action>) {
        let actions = self.active.as_mut().map(|active| f(&mut active.pool));
        self.dispatch(actions.unwrap_or_default());
    }
}

fn request_of(action: &pool::Action) -> model::RequestId {
    match action {
        pool::Action::Start { id, .. }
        | pool::Action::Cancel { id, .. }
        | pool::Action::Done { id, .. }
        | pool::Action::Fail { id, .. } => *id,
    }
}
