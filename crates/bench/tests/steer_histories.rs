//! Random histories of patches, drains, losses, partitions, restarts and lying servers.

use std::time;

use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;
use yuccatide_bench::network;
use yuccatide_standins::deployment;
use yuccatide_steering::{config, model};

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
enum Change {
    Drain(usize),
    DrainOff,
    Cap(u32, u64),
    Policy(usize),
    Lose(usize),
    Recover(usize),
    Cut(usize, bool),
    Restart(usize),
    Lie(usize, f64),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..6usize).prop_map(Change::Drain),
        Just(Change::DrainOff),
        (5..40u32, 1000..4000u64).prop_map(|(share, ms)| Change::Cap(share, ms)),
        (0..3usize).prop_map(Change::Policy),
        (0..6usize).prop_map(Change::Lose),
        (0..6usize).prop_map(Change::Recover),
        (0..3usize, any::<bool>()).prop_map(|(region, cut)| Change::Cut(region, cut)),
        (0..11usize).prop_map(Change::Restart),
        (0..42usize, 1.0..5.0f64).prop_map(|(server, factor)| Change::Lie(server, factor)),
    ]
}

fn start(name: &str, seed: u64) -> network::Fleet {
    let doc = deployment::document(name).unwrap();
    let mut workload = network::Workload::new(&doc, 0.2);
    workload.callers = 50;
    let scenario = network::Scenario::new(doc, workload, seed);
    let mut fleet = network::Fleet::new(scenario, network::Way::Steer);
    fleet.run(time::Duration::from_secs(6));
    fleet
}

fn apply(fleet: &mut network::Fleet, change: &Change) {
    let dcs = fleet.doc.data_centres().cloned().collect::<Vec<_>>();
    let regions = fleet.doc.regions.keys().cloned().collect::<Vec<_>>();
    match change {
        Change::Drain(i) => {
            let target = json!({"target": {"data_centre": dcs[*i]}});
            fleet.patch(json!({"drains": {"d": target}}));
        }
        Change::DrainOff => fleet.patch(json!({"drains": {"d": null}})),
        Change::Cap(share, ms) => {
            let cap = json!({"share": f64::from(*share) / 100.0, "interval_ms": ms});
            fleet.patch(json!({ "shift": cap }));
        }
        Change::Policy(i) => {
            let policy = fleet.doc.policies.keys().next().unwrap().clone();
            fleet.patch(json!({"policies": {policy: {"regions": [regions[*i]]}}}));
        }
        Change::Lose(i) => fleet.set_live(&dcs[*i], false),
        Change::Recover(i) => {
            if fleet.nodes.values().all(|n| n.data_centre != dcs[*i]) {
                fleet.set_live(&dcs[*i], true);
            }
        }
        Change::Cut(i, cut) => fleet.set_cut(&regions[*i], *cut),
        Change::Restart(i) => {
            let host = fleet.hosts()[*i].0.clone();
            if fleet.nodes.contains_key(&host) {
                fleet.kill_host(&host);
                fleet.start_host(&host);
            }
        }
        Change::Lie(i, factor) => {
            if let Some(server) = fleet.servers.values_mut().nth(*i) {
                server.slowness = *factor;
            }
        }
    }
}

/// Grants of an owner stay within its slots, whatever the history.
fn check_grants(fleet: &network::Fleet) -> Result<(), TestCaseError> {
    for node in fleet.nodes.values() {
        let given = node.steer.status(fleet.now).given;
        for service in fleet.doc.services.keys() {
            let live = given
                .iter()
                .filter(|g| !g.expires_in.is_zero() && &fleet.doc.work[&g.work].service == service);
            let granted = live.map(|g| g.slots).sum::<f64>();
            let owned = node.owned.iter().filter(|id| {
                let s = &fleet.servers[*id];
                s.service == *service
            });
            let slots = owned.map(|id| fleet.servers[id].usable).sum::<u32>();
            prop_assert!(
                granted <= f64::from(slots) + 1e-9,
                "{}: {granted}",
                node.host
            );
        }
    }
    Ok(())
}

fn check(fleet: &network::Fleet) -> Result<(), TestCaseError> {
    prop_assert!(
        fleet.tally.above.is_empty(),
        "above capacity: {:?}",
        fleet.tally.above
    );
    let link = &fleet.doc.link;
    let cap = link.bits_per_second as f64 / 8.0 * link.share;
    prop_assert!(fleet.tally.link_peak() as f64 <= cap);
    Ok(())
}

/// Traffic that any host moves within any interval stays within the cap in force.
fn moved(fleet: &network::Fleet, before: &Shares, cap: impl Fn(&str) -> config::ShiftCap) -> f64 {
    let now = shares(fleet);
    let ratio = |(key, old): (&(model::HostId, model::Incarnation, String, String), &_)| {
        now.get(key)
            .map_or(0.0, |new: &yuccatide_steering::shift::Shares| {
                let share = f64::from(new.differing_cells(old))
                    / f64::from(yuccatide_steering::shift::CELL_COUNT);
                share / cap(&key.2).share
            })
    };
    before.iter().map(ratio).fold(0.0, f64::max)
}

type Shares = std::collections::BTreeMap<
    (model::HostId, model::Incarnation, String, String),
    yuccatide_steering::shift::Shares,
>;

fn shares(fleet: &network::Fleet) -> Shares {
    let mut all = Shares::new();
    for node in fleet.nodes.values() {
        for flow in node.steer.shares(fleet.now) {
            let key = (node.host.clone(), node.incarnation, flow.work, flow.origin);
            all.insert(key, flow.shares);
        }
    }
    all
}

fn run_history(name: &str, seed: u64, changes: &[(Change, u64)]) -> Result<(), TestCaseError> {
    let mut fleet = start(name, seed);
    for (change, seconds) in changes {
        apply(&mut fleet, change);
        let caps = fleet.doc.clone();
        for _ in 0..*seconds {
            let before = shares(&fleet);
            // A second is shorter than each interval that a history sets.
            fleet.run(time::Duration::from_secs(1));
            let ratio = moved(&fleet, &before, |work| caps.shift_cap(work));
            prop_assert!(ratio <= 1.0 + 1e-9, "moved {ratio} of the cap in a second");
            check_grants(&fleet)?;
        }
    }
    check(&fleet)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_in_every_history(
        camara in any::<bool>(),
        seed in 0..1000u64,
        changes in proptest::collection::vec((change(), 1..6u64), 2..7),
    ) {
        let name = if camara { "camara" } else { "lampolie" };
        run_history(name, seed, &changes)?;
    }
}

#[rstest]
fn scheduled_drain_waits_for_its_begin_and_ends_in_time() {
    let mut fleet = start("lampolie", 1);
    let dc = fleet.doc.data_centres().next().unwrap().clone();
    let by = fleet.now + time::Duration::from_secs(160);
    let drain = json!({"target": {"data_centre": dc}, "empty_by_unix_s": by.as_secs()});
    fleet.patch(json!({"drains": {"d": drain}}));
    let status = fleet.nodes.values().next().unwrap().steer.status(fleet.now);
    let begin = status.drains["d"].begin;
    assert!(begin > fleet.now && !status.drains["d"].late);
    let away = |fleet: &network::Fleet| {
        let flows = fleet.probe.flows().filter(|(_, origin)| *origin == dc);
        flows
            .filter_map(|flow| fleet.probe.away(flow).last())
            .map(|(_, part)| *part)
            .fold(1.0, f64::min)
    };
    fleet.run(begin - fleet.now);
    assert_eq!(away(&fleet), 0.0);
    fleet.run(by - fleet.now);
    assert_eq!(away(&fleet), 1.0);
}

#[rstest]
fn partition_ends_loans_and_local_work_goes_on() {
    let mut fleet = start("camara", 2);
    let dc = fleet.doc.data_centres().next().unwrap().clone();
    fleet.patch(json!({"drains": {"d": {"target": {"data_centre": dc}}}}));
    fleet.run(time::Duration::from_secs(30));
    let region = fleet.doc.region_of(&dc).unwrap().clone();
    fleet.set_cut(&region, true);
    fleet.run(time::Duration::from_secs(4));
    for node in fleet.nodes.values() {
        let inside = fleet.doc.region_of(&node.data_centre) == Some(&region);
        let status = node.steer.status(fleet.now);
        let across = |other: &str| (fleet.doc.region_of(other) == Some(&region)) != inside;
        let slots = status.held.iter().filter(|h| across(&h.data_centre));
        assert_eq!(slots.map(|h| h.slots).sum::<f64>(), 0.0, "{}", node.host);
    }
    let from = fleet.now;
    fleet.run(time::Duration::from_secs(4));
    let to = fleet.now - time::Duration::from_secs(1);
    let others = fleet.tally.sum(from, to, |_, origin| origin != dc.as_str());
    assert!(
        f64::from(others.served) >= 0.99 * f64::from(others.sent),
        "{others:?}"
    );
}
