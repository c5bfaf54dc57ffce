//! Limit on the growth of the traffic that a host accepts from callers in other data centres.

use std::collections;

use crate::{config, model};

/// Number of past intervals of which the one with the most admitted requests is the baseline.
const HISTORY_INTERVAL_COUNT: usize = 10;

/// Number of standard deviations of a Poisson count by which an interval may exceed an earlier one.
const STANDARD_DEVIATION_COUNT: f64 = 2.0;

/// Limits the growth of admitted requests from one interval to the next.
///
/// Each interval admits at most the largest number of requests admitted in a recent interval, plus
/// the random variation of that number, plus the cap's share of the requests that arrived in the
/// interval. When a data centre fails and all its callers arrive at once, they are thus admitted in
/// steps, regardless of their number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ramp {
    /// Number of the current interval since the time origin.
    interval: u128,
    arrived: u32,
    admitted: u32,
    /// Requests admitted in each of the past intervals.
    history: collections::VecDeque<u32>,
}

impl Ramp {
    /// Counts an arriving request whose caller is in another data centre; returns whether it may be
    /// served outside that data centre.
    pub fn admit(&mut self, cap: &config::ShiftCap, now: model::Time) -> bool {
        self.advance_interval(cap, now);
        self.arrived += 1;
        let base = f64::from(self.history.iter().copied().max().unwrap_or(0));
        let growth = cap.share * f64::from(self.arrived);
        let allowed = base + STANDARD_DEVIATION_COUNT * base.sqrt() + growth;
        let is_admitted = f64::from(self.admitted + 1) <= allowed;
        self.admitted += u32::from(is_admitted);
        is_admitted
    }

    /// Starts a new interval if the current one has ended.
    fn advance_interval(&mut self, cap: &config::ShiftCap, now: model::Time) {
        let interval = now.as_nanos() / cap.interval.as_nanos().max(1);
        if interval == self.interval {
            return;
        }
        let idle_intervals = interval.saturating_sub(self.interval).saturating_sub(1);
        self.history.push_back(self.admitted);
        (0..idle_intervals.min(HISTORY_INTERVAL_COUNT as u128))
            .for_each(|_| self.history.push_back(0));
        while self.history.len() > HISTORY_INTERVAL_COUNT {
            self.history.pop_front();
        }
        self.interval = interval;
        self.arrived = 0;
        self.admitted = 0;
    }
}
