//! Detection of failing and slow backend servers.

use std::time;

use crate::model;

/// Failures in a row that make a server an outlier.
const FAILURES_IN_A_ROW: u32 = 5;

/// Requests over which the failure ratio is taken.
const WINDOW: u32 = 20;

/// Failures within the window that make a server an outlier.
const WINDOW_FAILURES: u32 = 10;

/// Refused connections in a row after which a server counts as unreachable.
const REFUSALS_IN_A_ROW: u32 = 3;

/// Latency relative to that of the same work elsewhere that makes a server an outlier.
const SLOW_RATIO: f64 = 5.0;

/// Answers before the latency counts.
const SLOW_SAMPLES: u32 = 10;

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Length of a first ejection; each further one in a row takes as much longer.
const EJECTION: time::Duration = time::Duration::from_secs(5);

/// Longest ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(60);

/// Time between the first two attempts to reach an unreachable server; it doubles with each.
const REACH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Longest time between two attempts to reach an unreachable server.
const MAX_REACH_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Recent behaviour of one backend server.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    failures_in_a_row: u32,
    refusals_in_a_row: u32,
    window: u32,
    latency_ratio: f64,
    samples: u32,
    ejections: u32,
    ejected_until: Option<model::Time>,
    refused: model::Time,
}

impl Default for OutlierDetector {
    fn default() -> OutlierDetector {
        OutlierDetector {
            failures_in_a_row: 0,
            refusals_in_a_row: 0,
            window: 0,
            latency_ratio: 1.0,
            samples: 0,
            ejections: 0,
            ejected_until: None,
            refused: model::Time::ZERO,
        }
    }
}

impl OutlierDetector {
    /// Records an answer; `ratio` is its latency relative to the mean of its kind of work.
    pub fn answered(&mut self, ok: bool, ratio: f64) {
        self.refusals_in_a_row = 0;
        self.samples += 1;
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.samples));
        self.latency_ratio += weight * (ratio - self.latency_ratio);
        self.record(ok);
    }

    /// Records a lost connection or a timeout.
    pub fn failed(&mut self) {
        self.record(false);
    }

    /// Records a refused connection.
    pub fn refused(&mut self, now: model::Time) {
        self.refusals_in_a_row += 1;
        self.refused = now;
    }

    fn record(&mut self, ok: bool) {
        self.window = (self.window << 1 | u32::from(!ok)) & ((1 << WINDOW) - 1);
        self.failures_in_a_row = if ok { 0 } else { self.failures_in_a_row + 1 };
        if ok && self.window == 0 {
            self.ejections = 0;
        }
    }

    /// Whether the behaviour calls for an ejection.
    pub fn is_outlier(&self) -> bool {
        self.failures_in_a_row >= FAILURES_IN_A_ROW
            || self.window.count_ones() >= WINDOW_FAILURES
            || self.samples >= SLOW_SAMPLES && self.latency_ratio >= SLOW_RATIO
    }

    /// Ejects the server and starts a new record.
    pub fn eject(&mut self, now: model::Time) {
        self.ejections += 1;
        let length = (EJECTION * self.ejections).min(MAX_EJECTION);
        *self = OutlierDetector {
            ejections: self.ejections,
            ejected_until: Some(now + length),
            ..OutlierDetector::default()
        };
    }

    /// Ends an ejection whose time is over; returns whether one ended.
    pub fn readmit(&mut self, now: model::Time) -> bool {
        let over = self.ejected_until.is_some_and(|until| now >= until);
        if over {
            self.ejected_until = None;
        }
        over
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether connections are refused.
    pub fn is_unreachable(&self) -> bool {
        self.refusals_in_a_row >= REFUSALS_IN_A_ROW
    }

    /// Whether an unreachable server may be tried.
    pub fn may_reach(&self, now: model::Time) -> bool {
        let failed = self.refusals_in_a_row.saturating_sub(REFUSALS_IN_A_ROW);
        let interval = REACH_INTERVAL * (1 << failed.min(8));
        now >= self.refused + interval.min(MAX_REACH_INTERVAL)
    }

    /// When a connection was last refused.
    pub fn refused_at(&self) -> model::Time {
        self.refused
    }

    /// Mean latency relative to that of the same work elsewhere.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }
}
