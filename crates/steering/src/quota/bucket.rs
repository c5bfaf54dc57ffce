//! A token bucket of fractional tokens.

use std::time;

use crate::{model, numbers};

/// Tokens that accrue at a rate up to a depth.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Tokens per second.
    rate: f64,
    depth: f64,
    tokens: f64,
    updated: model::Time,
}

impl Bucket {
    /// Creates an empty bucket without a rate.
    pub(super) fn new(now: model::Time) -> Bucket {
        Bucket {
            rate: 0.0,
            depth: 0.0,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the rate and the depth; tokens beyond the new depth are lost.
    pub(super) fn resize(&mut self, rate: f64, depth: f64, now: model::Time) {
        self.refill(now);
        self.rate = rate;
        self.depth = depth;
        self.tokens = self.tokens.min(depth);
    }

    /// Tokens that may be taken now.
    pub(super) fn tokens(&mut self, now: model::Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes tokens.
    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Tokens to give to a host that wants some: whole ones unless the bucket never holds a whole
    /// one or all that is wanted is there.
    pub(super) fn grantable(&mut self, wanted: f64, now: model::Time) -> f64 {
        let tokens = self.tokens(now).max(0.0);
        match wanted <= tokens {
            true => wanted,
            false if self.depth >= 1.0 => tokens.floor(),
            false => tokens,
        }
    }

    /// Time until a token, or as much of one as the bucket ever holds, may be taken; `None` if none
    /// accrue.
    pub(super) fn time_to_token(&mut self, now: model::Time) -> Option<time::Duration> {
        let missing = (self.depth.min(1.0) - self.tokens(now)).max(0.0);
        numbers::duration_from_secs(missing / self.rate)
    }

    /// Time until the bucket is full.
    pub(super) fn time_to_fill(&mut self, now: model::Time) -> time::Duration {
        let missing = (self.depth - self.tokens(now)).max(0.0);
        numbers::saturating_duration(missing / self.rate)
    }

    /// Tokens per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: model::Time) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.depth);
        self.updated = self.updated.max(now);
    }
}
