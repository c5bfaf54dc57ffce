//! Bound on the volume of log lines.

use std::{collections, sync};

use yuccatide_steering::model;

/// LogLimiter of one kind in a second; further ones are counted and left out.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts the log lines of each kind in the present second.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    kinds: sync::Mutex<collections::HashMap<&'static str, KindCount>>,
}

#[derive(Debug, Default)]
struct KindCount {
    second: u64,
    lines: u32,
    omitted: u64,
}

impl LogLimiter {
    /// Whether a line of a kind is written: with the number of lines left out before it, if so.
    pub(super) fn admit(&self, kind: &'static str, now: model::Time) -> Option<u64> {
        let mut kinds = self
            .kinds
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let kind = kinds.entry(kind).or_default();
        if kind.second != now.as_secs() {
            kind.second = now.as_secs();
            kind.lines = 0;
        }
        if kind.lines >= MAX_LINES_PER_SECOND {
            kind.omitted += 1;
            return None;
        }
        kind.lines += 1;
        Some(std::mem::take(&mut kind.omitted))
    }
}
