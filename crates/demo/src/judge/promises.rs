//! The promises, checked against the backend servers' own logs.

use std::{collections, time::Duration};

use yuccatide_standins::backend;
use yuccatide_steering::model;

use super::{facts, promise::Promise};
use crate::{fleet, load};

/// Time after which a leaving backend server gets nothing new.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Time within which a patch is in force on every host.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);

/// Part of the requests that may go without answer while they are within what is guaranteed to
/// their work.
const ORDINARY_LOST_SHARE: f64 = 0.01;

/// Part of the urgent requests that may go without answer in a flood of late work.
const URGENT_LOST_SHARE: f64 = 0.01;

/// Checks every promise.
pub fn judge(fleet: &fleet::Fleet, records: &[load::Record], facts: &facts::Facts) -> Vec<Promise> {
    let runs = runs_by_path(fleet);
    let count = |path: &str| runs.get(path).map_or(0, Vec::len);
    let number = |f: &dyn Fn(&load::Record) -> bool| records.iter().filter(|r| f(r)).count() as f64;
    let once = |r: &load::Record| !fleet.doc.work[&r.work].idempotent;
    let overfull = fleet.backends.iter().filter(|(id, backend)| {
        let service = &fleet.doc.services[&fleet.doc.servers[*id].service];
        backend.peak_connections() > service.connections as usize
            || backend.peak_in_use() > service.slots
    });
    let seconds = |time: Option<Duration>| time.map_or(f64::INFINITY, |t| t.as_secs_f64());
    vec![
        Promise::new(
            "answers that are not the whole answer to their own request",
            number(&|r| r.is_served() && !r.whole),
            "requests",
            0.0,
        ),
        Promise::new(
            "requests told as not run that were run",
            number(&|r| r.outcome == model::Outcome::NotRun && count(&r.path) > 0),
            "requests",
            0.0,
        ),
        Promise::new(
            "non-idempotent requests that ran more than once",
            number(&|r| once(r) && count(&r.path) > 1),
            "requests",
            0.0,
        ),
        Promise::new(
            "new requests at the leaving server, 5 s after the patch",
            late_runs(fleet, facts) as f64,
            "requests",
            0.0,
        ),
        Promise::new(
            "requests cut off by the planned stop of a host",
            number(&|r| r.outcome == model::Outcome::Unknown && r.phase == load::Phase::Stop),
            "requests",
            0.0,
        ),
        Promise::new(
            "patch in force on every host",
            seconds(facts.in_force),
            "s",
            IN_FORCE_TIME.as_secs_f64(),
        ),
        Promise::new(
            "versions that went back",
            facts.reverts as f64,
            "times",
            0.0,
        ),
        Promise::new(
            "outdated patches that were accepted",
            f64::from(u8::from(!facts.outdated_refused)),
            "patches",
            0.0,
        ),
        Promise::new(
            "largest part of a shift cap used at once",
            facts.cap_use,
            "caps",
            1.0,
        ),
        Promise::new(
            "backend servers past their slots or connections",
            overfull.count() as f64,
            "servers",
            0.0,
        ),
        Promise::new(
            "requests that full backend servers had to refuse",
            facts.sheds as f64,
            "requests",
            0.0,
        ),
        Promise::new(
            "requests without answer under ordinary load",
            lost_share(records, |r| {
                matches!(r.phase, load::Phase::Calm | load::Phase::Stop)
            }),
            "share",
            ORDINARY_LOST_SHARE,
        ),
        Promise::new(
            "ordinary requests without answer in the flood of late work",
            lost_share(records, |r| {
                let rank = fleet.doc.work[&r.work].rank;
                r.phase == load::Phase::Flood && rank == model::Rank::Normal
            }),
            "share",
            ORDINARY_LOST_SHARE,
        ),
        Promise::new(
            "urgent requests without answer in the flood",
            lost_share(records, |r| {
                let rank = fleet.doc.work[&r.work].rank;
                r.phase == load::Phase::Flood && rank == model::Rank::Urgent
            }),
            "share",
            URGENT_LOST_SHARE,
        ),
    ]
}

fn runs_by_path(fleet: &fleet::Fleet) -> collections::HashMap<String, Vec<backend::Run>> {
    let mut runs = collections::HashMap::<_, Vec<_>>::new();
    for run in fleet.backends.values().flat_map(|b| b.runs()) {
        runs.entry(run.path.clone()).or_default().push(run);
    }
    runs
}

fn late_runs(fleet: &fleet::Fleet, facts: &facts::Facts) -> usize {
    let Some((server, at)) = &facts.drained else {
        return usize::MAX;
    };
    let runs = fleet.backends[server].runs();
    runs.iter().filter(|r| r.start > *at + LEAVING_TIME).count()
}

/// Part of the selected requests that got no answer.
fn lost_share(records: &[load::Record], selected: impl Fn(&load::Record) -> bool) -> f64 {
    let selected = records.iter().filter(|r| selected(r)).collect::<Vec<_>>();
    let lost = |r: &&&load::Record| !r.is_served();
    let lost = selected.iter().filter(lost).count();
    lost as f64 / selected.len().max(1) as f64
}
