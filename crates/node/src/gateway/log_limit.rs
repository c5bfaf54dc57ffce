//! Rate limit for log lines.

use std::{collections, sync};

use yuccatide_steering::model;

/// Lines of one kind written per second; further ones are counted and omitted.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts the log lines of each kind in the current second.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    kinds: sync::Mutex<collections::HashMap<&'static str, KindCount>>,
    /// Subjects and kinds of the lines that are written once.
    written: sync::Mutex<collections::BTreeSet<(String, &'static str)>>,
}

#[derive(Debug, Default)]
struct KindCount {
    second: u64,
    lines: u32,
    omitted: u64,
}

impl LogLimiter {
    /// Returns the number of lines omitted before this one, or `None` if it must be omitted too.
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

    /// Whether a line of this kind about the subject has not been written yet.
    pub(super) fn admit_once(&self, subject: &str, kind: &'static str) -> bool {
        let mut written = self
            .written
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        written.insert((subject.to_string(), kind))
    }
}
