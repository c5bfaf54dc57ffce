//! Queue of waiting requests of one kind of work.

use std::collections;

use crate::model;

/// Waiting requests in order of arrival, each with the time by which it has to start.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: collections::VecDeque<(model::RequestId, model::Time)>,
    /// Lower bound of the latest start times of the waiting requests.
    min_start_by: model::Time,
}

impl Queue {
    /// Appends a request that has to start by `start_by`.
    pub fn push(&mut self, id: model::RequestId, start_by: model::Time) {
        self.min_start_by = match self.waiting.is_empty() {
            true => start_by,
            false => self.min_start_by.min(start_by),
        };
        self.waiting.push_back((id, start_by));
    }

    /// The request that has waited longest.
    pub fn first(&self) -> Option<model::RequestId> {
        self.waiting.front().map(|(id, _)| *id)
    }

    /// Removes the request that has waited longest.
    pub fn pop(&mut self) -> Option<model::RequestId> {
        self.waiting.pop_front().map(|(id, _)| id)
    }

    /// Removes the request that arrived last.
    pub fn pop_newest(&mut self) -> Option<model::RequestId> {
        self.waiting.pop_back().map(|(id, _)| id)
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, id: model::RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(other, _)| *other != id);
        self.waiting.len() < before
    }

    /// Removes and returns the requests whose latest start time has passed.
    pub fn expire(&mut self, now: model::Time) -> Vec<model::RequestId> {
        if self.waiting.is_empty() || self.min_start_by >= now {
            return Vec::new();
        }
        let is_expired = |entry: &(model::RequestId, model::Time)| entry.1 < now;
        let expired = self.waiting.iter().copied().filter(is_expired);
        let expired = expired.map(|(id, _)| id).collect();
        self.waiting.retain(|entry| !is_expired(entry));
        let latest_starts = self.waiting.iter().map(|(_, start_by)| *start_by);
        self.min_start_by = latest_starts.min().unwrap_or_default();
        expired
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<model::RequestId> {
        self.waiting.drain(..).map(|(id, _)| id).collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
