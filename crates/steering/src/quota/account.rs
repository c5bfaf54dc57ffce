//! What a host holds of one customer's quota, and the requests that wait for tokens.

use std::{collections, time};

use super::{allotment, bucket, holders, quota, stock, usage};
use crate::model;

/// Amounts below this are lost to rounding.
const ROUNDING: f64 = 1e-6;

/// Time for which a host asks for tokens ahead of need.
const AHEAD_TIME: time::Duration = time::Duration::from_millis(150);

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting<T> {
    pub(super) request: T,
    /// Time until which it waits.
    pub(super) until: model::Time,
}

/// An ask that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) number: u64,
    pub(super) host: model::HostId,
    pub(super) at: model::Time,
    /// Whether an answer is still waited for; a late one is of use all the same.
    pub(super) is_awaited: bool,
}

/// A customer's quota at one host.
#[derive(Debug)]
pub(super) struct Account<T> {
    pub(super) quota: quota::Quota,
    pub(super) bucket: bucket::Bucket,
    pub(super) stock: stock::Stock,
    pub(super) usage: usage::Usage,
    pub(super) waiting: collections::VecDeque<Waiting<T>>,
    pub(super) asked: Vec<Asked>,
    /// Hosts to ask, best first; `None` if not known yet.
    pub(super) to_ask: Option<Vec<model::HostId>>,
    /// Hosts that are of no use before a time.
    pub(super) pauses: collections::HashMap<model::HostId, model::Time>,
    /// When a host last said that it has too few tokens.
    pub(super) exhausted_at: Option<model::Time>,
}

impl<T> Account<T> {
    /// Creates an empty account.
    pub(super) fn new(quota: quota::Quota, now: model::Time) -> Account<T> {
        Account {
            quota,
            bucket: bucket::Bucket::new(now),
            stock: stock::Stock::default(),
            usage: usage::Usage::new(now),
            waiting: collections::VecDeque::new(),
            asked: Vec::new(),
            to_ask: None,
            pauses: collections::HashMap::new(),
            exhausted_at: None,
        }
    }

    /// Changes the size of the quota or of the parts that this host holds.
    pub(super) fn resize(
        &mut self,
        quota: quota::Quota,
        parts: &holders::Parts,
        bounds: &quota::Bounds,
        now: model::Time,
    ) {
        if quota != self.quota {
            // Tokens of a larger quota must not outlive it.
            self.stock.clear();
            self.asked.clear();
            self.pauses.clear();
            self.quota = quota;
        }
        let (rate, depth) = allotment::rate_and_depth(&quota, parts, bounds);
        self.bucket.resize(rate, depth, now);
        self.to_ask = None;
    }

    /// Takes a token if there is one.
    pub(super) fn try_take(
        &mut self,
        life: time::Duration,
        now: model::Time,
    ) -> Option<stock::Token> {
        if self.tokens(now) < 1.0 - ROUNDING {
            return None;
        }
        let (taken, first_end) = self.stock.take(1.0);
        self.bucket.take(1.0 - taken);
        let until = first_end.unwrap_or(now + life);
        Some(stock::Token { until })
    }

    /// Tokens to ask for: those that the waiting requests lack, and some for requests to come.
    pub(super) fn wanted(&mut self, now: model::Time) -> f64 {
        let ahead = self.usage.expected(AHEAD_TIME, now).floor();
        self.waiting.len() as f64 + ahead - self.tokens(now)
    }

    /// Whether an ask is in progress.
    pub(super) fn is_asking(&self) -> bool {
        self.asked.iter().any(|asked| asked.is_awaited)
    }

    /// Time until tokens may be there again, as far as this host knows.
    pub(super) fn retry_after(&mut self, now: model::Time) -> Option<time::Duration> {
        let others = self.pauses.values().map(|end| end.saturating_sub(now));
        let own = self.bucket.time_to_token(now);
        others.chain(own).min()
    }

    fn tokens(&mut self, now: model::Time) -> f64 {
        self.stock.tokens(now) + self.bucket.tokens(now)
    }
}
