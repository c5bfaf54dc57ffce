//! Tokens outside of buckets, each of which ends at its time.

use std::collections;

use crate::model;

/// A token that a request has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Time until which it may be given back and taken again.
    pub(super) until: model::Time,
}

/// Amounts of tokens that end at their times.
#[derive(Debug, Default)]
pub(super) struct Stock {
    amounts: collections::VecDeque<(f64, model::Time)>,
}

impl Stock {
    /// Adds tokens that end at a time.
    pub(super) fn add(&mut self, tokens: f64, until: model::Time) {
        let position = self.amounts.partition_point(|(_, end)| *end <= until);
        self.amounts.insert(position, (tokens, until));
    }

    /// Tokens that have not ended.
    pub(super) fn tokens(&mut self, now: model::Time) -> f64 {
        while self.amounts.front().is_some_and(|(_, end)| *end <= now) {
            self.amounts.pop_front();
        }
        self.amounts.iter().map(|(tokens, _)| tokens).sum()
    }

    /// Takes tokens, those that end first; returns how many it took and when the first of them
    /// would have ended.
    pub(super) fn take(&mut self, wanted: f64) -> (f64, Option<model::Time>) {
        let mut taken = 0.0;
        let mut first_end = None;
        while taken < wanted
            && let Some((tokens, end)) = self.amounts.front_mut()
        {
            first_end.get_or_insert(*end);
            let part = tokens.min(wanted - taken);
            taken += part;
            *tokens -= part;
            if *tokens <= 0.0 {
                self.amounts.pop_front();
            }
        }
        (taken, first_end)
    }

    /// Drops all tokens.
    pub(super) fn clear(&mut self) {
        self.amounts.clear();
    }
}
