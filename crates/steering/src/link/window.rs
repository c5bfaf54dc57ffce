//! Sliding window of bytes sent.

use std::{collections, time};

use crate::model;

/// Length of the window over which bandwidth is limited.
pub const WINDOW_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Interval of one bucket; bounds the number of buckets.
const BUCKET_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Bytes added during the last [`WINDOW_LENGTH`], rounded up to whole buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// End of each bucket and the bytes added in it.
    buckets: collections::VecDeque<(model::Time, u64)>,
    total: u64,
}

impl Window {
    /// Bytes in the window that ends now.
    pub fn total(&mut self, now: model::Time) -> u64 {
        while let Some((end, bytes)) = self.buckets.front().copied() {
            if now < end + WINDOW_LENGTH {
                break;
            }
            self.total -= bytes;
            self.buckets.pop_front();
        }
        self.total
    }

    /// Adds bytes if the window stays within the limit.
    pub fn try_add(&mut self, bytes: u64, limit_bytes: u64, now: model::Time) -> bool {
        let fits = self.total(now).saturating_add(bytes) <= limit_bytes;
        if fits {
            self.add(bytes, now);
        }
        fits
    }

    /// Adds bytes regardless of the limit.
    pub fn add(&mut self, bytes: u64, now: model::Time) {
        self.total += bytes;
        match self.buckets.back_mut() {
            Some((end, sum)) if now < *end => *sum += bytes,
            _ => self.buckets.push_back((now + BUCKET_INTERVAL, bytes)),
        }
    }
}
