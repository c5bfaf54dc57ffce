//! Limits on request rates that backend servers name, as a host knows them.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::model;

/// Time for which a limit holds that no host has seen confirmed.  A backend server with a limit
/// still gets requests, whose answers confirm or lift it.
const MAX_AGE: time::Duration = time::Duration::from_secs(60);

/// Time for which hosts pass on that a limit was lifted.
const LIFTED_NEWS_TIME: time::Duration = time::Duration::from_secs(5);

/// Largest number of limits in one message, the ones seen last.
const MAX_NEWS: usize = 64;

/// What a backend server said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// Requests per second from all hosts together; `None` if it named none.
    rate: Option<f64>,
    /// Incarnation of the server.
    incarnation: model::Incarnation,
    seen_at: model::Time,
}

/// What a host tells others of a backend server's limit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Hash of the server's name.
    pub server: u64,
    /// Its incarnation.
    pub incarnation: model::Incarnation,
    /// Requests per second from all hosts together; `None` if the limit was lifted.
    pub rate: Option<f64>,
    /// Time since a host saw the answer.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: time::Duration,
}

/// Limits by the hash of the backend server's name.  Servers that never named one are not held.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: collections::HashMap<u64, Limit>,
}

impl RateLimits {
    /// Records what an answer said; returns whether the limit has changed.
    pub fn record(
        &mut self,
        server: u64,
        incarnation: model::Incarnation,
        rate: Option<f64>,
        now: model::Time,
    ) -> bool {
        let known = self.limits.get(&server).copied();
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        if known.is_none() && rate.is_none() {
            return false;
        }
        // Answers may overtake the news of newer ones.
        if known.is_some_and(|known| known.seen_at > now) {
            return false;
        }
        let limit = Limit {
            rate,
            incarnation,
            seen_at: now,
        };
        // A lifted limit is news only once.
        let lifted_again = rate.is_none() && known.is_some_and(|known| known.rate.is_none());
        if !lifted_again {
            self.limits.insert(server, limit);
        }
        known.and_then(|known| known.rate) != rate
    }

    /// Takes over what another host tells; returns the servers whose limits have changed, with the
    /// new ones.
    pub fn adopt(&mut self, news: &[LimitNews], now: model::Time) -> Vec<(u64, Option<f64>)> {
        news.iter()
            .filter(|news| {
                let seen_at = now.saturating_sub(news.age);
                self.record(news.server, news.incarnation, news.rate, seen_at)
            })
            .map(|news| (news.server, news.rate))
            .collect()
    }

    /// What to tell other hosts.
    pub fn news(&self, now: model::Time) -> Vec<LimitNews> {
        let mut news: Vec<LimitNews> = self
            .limits
            .iter()
            .map(|(server, limit)| LimitNews {
                server: *server,
                incarnation: limit.incarnation,
                rate: limit.rate,
                age: now.saturating_sub(limit.seen_at),
            })
            .collect();
        news.sort_by_key(|news| (news.age, news.server));
        news.truncate(MAX_NEWS);
        news
    }

    /// Limit of a backend server in requests per second from all hosts together.
    pub fn rate(&self, server: u64, incarnation: model::Incarnation) -> Option<f64> {
        let limit = self.limits.get(&server)?;
        limit.rate.filter(|_| limit.incarnation == incarnation)
    }

    /// Number of backend servers with a limit.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }

    /// Drops limits that have not been confirmed for long, and old news of lifted ones.
    pub fn expire(&mut self, now: model::Time) {
        self.limits.retain(|_, limit| {
            let max_age = match limit.rate {
                Some(_) => MAX_AGE,
                None => LIFTED_NEWS_TIME,
            };
            now <= limit.seen_at + max_age
        });
    }
}
