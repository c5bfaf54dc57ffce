//! Outlier detection: finds failing, unreachable and slow backend servers.

use std::time;

use crate::model;

/// Consecutive failures that make a server an outlier.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Number of recent requests over which failures are counted.
const WINDOW_REQUESTS: u32 = 20;

/// Failures within the window that make a server an outlier.
const MAX_WINDOW_FAILURES: u32 = 10;

/// Consecutive failed connection attempts after which a server is considered unreachable.
const MAX_CONSECUTIVE_CONNECT_FAILURES: u32 = 3;

/// Latency, relative to that of the same kind of work on other servers, that makes a server an
/// outlier.
const MAX_LATENCY_RATIO: f64 = 5.0;

/// Number of responses before the latency is considered.
const MIN_LATENCY_SAMPLES: u32 = 10;

/// Weight of a new sample in the moving average of the latency ratio.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;

/// Duration of the first ejection; each consecutive ejection lasts this much longer.
const EJECTION_DURATION: time::Duration = time::Duration::from_secs(5);

/// Maximum duration of an ejection.
const MAX_EJECTION_DURATION: time::Duration = time::Duration::from_secs(60);

/// Initial interval between connection attempts to an unreachable server; it doubles with each
/// attempt.
const RECONNECT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum interval between connection attempts to an unreachable server.
const MAX_RECONNECT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Recent failures, failed connection attempts and latency of one backend server.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    consecutive_failures: u32,
    consecutive_connect_failures: u32,
    /// Bit mask of the recent requests; a set bit is a failure.
    window: u32,
    latency_ratio: f64,
    samples: u32,
    ejections: u32,
    ejected_until: Option<model::Time>,
    last_connect_failure: model::Time,
}

impl Default for OutlierDetector {
    fn default() -> OutlierDetector {
        OutlierDetector {
            consecutive_failures: 0,
            consecutive_connect_failures: 0,
            window: 0,
            latency_ratio: 1.0,
            samples: 0,
            ejections: 0,
            ejected_until: None,
            last_connect_failure: model::Time::ZERO,
        }
    }
}

impl OutlierDetector {
    /// Records a response; `ratio` is its latency relative to the mean latency of the same
    /// kind of work.
    pub fn record_response(&mut self, ok: bool, ratio: f64) {
        self.consecutive_connect_failures = 0;
        self.samples += 1;
        let weight = LATENCY_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.latency_ratio += weight * (ratio - self.latency_ratio);
        self.record(ok);
    }

    /// Records a lost connection or a timeout.
    pub fn record_failure(&mut self) {
        self.record(false);
    }

    /// Records a failed connection attempt.
    pub fn record_connect_failure(&mut self, now: model::Time) {
        self.consecutive_connect_failures += 1;
        self.last_connect_failure = now;
    }

    fn record(&mut self, ok: bool) {
        self.window = (self.window << 1 | u32::from(!ok)) & ((1 << WINDOW_REQUESTS) - 1);
        self.consecutive_failures = if ok { 0 } else { self.consecutive_failures + 1 };
        if ok && self.window == 0 {
            self.ejections = 0;
        }
    }

    /// Whether the server should be ejected.
    pub fn is_outlier(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.window.count_ones() >= MAX_WINDOW_FAILURES
            || self.samples >= MIN_LATENCY_SAMPLES && self.latency_ratio >= MAX_LATENCY_RATIO
    }

    /// Ejects the server and resets its statistics.
    pub fn eject(&mut self, now: model::Time) {
        self.ejections += 1;
        let duration = (EJECTION_DURATION * self.ejections).min(MAX_EJECTION_DURATION);
        *self = OutlierDetector {
            ejections: self.ejections,
            ejected_until: Some(now + duration),
            ..OutlierDetector::default()
        };
    }

    /// Ends the ejection if it has expired; returns whether an ejection ended.
    pub fn readmit(&mut self, now: model::Time) -> bool {
        let expired = self.ejected_until.is_some_and(|until| now >= until);
        if expired {
            self.ejected_until = None;
        }
        expired
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the last connection attempts to the server all failed.
    pub fn is_unreachable(&self) -> bool {
        self.consecutive_connect_failures >= MAX_CONSECUTIVE_CONNECT_FAILURES
    }

    /// Whether enough time has passed to try to connect to an unreachable server again.
    pub fn may_reconnect(&self, now: model::Time) -> bool {
        let retries = self
            .consecutive_connect_failures
            .saturating_sub(MAX_CONSECUTIVE_CONNECT_FAILURES);
        let interval = RECONNECT_INTERVAL * (1 << retries.min(8));
        now >= self.last_connect_failure + interval.min(MAX_RECONNECT_INTERVAL)
    }

    /// Time of the last failed connection attempt.
    pub fn last_connect_failure(&self) -> model::Time {
        self.last_connect_failure
    }

    /// Mean latency relative to that of the same kind of work on other servers.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }
}
