//! The decisions of one host and what carries their actions out.

use std::{net, sync, time};

use yuccatide_steering::{config, dedup, membership, model, propagation};

use super::{state, view};
use crate::{backend, clock, meter, peer, platform, telemetry::metrics};

/// Period of the state machines' ticks.
const TICK: time::Duration = time::Duration::from_millis(50);

/// What an engine is made of.
pub struct Parts {
    /// This host.
    pub me: membership::Identity,
    /// Addresses of hosts to ask first.
    pub seeds: Vec<net::SocketAddr>,
    /// Source of the present time.
    pub clock: clock::Clock,
    /// Links to other hosts.
    pub links: sync::Arc<peer::Links>,
    /// The platform's object API.
    pub platform: platform::Client,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Bounds on the memory of idempotency keys.
    pub limits: dedup::Limits,
    /// Seed of random choices.
    pub seed: u64,
}

/// The decisions of one host, with the actions that they ask for carried out.
pub struct Engine {
    /// For tasks that outlive a call.
    pub(super) myself: sync::Weak<Engine>,
    pub(super) me: membership::Identity,
    pub(super) clock: clock::Clock,
    pub(super) links: sync::Arc<peer::Links>,
    pub(super) platform: platform::Client,
    pub(super) backends: backend::Client,
    pub(super) metrics: metrics::Metrics,
    pub(super) meter: meter::Meter,
    pub(super) seed: u64,
    pub(super) view: arc_swap::ArcSwap<view::View>,
    /// Wakes the loading of the table of client blocks.
    pub(super) chunks_wanted: tokio::sync::Notify,
    state: sync::Mutex<state::State>,
}

impl Engine {
    /// An engine without configuration.
    pub fn new(parts: Parts) -> sync::Arc<Engine> {
        let now = parts.clock.now();
        let me = parts.me;
        let identity = propagation::Identity {
            host: me.host.clone(),
            data_centre: me.data_centre.clone(),
            peer_address: me.peer_address,
            deployment: me.deployment.clone(),
        };
        let state = state::State {
            membership: membership::Membership::new(me.clone(), parts.seeds, parts.seed, now),
            follower: propagation::Follower::new(identity, parts.seed, now),
            active: None,
            configured: false,
            ready: false,
            stopping: false,
            leaving: false,
            next_steer: now,
            next_members: now,
            loader: Default::default(),
            table: Default::default(),
            owned: Default::default(),
            runs: Default::default(),
            keys: Default::default(),
            submissions: Default::default(),
            limits: parts.limits,
        };
        sync::Arc::new_cyclic(|myself| Engine {
            myself: myself.clone(),
            me,
            clock: parts.clock,
            links: parts.links,
            platform: parts.platform,
            backends: backend::Client::new(),
            metrics: parts.metrics,
            meter: meter::Meter::new(),
            seed: parts.seed,
            view: arc_swap::ArcSwap::default(),
            chunks_wanted: tokio::sync::Notify::new(),
            state: sync::Mutex::new(state),
        })
    }

    /// The present time.
    pub fn now(&self) -> model::Time {
        self.clock.now()
    }

    /// This host.
    pub fn me(&self) -> &membership::Identity {
        &self.me
    }

    /// Configuration in force.
    pub fn document(&self) -> Option<sync::Arc<config::Document>> {
        self.view.load().doc.clone()
    }

    /// Whether the host has a configuration and takes requests.
    pub fn is_ready(&self) -> bool {
        self.view.load().ready
    }

    /// Requests of which this host still has to report the outcome.
    pub fn in_progress(&self) -> usize {
        let state = self.lock();
        state.runs.len() + state.keys.len()
    }

    /// Ticks the state machines until the task is dropped.
    pub async fn tick_forever(self: sync::Arc<Engine>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            self.meter.timed(|| self.tick());
        }
    }

    fn tick(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.with_pool(|pool| pool.tick(now));
        let keys = state.active.as_mut().map(|active| active.dedup.tick(now));
        let members = state.membership.tick(now);
        let config = state.follower.tick(now);
        drop(state);
        self.carry_out_dedup(keys.unwrap_or_default());
        self.carry_out_membership(members);
        self.carry_out_propagation(config);
        self.tick_steer(now);
    }

    pub(super) fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
