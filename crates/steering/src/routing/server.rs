//! State of one backend server as its owner sees it.

use std::time;

use super::{
    AttemptOutcome, Limits, ServerSnapshot, ServerState, SlotLimit, foreign_load, load_report,
    outlier, utilization_meter,
};
use crate::model;

/// Slots that an overloaded server regains per second.
const RECOVERY_SLOTS_PER_S: f64 = 0.5;

/// Latency, relative to that of the same work elsewhere, up to which an answer is ordinary.
const ORDINARY_RATIO: f64 = 2.0;

/// Capacity of a server whose state has to be checked, in slots.
const CHECK_SLOTS: f64 = 0.1;

/// Range of the latency ratio that the choice takes into account.
const RATIO_RANGE: (f64, f64) = (0.5, 10.0);

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
    shed_limit: f64,
    slow_start_from: Option<model::Time>,
    /// Since when the host owns the server, until a report tells its state.
    taken_over: Option<model::Time>,
    updated: model::Time,
}

impl Server {
    /// A server that this host begins to own; it starts slowly.
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

    /// Sets the limits and the time from which the server takes no new work.
    pub fn configure(&mut self, limits: Limits, drain_from: Option<model::Time>) {
        self.shed_limit = self.shed_limit.min(f64::from(limits.slots));
        if limits.slots > self.limits.slots {
            self.shed_limit = f64::from(limits.slots);
        }
        self.limits = limits;
        self.drain_from = drain_from;
    }

    /// Sets whether this host owns the server; a server newly owned starts slowly.
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

    /// Own requests on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Advances everything that depends on time only.
    pub fn tick(&mut self, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let used = f64::from(self.in_flight + self.foreign.slots(now));
        self.meter.advance(used, self.target(), now);
        self.updated = now.max(self.updated);
        let slots = f64::from(self.limits.slots);
        self.shed_limit = (self.shed_limit + elapsed * RECOVERY_SLOTS_PER_S).min(slots);
        if self.outlier.readmit(now) {
            self.slow_start_from = Some(now);
        }
        if self.reports_are_old(now) {
            self.foreign.clear();
        }
    }

    /// Takes a load report; one that is older than the last is ignored.
    pub fn record_report(&mut self, report: load_report::LoadReport, now: model::Time) {
        let max_age = self.limits.report_max_age;
        let outdated = self.report.as_ref().is_some_and(|r| r.at >= report.at);
        if outdated || report.at + max_age < now {
            return;
        }
        let was_cold = self.report.as_ref().is_some_and(|r| r.cold);
        let warm = self.ramp(now) >= f64::from(self.limits.slots);
        if report.cold && !was_cold && warm {
            self.slow_start_from = Some(now);
        }
        self.foreign.record_report(&report, self.limits.slots);
        if let Some(from) = self.taken_over.filter(|from| report.at >= *from) {
            self.taken_over = None;
            // The requests of the former owner are known now; warm caches need no slow start.
            let only_for_that = self.slow_start_from == Some(from);
            if only_for_that && !report.cold {
                self.slow_start_from = None;
            }
        }
        self.report = Some(report);
    }

    /// Records the start of a request.
    pub fn start(&mut self, now: model::Time) {
        if self.is_reported_full(now) {
            self.foreign.checked(now);
        }
        self.in_flight += 1;
        self.observe(now);
    }

    /// Records the end of a request; `mean` is the mean latency of its kind of work.
    pub fn finish(
        &mut self,
        finish: AttemptOutcome,
        mean: Option<time::Duration>,
        now: model::Time,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.observe(now);
        match finish {
            AttemptOutcome::Answered { latency, ok } => self.answered(latency, ok, mean, now),
            AttemptOutcome::Shed => {
                self.foreign.refused();
                self.shed_limit = f64::from(self.in_flight.max(1)).min(self.shed_limit);
            }
            AttemptOutcome::ConnectFailed => self.outlier.refused(now),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => self.outlier.failed(),
            AttemptOutcome::Cancelled => (),
        }
    }

    fn answered(
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
        self.outlier.answered(ok, ratio);
        // The request itself does not count any more.
        let full = self.is_reported_full(now);
        if ok && full && ratio <= ORDINARY_RATIO {
            self.foreign.contradicted(now);
        }
    }

    fn observe(&mut self, now: model::Time) {
        let max_age = self.limits.report_max_age;
        self.foreign.observe(self.in_flight, max_age, now);
    }

    /// Whether the behaviour calls for an ejection.
    pub fn is_outlier(&self) -> bool {
        !self.outlier.is_ejected() && self.outlier.is_outlier()
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected()
    }

    /// Ejects the server for a while.
    pub fn eject(&mut self, now: model::Time) {
        self.outlier.eject(now);
    }

    /// Whether the server is leaving, by the configuration or by its own report.
    pub fn is_draining(&self, now: model::Time) -> bool {
        self.drain_from.is_some_and(|from| now >= from)
            || self.report.as_ref().is_some_and(|r| r.draining)
    }

    /// Whether the server takes new work.
    pub fn state(&self, now: model::Time) -> ServerState {
        if !self.owned {
            ServerState::NotOwned
        } else if self.is_draining(now) {
            ServerState::Draining
        } else if self.outlier.is_ejected() {
            ServerState::Ejected
        } else if self.outlier.is_unreachable() {
            ServerState::Unreachable
        } else if self.foreign.slots(now) >= self.limits.slots {
            ServerState::ReportedFull
        } else if self.ramp(now) < f64::from(self.limits.slots) {
            ServerState::SlowStart
        } else {
            ServerState::Ready
        }
    }

    /// Slots that may be in use on average now.
    pub fn usable_slots(&self, now: model::Time) -> f64 {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => 0.0,
            // Enough to be sent the requests that find out whether it takes work again.
            ServerState::Unreachable if self.may_reach(now) => CHECK_SLOTS.min(self.target()),
            ServerState::ReportedFull if self.foreign.may_check(now) => {
                CHECK_SLOTS.min(self.target())
            }
            ServerState::Unreachable | ServerState::ReportedFull => 0.0,
            ServerState::SlowStart | ServerState::Ready => self.hard(now).min(self.own_target(now)),
        }
    }

    /// Whether the server takes work without being checked first.
    pub fn accepts_requests(&self, now: model::Time) -> bool {
        matches!(self.state(now), ServerState::SlowStart | ServerState::Ready)
    }

    /// Slots of a server that may take work now or after a check.
    pub fn slots(&self, now: model::Time) -> u32 {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => 0,
            _ => self.limits.slots,
        }
    }

    /// Slots that are free now, those above the target included.
    pub fn free_slots(&self, now: model::Time) -> u32 {
        match self.state(now) {
            ServerState::SlowStart | ServerState::Ready => {
                (self.hard(now) as u32).saturating_sub(self.in_flight)
            }
            _ => 0,
        }
    }

    /// Whether one more request of about `seconds` has room.
    pub fn has_free_slot(&self, room: SlotLimit, seconds: f64, now: model::Time) -> bool {
        match self.state(now) {
            ServerState::NotOwned | ServerState::Draining | ServerState::Ejected => false,
            ServerState::Unreachable => self.in_flight == 0 && self.may_reach(now),
            ServerState::ReportedFull => self.in_flight == 0 && self.foreign.may_check(now),
            ServerState::SlowStart | ServerState::Ready => {
                self.fits(room, seconds, now) || room == SlotLimit::Target && self.fits_check(now)
            }
        }
    }

    /// Whether a request may check reports that contradict the own count of free slots.
    fn fits_check(&self, now: model::Time) -> bool {
        let next = f64::from(self.in_flight + 1);
        let most = self.target().min(self.ramp(now)).min(self.shed_limit);
        self.is_reported_full(now) && self.foreign.may_check(now) && next <= most
    }

    /// Whether the reported load of others leaves no room for one more request.
    fn is_reported_full(&self, now: model::Time) -> bool {
        let foreign = self.foreign.slots(now);
        let full = self.in_flight + foreign >= self.limits.slots;
        foreign > 0 && (full || self.own_target(now) < 1.0)
    }

    fn fits(&self, room: SlotLimit, seconds: f64, now: model::Time) -> bool {
        let next = f64::from(self.in_flight + 1);
        if next > self.hard(now) {
            return false;
        }
        let target = self.own_target(now);
        let excess = next - target;
        match room {
            SlotLimit::Target if next <= target => true,
            SlotLimit::Target => excess < 1.0 && self.meter.allows_excess(excess, seconds),
            SlotLimit::Burst => {
                let slots = f64::from(self.limits.slots);
                excess <= 0.0 || self.meter.allows_burst(excess, seconds, slots)
            }
        }
    }

    /// Order of preference among servers with room; smaller is better.
    ///
    /// A server whose state has to be checked comes first where a retry is covered, else last.
    pub fn score(&self, retry_covered: bool, now: model::Time) -> f64 {
        if self.state(now) == ServerState::Unreachable || self.is_reported_full(now) {
            return if retry_covered { 0.0 } else { f64::MAX };
        }
        let ratio = self.outlier.latency_ratio();
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let slots = self.usable_slots(now).max(0.5);
        f64::from(self.in_flight + 1) / slots * ratio
    }

    /// Requests at a time that the server takes now, a whole number.
    fn hard(&self, now: model::Time) -> f64 {
        let foreign = self.foreign.slots(now);
        let left = f64::from(self.limits.slots.saturating_sub(foreign));
        left.min(self.ramp(now)).min(self.shed_limit).floor()
    }

    /// State for operators.
    pub fn snapshot(&self, now: model::Time) -> ServerSnapshot {
        ServerSnapshot {
            state: self.state(now),
            in_flight: self.in_flight,
            usable_slots: self.usable_slots(now),
            foreign_slots: self.foreign.slots(now),
            latency_ratio: self.outlier.latency_ratio(),
            reported_at: self.report.as_ref().map(|r| r.at),
        }
    }

    fn target(&self) -> f64 {
        f64::from(self.limits.slots) * self.limits.target_use
    }

    fn own_target(&self, now: model::Time) -> f64 {
        (self.target() - f64::from(self.foreign.slots(now))).max(0.0)
    }

    fn ramp(&self, now: model::Time) -> f64 {
        let slots = f64::from(self.limits.slots);
        let length = self.limits.slow_start.as_secs_f64();
        match self.slow_start_from {
            Some(from) if length > 0.0 => {
                let part = now.saturating_sub(from).as_secs_f64() / length;
                (1.0 + (slots - 1.0) * part).min(slots)
            }
            _ => slots,
        }
    }

    /// Whether an unreachable server may be tried: after a while, or once it reports health.
    fn may_reach(&self, now: model::Time) -> bool {
        let healthy = |r: &load_report::LoadReport| r.healthy && r.at > self.outlier.refused_at();
        self.outlier.may_reach(now) || self.report.as_ref().is_some_and(healthy)
    }

    fn reports_are_old(&self, now: model::Time) -> bool {
        let max_age = self.limits.report_max_age;
        self.report.as_ref().is_none_or(|r| r.at + max_age < now)
    }
}
