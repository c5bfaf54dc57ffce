//! Estimate of the load on a backend server that other clients cause.

use std::{collections, time};

use super::load_report;
use crate::model;

/// Time resolution of the history of in-flight requests.
const BUCKET_WIDTH: time::Duration = time::Duration::from_millis(250);

/// How far the contents of a report may lag behind its timestamp.
const MAX_REPORT_LAG: time::Duration = time::Duration::from_secs(10);

/// How far the contents of a report may be ahead of its timestamp.
const MAX_REPORT_LEAD: time::Duration = time::Duration::from_millis(500);

/// Initial interval between probe requests to a server whose reports leave no free slot; it doubles
/// with each request that the server sheds.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of times that [`PROBE_INTERVAL`] doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Number of responses contradicting the reports after which the reports are ignored.
const MAX_CONTRADICTIONS: u32 = 5;

/// How long contradicted reports are ignored; a shed request ends this early.
const DISTRUST_DURATION: time::Duration = time::Duration::from_secs(600);

/// Infers the slots used by other clients: the load that a server reports, less the requests that
/// this host had in flight there at the time of the report.
#[derive(Clone, Debug, Default)]
pub struct ForeignLoad {
    /// Start of each time bucket and the maximum number of own requests in flight in it.
    in_flight_history: collections::VecDeque<(model::Time, u32)>,
    /// Estimate of the slots used by other clients.
    estimated_slots: u32,
    probed: Option<model::Time>,
    contradictions: u32,
    sheds: u32,
    distrusted_until: model::Time,
}

impl ForeignLoad {
    /// Records the number of own requests in flight on the server.
    pub fn record_in_flight(&mut self, in_flight: u32, max_age: time::Duration, now: model::Time) {
        let bucket = bucket_of(now);
        match self.in_flight_history.back_mut() {
            Some((start, max)) if *start == bucket => *max = (*max).max(in_flight),
            Some((_, max)) => {
                // The previous count was still valid at the start of the new bucket.
                let max = (*max).max(in_flight);
                self.in_flight_history.push_back((bucket, max));
            }
            None => self.in_flight_history.push_back((bucket, in_flight)),
        }
        let oldest = bucket.saturating_sub(max_age + MAX_REPORT_LAG);
        while self.in_flight_history.len() > 1 && self.in_flight_history[1].0 <= oldest {
            self.in_flight_history.pop_front();
        }
    }

    /// Updates the estimate from a report; `configured_slots` is the configured number.
    pub fn record_report(&mut self, report: &load_report::LoadReport, configured_slots: u32) {
        let own = self.own_at(report.at);
        let missing = configured_slots.saturating_sub(report.slots);
        let other = report.in_use.saturating_sub(own);
        let unusable = !report.healthy || report.slots == 0;
        self.estimated_slots = if unusable {
            configured_slots
        } else {
            (other + missing).min(configured_slots)
        };
        if self.estimated_slots == 0 {
            self.contradictions = 0;
        }
    }

    /// Discards the estimate.
    pub fn clear(&mut self) {
        self.estimated_slots = 0;
    }

    /// Slots assumed to be in use by other clients; zero while the reports are ignored.
    pub fn used_slots(&self, now: model::Time) -> u32 {
        if now < self.distrusted_until {
            0
        } else {
            self.estimated_slots
        }
    }

    /// Whether a request may be sent to verify reports that leave no free slot.
    pub fn may_probe(&self, now: model::Time) -> bool {
        let interval = PROBE_INTERVAL * (1 << self.sheds.min(MAX_DOUBLINGS));
        self.probed.is_none_or(|at| now >= at + interval)
    }

    /// Records that a probe request was sent.
    pub fn record_probe(&mut self, now: model::Time) {
        self.probed = Some(now);
    }

    /// Records a response at normal latency to a request for which the reports left no free slot.
    pub fn record_contradiction(&mut self, now: model::Time) {
        self.contradictions += 1;
        self.sheds = 0;
        if self.contradictions >= MAX_CONTRADICTIONS {
            self.contradictions = 0;
            self.distrusted_until = now + DISTRUST_DURATION;
        }
    }

    /// Records that the server shed a request, which means that its reports may be correct.
    pub fn record_shed(&mut self) {
        self.contradictions = 0;
        self.sheds += 1;
        self.distrusted_until = model::Time::ZERO;
    }

    /// Maximum number of own requests in flight that a report with this timestamp may include.
    fn own_at(&self, at: model::Time) -> u32 {
        let from = bucket_of(at.saturating_sub(MAX_REPORT_LAG));
        let until = at + MAX_REPORT_LEAD;
        let before = self
            .in_flight_history
            .iter()
            .rev()
            .find(|(start, _)| *start < from);
        self.in_flight_history
            .iter()
            .filter(|(start, _)| *start >= from && *start <= until)
            .chain(before)
            .map(|(_, max)| *max)
            .max()
            .unwrap_or(0)
    }
}

/// Start of the time bucket that contains `at`.
fn bucket_of(at: model::Time) -> model::Time {
    let width = BUCKET_WIDTH.as_millis() as u64;
    model::Time::from_millis(at.as_millis() as u64 / width * width)
}
