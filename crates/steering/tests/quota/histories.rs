//! Random histories: no window has more requests than the bound, whatever fails.

use std::time;

use proptest::{prelude::*, test_runner};
use yuccatide_standins::quota as world;
use yuccatide_steering::quota;

const DATA_CENTRES: usize = 3;
const HOSTS: usize = 12;
const SEED: u64 = 0x71_75_6f_74;

#[derive(Clone, Debug)]
enum Step {
    Run {
        ms: u64,
    },
    Kill {
        host: usize,
    },
    Start {
        host: usize,
    },
    KillAll,
    StartAll,
    Split {
        seed: u64,
        groups: usize,
    },
    CutDataCentre {
        data_centre: usize,
    },
    Heal,
    Change {
        factor: f64,
    },
    Adopt {
        host: usize,
    },
    AdoptAll,
    Loss {
        share: f64,
    },
    Demand {
        per_second: u64,
        first: usize,
        hosts: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        8 => (100..4_000_u64).prop_map(|ms| Step::Run { ms }),
        2 => host.clone().prop_map(|host| Step::Kill { host }),
        3 => host.clone().prop_map(|host| Step::Start { host }),
        1 => Just(Step::KillAll),
        1 => Just(Step::StartAll),
        2 => (any::<u64>(), 2..5_usize).prop_map(|(seed, groups)| Step::Split { seed, groups }),
        1 => (0..DATA_CENTRES).prop_map(|data_centre| Step::CutDataCentre { data_centre }),
        2 => Just(Step::Heal),
        1 => (0.05..4.0).prop_map(|factor| Step::Change { factor }),
        2 => host.clone().prop_map(|host| Step::Adopt { host }),
        1 => Just(Step::AdoptAll),
        1 => (0.0..0.5).prop_map(|share| Step::Loss { share }),
        3 => (0..3_000_u64, host, 1..HOSTS).prop_map(|(per_second, first, hosts)| {
            Step::Demand { per_second, first, hosts }
        }),
    ]
}

/// Requests per second of each customer, and the hosts that get them.
struct Demand {
    per_second: u64,
    first: usize,
    hosts: usize,
}

/// Lets time pass under the demand; checks the bound after each request that could exceed it.
fn run(world: &mut world::World, demand: &Demand, ms: u64) {
    let mut sent = 0;
    for elapsed in 1..=ms {
        world.run(time::Duration::from_millis(1));
        let due = demand.per_second * elapsed / 1000;
        for i in sent..due {
            let host = (demand.first + i as usize % demand.hosts) % HOSTS;
            let customers = world.counts.len();
            (0..customers).for_each(|customer| world.request(host, customer));
        }
        sent = due;
        for customer in 0..world.counts.len() {
            let excess = world.excess(customer);
            assert!(excess <= 0.0, "customer {customer}: {excess} too many");
        }
    }
}

fn check_history(seed: u64, quotas: Vec<quota::Quota>, bounds: quota::Bounds, steps: Vec<Step>) {
    let layout = world::Layout {
        data_centres: DATA_CENTRES,
        hosts: HOSTS / DATA_CENTRES,
        bounds,
    };
    let mut world = world::World::new(layout, quotas.clone(), seed);
    world.loss = 0.02;
    world.duplicates = 0.1;
    world.jitter = time::Duration::from_millis(30);
    world.unserved = 0.2;
    let mut demand = Demand {
        per_second: 400,
        first: 0,
        hosts: HOSTS,
    };
    run(&mut world, &demand, 1_000);
    for step in steps {
        match step {
            Step::Run { ms } => run(&mut world, &demand, ms),
            Step::Kill { host } => world.kill(host),
            Step::Start { host } => {
                world.kill(host);
                world.start(host);
            }
            Step::KillAll => (0..HOSTS).for_each(|host| world.kill(host)),
            Step::StartAll => (0..HOSTS).for_each(|host| world.start(host)),
            Step::Split { seed, groups } => {
                world.split(|host| (seed >> (host * 4)) as usize % groups);
            }
            Step::CutDataCentre { data_centre } => {
                world.split(|host| usize::from(host % DATA_CENTRES == data_centre));
            }
            Step::Heal => world.split(|_| 0),
            Step::Change { factor } => {
                let scale = |quota: &quota::Quota| quota::Quota {
                    rate: quota.rate * factor,
                    burst: quota.burst * factor,
                };
                world.add_version(quotas.iter().map(scale).collect());
            }
            Step::Adopt { host } => world.adopt(host),
            Step::AdoptAll => (0..HOSTS).for_each(|host| world.adopt(host)),
            Step::Loss { share } => world.loss = share,
            Step::Demand {
                per_second,
                first,
                hosts,
            } => {
                demand = Demand {
                    per_second,
                    first,
                    hosts,
                };
            }
        }
    }
    run(&mut world, &demand, 2_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Cuts of any kind, kills, restarts of one or all, clocks that differ, messages that are lost,
    /// late or doubled, and quotas that change at some hosts before others.
    #[test]
    fn no_window_exceeds_the_bound(
        seed in 0..1_000_u64,
        rate in 0.5..400.0_f64,
        burst in 0.0..400.0_f64,
        over in prop_oneof![Just(0.1), Just(0.0), 0.0..0.5],
        slack in prop_oneof![Just(20.0), 0.0..40.0],
        steps in proptest::collection::vec(step(), 4..24),
    ) {
        let bounds = quota::Bounds { window: time::Duration::from_secs(5), over, slack };
        let quotas = vec![
            quota::Quota { rate, burst },
            quota::Quota { rate: 5.0, burst: 5.0 },
        ];
        check_history(seed, quotas, bounds, steps);
    }
}
