//! Budget of repeated sendings, shared by all hosts.

use std::{collections, time};

use crate::model;

/// Part of a host's share that it uses; the rest covers views of the hosts that differ.
const USED_SHARE: f64 = 0.7;

/// Length of a bucket of counts.
const BUCKET: time::Duration = time::Duration::from_secs(1);

/// Bounds the repeated sendings of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: time::Duration,
    /// First and repeated sendings of each bucket, the oldest first.
    buckets: collections::VecDeque<(u128, u32, u32)>,
}

impl RetryBudget {
    /// A budget of `ratio` repeats for each first sending and `slack` more in each `window`, summed
    /// over all hosts.
    pub fn new(ratio: f64, slack: f64, window: time::Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            slack,
            window,
            buckets: collections::VecDeque::new(),
        }
    }

    /// Takes changed bounds; what was counted stays.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, window: time::Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Counts a request's first sending.
    pub fn record_first_attempt(&mut self, now: model::Time) {
        self.bucket(now).1 += 1;
    }

    /// Takes one repeated sending where the budget covers it; `hosts` share the slack.
    pub fn try_retry(&mut self, hosts: usize, now: model::Time) -> bool {
        self.bucket(now);
        let (firsts, repeats) = self
            .buckets
            .iter()
            .fold((0, 0), |(f, r), bucket| (f + bucket.1, r + bucket.2));
        let slack = self.slack / hosts.max(1) as f64;
        let allowed = USED_SHARE * (self.ratio * f64::from(firsts) + slack);
        let covered = f64::from(repeats + 1) <= allowed;
        if covered {
            self.bucket(now).2 += 1;
        }
        covered
    }

    fn bucket(&mut self, now: model::Time) -> &mut (u128, u32, u32) {
        let number = now.as_millis() / BUCKET.as_millis();
        let kept = self.window.as_millis() / BUCKET.as_millis();
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.0 + kept < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.0 != number) {
            self.buckets.push_back((number, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
