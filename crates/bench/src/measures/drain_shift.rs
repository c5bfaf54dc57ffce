//! Planned stops of data centres.

use std::time;

use serde_json::json;
use yuccatide_steering::{config, model, steer};

use super::compare;
use crate::{figure, network};

/// The measure.
pub const MEASURE: super::Measure = super::Measure {
    name: "drain-shift",
    about: "time to empty of a scheduled data centre against its schedule, service meanwhile",
    run,
};

const LOAD: f64 = 0.4;
const BEFORE: time::Duration = time::Duration::from_secs(10);
/// Time from the order to when the data centre has to be empty.
const NOTICE: time::Duration = time::Duration::from_secs(180);

fn run(seed: u64) -> Vec<figure::Figure> {
    compare::in_each_deployment(|name, doc| measure(name, doc, seed))
}

fn measure(name: &str, doc: &config::Document, seed: u64) -> Vec<figure::Figure> {
    let workload = network::Workload::new(doc, LOAD);
    let scenario = network::Scenario::new(doc.clone(), workload, seed);
    let mut fleet = network::Fleet::new(scenario, network::Way::Steer);
    fleet.run(BEFORE);
    let ordered = fleet.now;
    let drained = doc.data_centres().next().expect("there is one").clone();
    let by = ordered + NOTICE;
    let drain = json!({"target": {"data_centre": drained}, "empty_by_unix_s": by.as_secs()});
    fleet.patch(json!({ "drains": { "d": drain } }));
    let before = served(&fleet, ordered - BEFORE / 2, ordered, |_| true);
    let plan = fleet
        .nodes
        .values()
        .next()
        .expect("there is a host")
        .steer
        .status(fleet.now);
    let begin = plan.drains["d"].begin;
    let mut empty = None;
    while fleet.now < by + NOTICE && empty.is_none() {
        fleet.run(steer::TICK_INTERVAL);
        let busy = fleet
            .servers
            .values()
            .any(|s| s.data_centre == drained && s.in_flight > 0);
        let moved = doc.work.keys().all(|work| {
            let away = fleet.probe.away(&(work.clone(), drained.clone()));
            away.last().is_some_and(|(_, part)| *part >= 1.0)
        });
        empty = (moved && !busy).then_some(fleet.now);
    }
    let end = empty.unwrap_or(fleet.now);
    fleet.run(time::Duration::from_secs(5));
    let early = begin.saturating_sub(ordered).as_secs_f64();
    let past = end.as_secs_f64() - by.as_secs_f64();
    let during = served(&fleet, begin, end, |_| true);
    let moved = served(&fleet, begin, end, |origin| origin == drained);
    let figure = |what: &str, value: f64, unit| {
        figure::Figure::new("drain-shift", format!("{name}.{what}"), value, unit)
    };
    vec![
        figure("empty-after-schedule", past, "s").with_bound(figure::Bound::AtMost(0.0)),
        figure("begin-after-order", early, "s"),
        figure(
            "begin-to-empty",
            end.saturating_sub(begin).as_secs_f64(),
            "s",
        ),
        figure("served", during, "share").with_baseline(before),
        figure("served.drained-callers", moved, "share").with_baseline(before),
    ]
}

fn served(
    fleet: &network::Fleet,
    from: model::Time,
    to: model::Time,
    select: impl Fn(&str) -> bool,
) -> f64 {
    let bin = fleet.tally.sum(from, to, |_, origin| select(origin));
    f64::from(bin.served) / f64::from(bin.sent.max(1))
}
