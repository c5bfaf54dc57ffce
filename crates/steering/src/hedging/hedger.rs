//! When a request gets a second attempt.

use std::{collections, time};

use super::{extra_work, latency_quantile};
use crate::model;

/// Part of a backend server's slots that must stay free beside a second attempt.  Where slots are
/// short, the attempt would take the place of another request.
const MIN_FREE_SLOT_SHARE: f64 = 0.25;

/// Decides on second attempts of requests that may be repeated.
///
/// Requests are classed by service and route: these share aim and work.  Without a share of extra
/// work nothing is recorded and no request gets a second attempt.
#[derive(Debug, Default)]
pub struct Hedger {
    /// Extra work allowed, relative to that of first attempts.
    share: f64,
    latencies: collections::HashMap<model::ServiceId, Latencies>,
    extra_work: collections::HashMap<model::ServiceId, extra_work::ExtraWork>,
}

type Latencies = collections::HashMap<model::WorkId, latency_quantile::LatencyQuantile>;

impl Hedger {
    /// Creates a hedger that adds at most `share` of the work of first attempts, 0 for none.
    pub fn new(share: f64) -> Hedger {
        Hedger {
            share,
            ..Hedger::default()
        }
    }

    /// Records that the first attempt of a request was answered, or was given up for the second one,
    /// after `latency`.
    pub fn record_first(&mut self, service: &str, route: &str, latency: time::Duration) {
        if self.share <= 0.0 {
            return;
        }
        let latencies = self.latencies.entry(service.to_string()).or_default();
        latencies
            .entry(route.to_string())
            .or_default()
            .observe(latency);
        self.extra_work
            .entry(service.to_string())
            .or_default()
            .record_work(latency.as_secs_f64(), self.share);
    }

    /// Time after the sending of a first attempt at which a second one is due; `None` if none is.
    pub fn delay(&self, service: &str, route: &str) -> Option<time::Duration> {
        if self.share <= 0.0 {
            return None;
        }
        self.latencies.get(service)?.get(route)?.get()
    }

    /// Whether a backend server with `in_use` of its `slots` occupied has room for a second attempt.
    pub fn has_room(in_use: u32, slots: u32) -> bool {
        let free = f64::from(slots.saturating_sub(in_use.saturating_add(1)));
        free >= MIN_FREE_SLOT_SHARE * f64::from(slots)
    }

    /// Takes the expected work of a second attempt from the allowance of its service; returns whether
    /// it is covered.
    pub fn try_spend(&mut self, service: &str, expected: time::Duration) -> bool {
        let extra_work = self.extra_work.get_mut(service);
        extra_work.is_some_and(|extra_work| extra_work.try_spend(expected.as_secs_f64()))
    }

    /// Gives back the work that a second attempt did not do: it ended `saved` sooner than expected.
    pub fn refund(&mut self, service: &str, saved: time::Duration) {
        if let Some(extra_work) = self.extra_work.get_mut(service) {
            extra_work.refund(saved.as_secs_f64());
        }
    }

    /// Drops what was learnt of routes for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.latencies
            .values_mut()
            .for_each(|latencies| latencies.retain(|route, _| is_known(route)));
    }
}
