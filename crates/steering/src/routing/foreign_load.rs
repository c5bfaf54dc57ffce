//! Load on a backend server that this host did not send.

use std::{collections, time};

use super::load_report;
use crate::model;

/// Width of a bucket of the record of own requests.
const BUCKET: time::Duration = time::Duration::from_millis(250);

/// How much older than its time the content of a report may be.
const REPORT_LAG: time::Duration = time::Duration::from_secs(10);

/// How much newer than its time the content of a report may be.
const REPORT_LEAD: time::Duration = time::Duration::from_millis(500);

/// Time between requests that check reports by which there is no room; it doubles with each
/// refusal.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Doublings of the time between two checks.
const MAX_DOUBLINGS: u32 = 6;

/// Answers that contradict the reports before the reports are ignored.
const CONTRADICTIONS: u32 = 5;

/// How long reports are ignored once behaviour has contradicted them; a refusal ends it.
const DISTRUST: time::Duration = time::Duration::from_secs(600);

/// Compares a server's reports with the requests that this host had there at the report's time.
#[derive(Clone, Debug, Default)]
pub struct ForeignLoad {
    own: collections::VecDeque<(model::Time, u32)>,
    slots: u32,
    checked: Option<model::Time>,
    contradictions: u32,
    refusals: u32,
    distrusted_until: model::Time,
}

impl ForeignLoad {
    /// Records the number of own requests on the server.
    pub fn observe(&mut self, in_flight: u32, max_age: time::Duration, now: model::Time) {
        let bucket = bucket_of(now);
        match self.own.back_mut() {
            Some((start, most)) if *start == bucket => *most = (*most).max(in_flight),
            Some((_, most)) => {
                // The count before the change held at the start of the new bucket too.
                let most = (*most).max(in_flight);
                self.own.push_back((bucket, most));
            }
            None => self.own.push_back((bucket, in_flight)),
        }
        let oldest = bucket.saturating_sub(max_age + REPORT_LAG);
        while self.own.len() > 1 && self.own[1].0 <= oldest {
            self.own.pop_front();
        }
    }

    /// Takes a report; `slots` is the configured number.
    pub fn record_report(&mut self, report: &load_report::LoadReport, slots: u32) {
        let known = self.own_at(report.at);
        let missing = slots.saturating_sub(report.slots);
        let other = report.in_use.saturating_sub(known);
        let full = !report.healthy || report.slots == 0;
        self.slots = if full {
            slots
        } else {
            (other + missing).min(slots)
        };
        if self.slots == 0 {
            self.contradictions = 0;
        }
    }

    /// Forgets the reports.
    pub fn clear(&mut self) {
        self.slots = 0;
    }

    /// Slots that are to be taken as used by others.
    pub fn slots(&self, now: model::Time) -> u32 {
        if now < self.distrusted_until {
            0
        } else {
            self.slots
        }
    }

    /// Whether a request may be sent to check reports by which there is no room.
    pub fn may_check(&self, now: model::Time) -> bool {
        let interval = CHECK_INTERVAL * (1 << self.refusals.min(MAX_DOUBLINGS));
        self.checked.is_none_or(|at| now >= at + interval)
    }

    /// Records that a checking request was sent.
    pub fn checked(&mut self, now: model::Time) {
        self.checked = Some(now);
    }

    /// Records an answer at ordinary latency to a request for which there was no room by the
    /// reports.
    pub fn contradicted(&mut self, now: model::Time) {
        self.contradictions += 1;
        self.refusals = 0;
        if self.contradictions >= CONTRADICTIONS {
            self.contradictions = 0;
            self.distrusted_until = now + DISTRUST;
        }
    }

    /// Records a refusal: the reports may be right.
    pub fn refused(&mut self) {
        self.contradictions = 0;
        self.refusals += 1;
        self.distrusted_until = model::Time::ZERO;
    }

    fn own_at(&self, at: model::Time) -> u32 {
        let from = bucket_of(at.saturating_sub(REPORT_LAG));
        let until = at + REPORT_LEAD;
        let before = self.own.iter().rev().find(|(start, _)| *start < from);
        self.own
            .iter()
            .filter(|(start, _)| *start >= from && *start <= until)
            .chain(before)
            .map(|(_, most)| *most)
            .max()
            .unwrap_or(0)
    }
}

fn bucket_of(at: model::Time) -> model::Time {
    let width = BUCKET.as_millis() as u64;
    model::Time::from_millis(at.as_millis() as u64 / width * width)
}
