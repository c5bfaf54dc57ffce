//! The table at the end, and its JSON form.

use std::{collections, fmt::Write};

use serde::Serialize;
use yuccatide_steering::model;

use crate::{fleet, judge, load, story};

/// Everything that the demo found out.
#[derive(Serialize)]
pub struct Report {
    deployment: String,
    entry_hosts: usize,
    backend_servers: usize,
    work: Vec<WorkFigures>,
    reasons: collections::BTreeMap<String, usize>,
    in_force_ms: Option<f64>,
    drain_ms: Option<f64>,
    stop_ms: f64,
    crossed: u64,
    platform_reads: u64,
    platform_writes: u64,
    promises: Vec<judge::Promise>,
}

/// Service of one kind of work in one phase.
#[derive(Serialize)]
struct WorkFigures {
    work: model::WorkId,
    rank: model::Rank,
    phase: load::Phase,
    sent: usize,
    done: usize,
    not_run: usize,
    unknown: usize,
    p50_ms: f64,
    p99_ms: f64,
}

impl Report {
    /// Judges the records and sums them up.
    pub fn new(name: &str, fleet: &fleet::Fleet, told: &story::Told) -> Report {
        let facts = &told.facts;
        let ms = |time: std::time::Duration| time.as_secs_f64() * 1e3;
        let calls = fleet.platform.calls();
        Report {
            deployment: name.to_string(),
            entry_hosts: fleet.hosts.len(),
            backend_servers: fleet.backends.len(),
            work: figures(fleet, &told.records),
            reasons: reasons(&told.records),
            in_force_ms: facts.in_force.map(ms),
            drain_ms: facts.empty_after.map(ms),
            stop_ms: ms(facts.stop_time),
            crossed: facts.crossed,
            platform_reads: calls.reads(),
            platform_writes: calls.writes(),
            promises: judge::judge(fleet, &told.records, facts),
        }
    }

    /// Whether every promise was kept.
    pub fn held(&self) -> bool {
        self.promises.iter().all(|promise| promise.held)
    }

    /// The report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// The report as tables.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{}: {} backend servers, {} entry hosts left\n\n\
             {:<14} {:<7} {:<6} {:>6} {:>6} {:>7} {:>7} {:>9} {:>9}\n",
            self.deployment,
            self.backend_servers,
            self.entry_hosts,
            "WORK",
            "RANK",
            "PHASE",
            "SENT",
            "DONE",
            "NOT RUN",
            "UNKNOWN",
            "P50",
            "P99"
        );
        for f in &self.work {
            let _ = writeln!(
                text,
                "{:<14} {:<7} {:<6} {:>6} {:>6} {:>7} {:>7} {:>6.0} ms {:>6.0} ms",
                f.work,
                f.rank.as_str(),
                format!("{:?}", f.phase).to_lowercase(),
                f.sent,
                f.done,
                f.not_run,
                f.unknown,
                f.p50_ms,
                f.p99_ms
            );
        }
        let _ = writeln!(
            text,
            "\npatch in force everywhere after {}, backend server empty after {}, \
             host stopped in {:.0} ms\n",
            time(self.in_force_ms),
            time(self.drain_ms),
            self.stop_ms
        );
        for (reason, count) in &self.reasons {
            let _ = writeln!(text, "{count:>6} {reason}");
        }
        text.push('\n');
        for promise in &self.promises {
            let _ = writeln!(
                text,
                "{:<6} {}: {} {} (at most {})",
                if promise.held { "kept" } else { "BROKEN" },
                promise.name,
                round(promise.value),
                promise.unit,
                promise.at_most
            );
        }
        text
    }
}

/// Requests that were not served by phase, outcome and reason.
fn reasons(records: &[load::Record]) -> collections::BTreeMap<String, usize> {
    let mut reasons = collections::BTreeMap::new();
    let failed = |r: &&load::Record| !r.is_served();
    for record in records.iter().filter(failed) {
        let reason = record.reason.as_deref().unwrap_or("error status");
        let phase = format!("{:?}", record.phase).to_lowercase();
        let name = format!("{phase}: {}, {reason}", record.outcome);
        *reasons.entry(name).or_default() += 1;
    }
    reasons
}

fn time(ms: Option<f64>) -> String {
    ms.map_or_else(|| "-".to_string(), |ms| format!("{ms:.0} ms"))
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn figures(fleet: &fleet::Fleet, records: &[load::Record]) -> Vec<WorkFigures> {
    let mut groups = collections::BTreeMap::<_, Vec<_>>::new();
    for record in records {
        let rank = fleet.doc.work[&record.work].rank;
        let key = (record.phase, rank, record.work.clone());
        groups.entry(key).or_default().push(record);
    }
    groups
        .into_iter()
        .map(|((phase, rank, work), group)| {
            let count = |outcome| group.iter().filter(|r| r.outcome == outcome).count();
            let (p50_ms, p99_ms) = percentiles(&group);
            WorkFigures {
                work,
                rank,
                phase,
                sent: group.len(),
                done: count(model::Outcome::Done),
                not_run: count(model::Outcome::NotRun),
                unknown: count(model::Outcome::Unknown),
                p50_ms,
                p99_ms,
            }
        })
        .collect()
}

/// Median and 99th percentile of the latency of answered requests, in milliseconds.
fn percentiles(group: &[&load::Record]) -> (f64, f64) {
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are allowed");
    for record in group.iter().filter(|r| r.outcome == model::Outcome::Done) {
        histogram += record.latency.as_micros() as u64;
    }
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    (ms(0.5), ms(0.99))
}
