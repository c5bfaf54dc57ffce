//! Signals of backend servers that hold until they are lifted, as a host knows them.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::model;

/// Time for which hosts pass on that a signal was lifted.
const LIFTED_NEWS_TIME: time::Duration = time::Duration::from_secs(5);

/// Largest number of signals of a kind in one message, the ones seen last.
const MAX_NEWS: usize = 64;

/// What a backend server said.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Said<T> {
    /// `None` if it no longer says anything.
    value: Option<T>,
    /// Incarnation of the server.
    incarnation: model::Incarnation,
    at: model::Time,
}

/// What a host tells others of a backend server's signal.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalNews<T> {
    /// Hash of the server's name.
    pub server: u64,
    /// Its incarnation.
    pub incarnation: model::Incarnation,
    /// The signal; `None` if it was lifted.
    pub value: Option<T>,
    /// Time since a host saw the answer.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: time::Duration,
}

/// Signals of one kind by the hash of the backend server's name.  Servers that never gave one are
/// not held.
#[derive(Debug)]
pub struct SignalBook<T> {
    said: collections::HashMap<u64, Said<T>>,
}

impl<T> Default for SignalBook<T> {
    fn default() -> SignalBook<T> {
        SignalBook {
            said: collections::HashMap::new(),
        }
    }
}

impl<T: Copy + PartialEq> SignalBook<T> {
    /// Records what an answer said at `at`; returns whether the signal has changed.
    pub fn record(
        &mut self,
        server: u64,
        incarnation: model::Incarnation,
        value: Option<T>,
        at: model::Time,
    ) -> bool {
        let known = self.said.get(&server).copied();
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        if known.is_none() && value.is_none() {
            return false;
        }
        // Answers may overtake the news of newer ones.
        if known.is_some_and(|known| known.at > at) {
            return false;
        }
        // A lifted signal is news only once.
        let is_lifted_again = value.is_none() && known.is_some_and(|known| known.value.is_none());
        if !is_lifted_again {
            let said = Said {
                value,
                incarnation,
                at,
            };
            self.said.insert(server, said);
        }
        known.and_then(|known| known.value) != value
    }

    /// Records the answer to a request sent at `sent_at`.  An answer without the signal lifts it
    /// only if its request was sent after the signal was seen: others may have been made before.
    pub fn record_answer(
        &mut self,
        server: u64,
        incarnation: model::Incarnation,
        value: Option<T>,
        sent_at: model::Time,
        now: model::Time,
    ) -> bool {
        let known = self.said.get(&server);
        if value.is_none() && known.is_some_and(|known| known.at >= sent_at) {
            return false;
        }
        self.record(server, incarnation, value, now)
    }

    /// Takes over what another host tells; returns what has changed.
    pub fn adopt<'a>(
        &mut self,
        news: &'a [SignalNews<T>],
        now: model::Time,
    ) -> Vec<&'a SignalNews<T>> {
        news.iter()
            .filter(|news| {
                let at = now.saturating_sub(news.age);
                self.record(news.server, news.incarnation, news.value, at)
            })
            .collect()
    }

    /// Time at which a backend server last gave a signal that holds.
    pub fn said_at(&self, server: u64, incarnation: model::Incarnation) -> Option<model::Time> {
        let said = self.said.get(&server)?;
        let holds = said.value.is_some() && said.incarnation == incarnation;
        holds.then_some(said.at)
    }

    /// What to tell other hosts.
    pub fn news(&self, now: model::Time) -> Vec<SignalNews<T>> {
        let mut news: Vec<SignalNews<T>> = self
            .said
            .iter()
            .map(|(server, said)| SignalNews {
                server: *server,
                incarnation: said.incarnation,
                value: said.value,
                age: now.saturating_sub(said.at),
            })
            .collect();
        news.sort_by_key(|news| (news.age, news.server));
        news.truncate(MAX_NEWS);
        news
    }

    /// Signal of a backend server, if it holds.
    pub fn get(&self, server: u64, incarnation: model::Incarnation) -> Option<T> {
        let said = self.said.get(&server)?;
        said.value.filter(|_| said.incarnation == incarnation)
    }

    /// Number of backend servers whose signals hold.
    pub fn count(&self) -> usize {
        let said = self.said.values();
        said.filter(|said| said.value.is_some()).count()
    }

    /// Drops signals that no host has seen confirmed for `max_age`, and old news of lifted ones.
    pub fn expire(&mut self, max_age: time::Duration, now: model::Time) {
        self.said.retain(|_, said| {
            let max_age = match said.value {
                Some(_) => max_age,
                None => LIFTED_NEWS_TIME,
            };
            now <= said.at + max_age
        });
    }

    /// Drops the signals of backend servers for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(u64, model::Incarnation) -> bool) {
        self.said
            .retain(|server, said| is_known(*server, said.incarnation));
    }
}
