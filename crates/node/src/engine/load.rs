//! Load reports of backend servers.

use std::{sync, time};

use yuccatide_steering::pool;

use super::engine;
use crate::backend;

/// Period of load reports.
const PERIOD: time::Duration = time::Duration::from_secs(1);

impl engine::Engine {
    /// Asks the owned backend servers for their load until the task is dropped.
    pub async fn poll_loads(self: sync::Arc<engine::Engine>) {
        let mut interval = tokio::time::interval(PERIOD);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            for target in self.owned_targets() {
                let engine = sync::Arc::clone(&self);
                tokio::spawn(async move { engine.poll_load(target).await });
            }
        }
    }

    async fn poll_load(&self, target: backend::Target) {
        let asked = self.now();
        let Ok(load) = self.backends.load(&target).await else {
            return;
        };
        let report = pool::LoadReport {
            in_use: load.in_use,
            slots: load.slots,
            healthy: load.healthy,
            draining: load.draining,
            cold: load.cold,
            at: asked,
        };
        let now = self.now();
        self.lock()
            .with_pool(|pool| pool.report(&target.server, report, now));
    }

    fn owned_targets(&self) -> Vec<backend::Target> {
        let state = self.lock();
        let Some(active) = &state.active else {
            return Vec::new();
        };
        let snapshot = active.pool.snapshot();
        let servers = snapshot.services.values().flat_map(|s| s.servers.keys());
        servers
            .filter_map(|server| backend::Target::with_document(&active.doc, server))
            .collect()
    }
}
