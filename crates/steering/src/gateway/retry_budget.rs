//! Retry budget, shared by all hosts.

use std::{collections, time};

use crate::model;

/// Part of its own budget that a host uses.  The rest is a margin: hosts that disagree about the
/// number of hosts divide the slack differently.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Length of a bucket of the sliding window.
const BUCKET_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Largest number of buckets that are kept.  A longer window is cut to them.
const MAX_BUCKETS: usize = 3600;

/// Bounds the retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: time::Duration,
    /// Number, first attempts and retries of each bucket, oldest first.
    buckets: collections::VecDeque<(u128, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each first attempt and `slack` more in each
    /// `window`, summed over all hosts.
    pub fn new(ratio: f64, slack: f64, window: time::Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            slack,
            window,
            buckets: collections::VecDeque::new(),
        }
    }

    /// Changes the bounds; counts are kept.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, window: time::Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: model::Time) {
        self.bucket(now).1 += 1;
    }

    /// If the budget allows a retry, counts it and returns true.  `host_count` is the number
    /// of hosts in all data centres, which the slack is divided between.
    pub fn try_retry(&mut self, host_count: usize, now: model::Time) -> bool {
        self.bucket(now);
        let (first_attempts, retries) = self.buckets.iter().fold((0.0, 0.0), |(f, r), bucket| {
            (f + f64::from(bucket.1), r + f64::from(bucket.2))
        });
        let slack = self.slack / host_count.max(1) as f64;
        let max_retries = USED_BUDGET_SHARE * (self.ratio * first_attempts + slack);
        let is_allowed = retries + 1.0 <= max_retries;
        if is_allowed {
            self.bucket(now).2 += 1;
        }
        is_allowed
    }

    fn bucket(&mut self, now: model::Time) -> &mut (u128, u32, u32) {
        let number = now.as_millis() / BUCKET_LENGTH.as_millis();
        let bucket_count = self.window.as_millis() / BUCKET_LENGTH.as_millis();
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.0 + bucket_count < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.0 != number) {
            self.buckets.push_back((number, 0, 0));
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
