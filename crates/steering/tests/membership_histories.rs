//! Random histories of kills, restarts, pauses, partitions and message loss.

use std::time::Duration;

use proptest::{prelude::*, test_runner};
use rstest::rstest;
use yuccatide_standins::{deployment, fleet};
use yuccatide_steering::membership;

const LAYOUT: &[(usize, usize)] = &[(0, 5), (0, 2), (1, 4)];
const HOSTS: usize = 11;
const SEED: u64 = 0x74_69_64_65;

#[derive(Clone, Debug)]
enum Step {
    Run { ms: u64 },
    Kill { host: usize },
    Start { host: usize },
    Pause { host: usize, ms: u64 },
    Split { below: usize },
    Mute { host: usize },
    Heal,
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (1..6_000_u64).prop_map(|ms| Step::Run { ms }),
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        1 => host.clone().prop_map(|host| Step::Start { host }),
        1 => (host.clone(), 100..8_000_u64).prop_map(|(host, ms)| Step::Pause { host, ms }),
        1 => host.clone().prop_map(|below| Step::Split { below }),
        1 => host.prop_map(|host| Step::Mute { host }),
        1 => Just(Step::Heal),
    ]
}

fn apply_step(fleet: &mut fleet::Fleet, step: Step) {
    match step {
        Step::Run { ms } => fleet.run(Duration::from_millis(ms)),
        Step::Kill { host } => fleet.kill(host),
        Step::Start { host } => {
            fleet.kill(host);
            fleet.start(host);
        }
        Step::Pause { host, ms } => fleet.pause(host, Duration::from_millis(ms)),
        Step::Split { below } => {
            fleet.passes = Box::new(move |a, b| (a.host < below) == (b.host < below));
        }
        Step::Mute { host } => fleet.passes = Box::new(move |a, _| a.host != host),
        Step::Heal => fleet.passes = Box::new(|_, _| true),
    }
}

/// Incarnations that a host knows, by host; they must not fall.
fn incarnations(host: &fleet::Host) -> Vec<(String, u64)> {
    let members = host.membership.members();
    members.map(|m| (m.host, m.incarnation)).collect()
}

/// Runs a history and heals the network; then every live host has to know which hosts are live.
fn check_history(seed: u64, steps: Vec<Step>) {
    let document = deployment::document("camara").unwrap();
    let mut fleet = fleet::Fleet::new(LAYOUT, document, seed);
    fleet.loss = 0.02;
    fleet.duplicates = 0.05;
    fleet.jitter = Duration::from_millis(20);
    fleet.start_all(Duration::from_secs(2));
    fleet.run(Duration::from_secs(6));
    for step in steps {
        let before = fleet
            .hosts
            .iter()
            .map(|h| (h.start, incarnations(h)))
            .collect::<Vec<_>>();
        apply_step(&mut fleet, step);
        for (host, (start, before)) in fleet.hosts.iter().zip(before) {
            let after = incarnations(host);
            let is_lower =
                |(name, old): &(String, u64)| after.iter().any(|(n, new)| n == name && new < old);
            assert!(host.start != start || !before.iter().any(is_lower));
        }
    }
    fleet.passes = Box::new(|_, _| true);
    fleet.loss = 0.0;
    fleet.run(Duration::from_secs(60));
    for host in fleet.hosts.iter().filter(|h| h.up) {
        for other in &fleet.hosts {
            let state = host.sees(&other.name);
            let dead = state.is_none_or(|s| s == membership::State::Dead);
            let is_data_centre_down = !fleet
                .hosts
                .iter()
                .any(|h| h.up && h.place.data_centre == other.place.data_centre);
            // A data centre without live hosts cannot be told from one that is cut off.
            assert!(
                is_data_centre_down || dead != other.up,
                "{} sees {} as {state:?}",
                host.name,
                other.name
            );
            let dc = fleet::data_centre_name(other.place.data_centre);
            assert_eq!(is_data_centre_down, host.membership.is_silent(&dc));
        }
    }
}

#[rstest]
#[case::false_death_seen_in_another_data_centre(619, vec![
    Step::Run { ms: 4_137 },
    Step::Pause { host: 0, ms: 100 },
    Step::Start { host: 0 },
    Step::Split { below: 0 },
])]
#[case::relays_disagree_on_silence(333, vec![
    Step::Kill { host: 10 },
    Step::Run { ms: 3_682 },
    Step::Split { below: 6 },
    Step::Run { ms: 13_410 },
    Step::Mute { host: 4 },
    Step::Run { ms: 13_948 },
])]
fn recorded_histories_end_in_agreement(#[case] seed: u64, #[case] steps: Vec<Step>) {
    check_history(seed, steps);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_hosts_agree_after_the_network_heals(
        seed in 0..1_000_u64,
        steps in proptest::collection::vec(step(), 4..24),
    ) {
        check_history(seed, steps);
    }
}
