//! Gauges that are sent from time to time.

use std::{sync, time};

use yuccatide_steering::membership;

use super::engine;
use crate::meter;

impl engine::Engine {
    /// Sends the gauges of docs/METRICS.md until the task is dropped.
    pub async fn send_gauges(self: sync::Arc<engine::Engine>, period: time::Duration) {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.send_service_gauges();
            self.send_host_gauges();
        }
    }

    fn send_service_gauges(&self) {
        let snapshot = match &self.lock().active {
            Some(active) => active.pool.snapshot(),
            None => return,
        };
        for (name, service) in &snapshot.services {
            let capacity = &service.capacity;
            let headroom = capacity.usable_slots - f64::from(capacity.in_use);
            self.metrics
                .service("service.slots", name, capacity.usable_slots);
            self.metrics
                .service("service.in_use", name, capacity.in_use.into());
            self.metrics.service("service.headroom", name, headroom);
            for (work, state) in &service.work {
                self.metrics.work("work.queued", work, state.queued.into());
                self.metrics.work("work.in_use", work, state.in_use.into());
            }
        }
    }

    fn send_host_gauges(&self) {
        let members = self.members();
        let serving = members.iter().filter(|m| m.serves()).count();
        let dead = members
            .iter()
            .filter(|m| m.state == membership::State::Dead);
        let version = self.document().map_or(0, |doc| doc.version);
        let control = self.control();
        self.metrics.gauge("hosts.serving", serving as f64);
        self.metrics.gauge("hosts.dead", dead.count() as f64);
        self.metrics.gauge("config.version", version as f64);
        self.metrics
            .gauge("requests.in_progress", self.in_progress() as f64);
        self.metrics.gauge("control.core_share", control.core_share);
        self.metrics
            .gauge("control.bytes_per_second", control.bytes_per_second);
        self.metrics.gauge(
            "control.platform_calls_per_second",
            control.platform_calls_per_second,
        );
        self.metrics
            .gauge("process.resident_bytes", meter::resident_bytes() as f64);
    }
}
