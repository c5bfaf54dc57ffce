//! State of one backend server, kept by the host that owns it.

use std::time;

use super::{
    AttemptOutcome, Limits, ServerSnapshot, ServerState, SlotLimit, foreign_load, load_report,
    outlier, utilization_meter,
};
use crate::model;

/// Slots per second by which the limit of a server recovers after it shed a request.
const RECOVERY_SLOTS_PER_S: f64 = 0.5;

/// Latency, relative to that of the same kind of work on other servers, up to which a response is
/// considered normal.
const NORMAL_LATENCY_RATIO: f64 = 2.0;

/// Capacity, in slots, attributed to a server that has to be probed.
const PROBE_SLOTS: f64 = 0.1;

/// Range to which the latency ratio is clamped when servers are ranked.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.5, 10.0);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    limits: Limits,
    owned: bool,
    drain_from: Option<model::Time>,
    in_flight: u32,
    report: Option<load_report::LoadReport>,
    foreign: foreign_load::ForeignLoad,
    outlier: outlier::OutlierDetector,
    meter: utilization_meter::UtilizationMeter,
    /// Concurrency limit that is lowered when the server sheds a request, and recovers over time.
    shed_limit: f64,
    /// Start of the last slow start.
    slow_start_from: Option<model::Time>,
    /// Time at which this host became the owner; `None` once a report from that time or later has
    /// arrived.
    taken_over: Option<model::Time>,
    updated: model::Time,
}

impl Server {
    /// A server newly owned by this host; it begins with a slow start.
    pub fn new(limits: Limits, now: model::Time) -> Server {
        Server {
            shed_limit: f64::from(limits.slots),
            limits,
            owned: true,
            drain_from: None,
            in_flight: 0,
            report: None,
            foreign: foreign_load::ForeignLoad::default(),
            outlier: outlier::OutlierDetector::default(),
            meter: utilization_meter::UtilizationMeter::default(),
            slow_start_from: Some(now),
            taken_over: Some(now),
            updated: now,
        }
    }

    /// Sets the limits and the time from which the server gets no new requests.
    pub fn configure(&mut self, limits: Limits, drain_from: Option<model::Time>) {
        self.shed_limit = self.shed_limit.min(f64::from(limits.slots));
        if limits.slots > self.limits.slots {
            self.shed_limit = f64::from(limits.slots);
        }
        self.limits = limits;
        self.drain_from = drain_from;
    }

    /// Sets whether this host owns the server; a newly owned server begins with a slow start.
    pub fn set_owned(&mut self, owned: bool, now: model::Time) {
        if owned && !self.owned {
            self.slow_start_from = Some(now);
            self.taken_over = Some(now);
        }
        self.owned = owned;
    }

    /// Whether this host owns the server.
    pub fn is_owned(&self) -> bool {
        self.owned
    }

    /// Requests of this host in flight on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Advances the utilization meter and the recovery of the concurrency limit to `now`, ends an
    /// expired ejection, and discards the estimate of other load if the last report is too old.
    pub fn tick(&mut self, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let used = f64::from(self.in_flight + self.foreign.used_slots(now));
        self.meter.advance(used, self.target(), now);
        self.updated = now.max(self.updated);
        let slots = f64::from(self.limits.slots);
        self.shed_limit = (self.shed_limit + elapsed * RECOVERY_SLOTS_PER_S).min(slots);
        if self.outlier.readmit(now) {
            self.slow_start_from = Some(now);
        }
        if self.is_report_outdated(now) {
            self.foreign.clear();
        }
    }

    /// Records a load report; one that is not newer than the last, or too old, is ignored.
    pub fn record_report(&mut self, report: load_report::LoadReport, now: model::Time) {
        let max_age = self.limits.report_max_age;
        let outdated = self.report.as_ref().is_some_and(|r| r.at >= report.at);
        if outdated || report.at + max_age < now {
            return;
        }
        let was_cold = self.report.as_ref().is_some_and(|r| r.cold);
        let warm = self.slow_start_slots(now) >= f64::from(self.limits.slots);
        if report.cold && !was_cold && warm {
            self.slow_start_from = Some(now);
        }
        self.foreign.record_report(&report, self.limits.slots);
        if let Some(from) = self.taken_over.filter(|from| report.at >= *from) {
            self.taken_over = None;
            // The report includes the requests of the former owner; with warm caches, the slow
            // start is no longer needed.
            let started_by_takeover = self.slow_start_from == Some(from);
            if started_by_takeover && !report.cold {
                self.slow_start_from = None;
            }
        }
        self.report = Some(report);
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: model::Time) {
        if self.leaves_no_slot(now) {
            self.foreign.record_probe(now);
        }
        self.in_flight += 1;
        self.record_in_flight(now);
    }

    /// Records the end of a request; `mean` is the mean latency of the same kind of work.
    pub fn record_end(
        &mut self,
        outcome: AttemptOutcome,
        mean: Option<time::Duration>,
        now: model::Time,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_in_flight(now);
        match outcome {
            AttemptOutcome::Answered { latency, ok } => self.on_response(latency, ok, mean, now),
            AttemptOutcome::Shed => {
                self.foreign.record_shed();
                self.shed_limit = f64::from(self.in_flight.max(1)).min(self.shed_limit);
            }
            AttemptOutcome::ConnectFailed => self.outlier.record_connect_failure(now),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => self.outlier.record_failure(),
            AttemptOutcome::Cancelled => (),
        }
    }

    fn on_response(
        &mut self,
        latency: time::Duration,
        ok: bool,
        mean: Option<time::Duration>,
        now: model::Time,
    ) {
        let ratio = mean
            .filter(|mean| !mean.is_zero())
            .map_or(1.0, |mean| latency.as_secs_f64() / mean.as_secs_f64());
        if self.outlier.is_unreachable() {
            self.slow_start_from = Some(now);
        }
        self.outlier.record_response(ok, ratio);
        // At this point the request itself is no longer counted as in flight.
        let full = self.leaves_no_slot(now);
        if ok && full && ratio <= NORMAL_LATENCY_RATIO {
            self.foreign.record_contradiction(now);
        }
    }

    fn record_in_flight(&mut self, now: model::Time) {
        let max_age = self.limits.report_max_age;
        self.foreign.record_in_flight(self.in_flight, max_age, now);
    }

    /// Whether the server should be ejected.
    pub fn is_outlier(&self) -> bool {
        !self.outlier.is_ejected() && self.outlier.is_outlier()
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected()
    }

    /// Temporarily excludes the server.
    pub fn eject(&mut self, now: model::Time) {
        self.outlier.eject(now);
    }

    /// Whether the server is draining, according to the configuration or its own report.
    pub fn is_draining(&self, now: model::Time) -> bool {
        self.drain_from.is_some_and(|from| now >= from)
            || self.report.as_ref().is_some_and(|r| r.draining)
    }

    /// Whether the server accepts new requests, and why not.
    pub fn state(&self, now: model::Time) -> ServerState {
        if !self.owned {
            ServerState::NotOwned
        } else if self.is_draining(now) {
            ServerState::Draining
        } else if self.outlier.is_ejected() {
            ServerState::Ejected
        } else if self.outlier.is_unreachable() {
            ServerState::Unreachable
        } else if self.foreign.used_slots(now) >= self.limits.slots {
            ServerState::ReportedFull
        } else if self.slow_start_slots(now) < f64::from(self.limits.slots) {
            ServerState::SlowStart
        } else {
            ServerState::Ready
        }
    }

    /// Average number of requests of this host that may currently be in flight; a fraction of a
    /// slot if the server may only be probed, and zero if it gets no requests.
    pub fn usable_slots(&self, now: model::Time) -> f64 {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => 0.0,
            // Enough capacity to get probe requests.
            ServerState::Unreachable if self.may_reconnect(now) => PROBE_SLOTS.min(self.target()),
            ServerState::ReportedFull if self.foreign.may_probe(now) => {
                PROBE_SLOTS.min(self.target())
            }
            ServerState::Unreachable | ServerState::ReportedFull => 0.0,
            ServerState::SlowStart | ServerState::Ready => {
                self.concurrency_limit(now).min(self.own_target(now))
            }
        }
    }

    /// Whether the server accepts requests without being probed first.
    pub fn accepts_requests(&self, now: model::Time) -> bool {
        matches!(self.state(now), ServerState::SlowStart | ServerState::Ready)
    }

    /// Configured slots, or zero if the server cannot accept requests even after a probe.
    pub fn slots(&self, now: model::Time) -> u32 {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => 0,
            _ => self.limits.slots,
        }
    }

    /// Free slots, including those above the target utilization.
    pub fn free_slots(&self, now: model::Time) -> u32 {
        match self.state(now) {
            ServerState::SlowStart | ServerState::Ready => {
                (self.concurrency_limit(now) as u32).saturating_sub(self.in_flight)
            }
            _ => 0,
        }
    }

    /// Whether a slot is free for a request that takes about `seconds`.
    pub fn has_free_slot(&self, limit: SlotLimit, seconds: f64, now: model::Time) -> bool {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => false,
            ServerState::Unreachable => self.in_flight == 0 && self.may_reconnect(now),
            ServerState::ReportedFull => self.in_flight == 0 && self.foreign.may_probe(now),
            ServerState::SlowStart | ServerState::Ready => {
                self.fits(limit, seconds, now) || limit == SlotLimit::Target && self.fits_probe(now)
            }
        }
    }

    /// Whether a request may probe a server that has free slots according to this host's own count
    /// but not according to its reports.
    fn fits_probe(&self, now: model::Time) -> bool {
        let next = f64::from(self.in_flight + 1);
        let max = self
            .target()
            .min(self.slow_start_slots(now))
            .min(self.shed_limit);
        self.leaves_no_slot(now) && self.foreign.may_probe(now) && next <= max
    }

    /// Whether the reported load of other clients, together with the requests of this host, leaves
    /// no slot for one more request.
    fn leaves_no_slot(&self, now: model::Time) -> bool {
        let foreign = self.foreign.used_slots(now);
        let full = self.in_flight + foreign >= self.limits.slots;
        foreign > 0 && (full || self.own_target(now) < 1.0)
    }

    /// Whether one more request stays within the limit.
    fn fits(&self, limit: SlotLimit, seconds: f64, now: model::Time) -> bool {
        let next = f64::from(self.in_flight + 1);
        if next > self.concurrency_limit(now) {
            return false;
        }
        let target = self.own_target(now);
        let excess = next - target;
        match limit {
            SlotLimit::Target if next <= target => true,
            SlotLimit::Target => excess < 1.0 && self.meter.allows_excess(excess, seconds),
            SlotLimit::Burst => {
                let slots = f64::from(self.limits.slots);
                excess <= 0.0 || self.meter.allows_burst(excess, seconds, slots)
            }
        }
    }

    /// Ranking among servers with a free slot; lower is better.
    ///
    /// A server that has to be probed comes first if the retry budget covers a retry, otherwise
    /// last.
    pub fn score(&self, retry_covered: bool, now: model::Time) -> f64 {
        if self.state(now) == ServerState::Unreachable || self.leaves_no_slot(now) {
            return if retry_covered { 0.0 } else { f64::MAX };
        }
        let ratio = self.outlier.latency_ratio();
        let ratio = ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        let slots = self.usable_slots(now).max(0.5);
        f64::from(self.in_flight + 1) / slots * ratio
    }

    /// Maximum number of own requests that may be in flight now; a whole number.
    fn concurrency_limit(&self, now: model::Time) -> f64 {
        let foreign = self.foreign.used_slots(now);
        let available = f64::from(self.limits.slots.saturating_sub(foreign));
        available
            .min(self.slow_start_slots(now))
            .min(self.shed_limit)
            .floor()
    }

    /// Status for operators.
    pub fn snapshot(&self, now: model::Time) -> ServerSnapshot {
        ServerSnapshot {
            state: self.state(now),
            in_flight: self.in_flight,
            usable_slots: self.usable_slots(now),
            foreign_slots: self.foreign.used_slots(now),
            latency_ratio: self.outlier.latency_ratio(),
            reported_at: self.report.as_ref().map(|r| r.at),
        }
    }

    /// Target number of slots in use, by all clients together.
    fn target(&self) -> f64 {
        f64::from(self.limits.slots) * self.limits.target_use
    }

    /// Target number of slots in use by this host.
    fn own_target(&self, now: model::Time) -> f64 {
        (self.target() - f64::from(self.foreign.used_slots(now))).max(0.0)
    }

    /// Slots allowed by the slow start.
    fn slow_start_slots(&self, now: model::Time) -> f64 {
        let slots = f64::from(self.limits.slots);
        let duration = self.limits.slow_start.as_secs_f64();
        match self.slow_start_from {
            Some(from) if duration > 0.0 => {
                let progress = now.saturating_sub(from).as_secs_f64() / duration;
                (1.0 + (slots - 1.0) * progress).min(slots)
            }
            _ => slots,
        }
    }

    /// Whether an unreachable server may be tried again: after an interval, or once it reports that
    /// it is healthy.
    fn may_reconnect(&self, now: model::Time) -> bool {
        let healthy =
            |r: &load_report::LoadReport| r.healthy && r.at > self.outlier.last_connect_failure();
        self.outlier.may_reconnect(now) || self.report.as_ref().is_some_and(healthy)
    }

    /// Whether there is no report within the maximum age.
    fn is_report_outdated(&self, now: model::Time) -> bool {
        let max_age = self.limits.report_max_age;
        self.report.as_ref().is_none_or(|r| r.at + max_age < now)
    }
}
