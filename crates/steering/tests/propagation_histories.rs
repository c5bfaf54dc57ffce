//! Random histories of outages, lost responses, racing patches, partitions, pauses and restarts.

use std::{collections, time::Duration};

use proptest::{prelude::*, test_runner};
use serde_json::json;
use yuccatide_standins::{deployment, fleet};
use yuccatide_steering::{config, propagation};

const LAYOUT: &[(usize, usize)] = &[(0, 3), (0, 2), (1, 3)];
const HOSTS: usize = 8;
const SEED: u64 = 0x79_75_63_63_61;

#[derive(Clone, Debug)]
enum Step {
    /// Submits two patches with the same base version at two hosts, with a pause between them.
    Race {
        a: usize,
        b: usize,
        apart_ms: u64,
    },
    Run {
        ms: u64,
    },
    /// Sets how the platform replies to one data centre, or to all with `None`.
    Platform {
        data_centre: Option<usize>,
        reply: fleet::Reply,
    },
    /// Separates a data centre from the others, or ends the separation with `None`.
    Separate {
        data_centre: Option<usize>,
    },
    Pause {
        host: usize,
        ms: u64,
    },
    Restart {
        host: usize,
    },
}

fn reply() -> impl Strategy<Value = fleet::Reply> {
    prop_oneof![
        Just(fleet::Reply::Answers),
        Just(fleet::Reply::Refuses),
        Just(fleet::Reply::LosesCall),
        Just(fleet::Reply::LosesAnswer),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let data_centre = proptest::option::of(0..LAYOUT.len());
    prop_oneof![
        4 => (host.clone(), host.clone(), 0..60_u64)
            .prop_map(|(a, b, apart_ms)| Step::Race { a, b, apart_ms }),
        4 => (1..4_000_u64).prop_map(|ms| Step::Run { ms }),
        2 => (data_centre.clone(), reply())
            .prop_map(|(data_centre, reply)| Step::Platform { data_centre, reply }),
        1 => data_centre.prop_map(|data_centre| Step::Separate { data_centre }),
        1 => (host.clone(), 200..5_000_u64).prop_map(|(host, ms)| Step::Pause { host, ms }),
        1 => host.prop_map(|host| Step::Restart { host }),
    ]
}

/// A fleet with the results of its submissions, kept over restarts of hosts.
struct History {
    fleet: fleet::Fleet,
    patches: u32,
    /// Id of the patch by host, start of its process, and submission.
    submitted: collections::BTreeMap<(usize, u64, propagation::SubmissionId), String>,
    results: collections::BTreeMap<String, propagation::SubmitResult>,
}

impl History {
    fn new(seed: u64) -> History {
        let document = deployment::document("camara").unwrap();
        let mut fleet = fleet::Fleet::new(LAYOUT, document, seed);
        fleet.loss = 0.02;
        fleet.duplicates = 0.1;
        fleet.jitter = Duration::from_millis(40);
        fleet.start_all(Duration::from_secs(1));
        fleet.run(Duration::from_secs(6));
        History {
            fleet,
            patches: 0,
            submitted: collections::BTreeMap::new(),
            results: collections::BTreeMap::new(),
        }
    }

    fn submit(&mut self, host: usize, base: u64) {
        self.patches += 1;
        let id = format!("p-{}", self.patches);
        let patch = config::Patch {
            id: id.clone(),
            base,
            merge: json!({"drains": {id.clone(): {"target": {"host": "host-0-0"}}}}),
        };
        let start = self.fleet.hosts[host].start;
        let submission = self.fleet.submit(host, patch);
        self.submitted.insert((host, start, submission), id);
    }

    fn collect_results(&mut self) {
        for (i, host) in self.fleet.hosts.iter().enumerate() {
            for (submission, result) in &host.results {
                let id = &self.submitted[&(i, host.start, *submission)];
                self.results.insert(id.clone(), result.clone());
            }
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Race { a, b, apart_ms } => {
                let base = self.fleet.hosts[a].follower.version();
                self.submit(a, base);
                self.fleet.run(Duration::from_millis(apart_ms));
                self.submit(b, base);
            }
            Step::Run { ms } => self.fleet.run(Duration::from_millis(ms)),
            Step::Platform { data_centre, reply } => {
                self.fleet.treats = Box::new(move |place| {
                    match data_centre.is_none_or(|dc| dc == place.data_centre) {
                        true => reply,
                        false => fleet::Reply::Answers,
                    }
                });
            }
            Step::Separate { data_centre } => {
                self.fleet.passes = Box::new(move |a, b| {
                    data_centre.is_none_or(|dc| (a.data_centre == dc) == (b.data_centre == dc))
                });
            }
            Step::Pause { host, ms } => self.fleet.pause(host, Duration::from_millis(ms)),
            Step::Restart { host } => {
                self.collect_results();
                self.fleet.kill(host);
                self.fleet.start(host);
            }
        }
        self.collect_results();
        let rising = |h: &fleet::Host| h.history.windows(2).all(|w| w[0] < w[1]);
        assert!(
            self.fleet.hosts.iter().all(rising),
            "the version of a host fell"
        );
    }

    fn heal(&mut self) {
        self.fleet.treats = Box::new(|_| fleet::Reply::Answers);
        self.fleet.passes = Box::new(|_, _| true);
        self.fleet.loss = 0.0;
        self.fleet.run(Duration::from_secs(60));
        self.collect_results();
    }

    fn check(&self) {
        let stored = self.fleet.store.stored().unwrap();
        for host in &self.fleet.hosts {
            assert!(host.follower.is_ready(), "{} is not ready", host.name);
            let own = host.follower.stored().unwrap();
            assert_eq!(own.document, stored.document, "{} differs", host.name);
        }
        let mut versions = collections::BTreeSet::new();
        for (id, result) in &self.results {
            match result {
                propagation::SubmitResult::Accepted(version) => {
                    assert!(versions.insert(*version), "{version} was accepted twice");
                    assert!(stored.document.drains.contains_key(id), "{id} is lost");
                }
                propagation::SubmitResult::Unknown => {}
                _ => assert!(
                    !stored.document.drains.contains_key(id),
                    "{id} is in force, but was not accepted"
                ),
            }
        }
        assert_eq!(
            stored.document.drains.len() as u64,
            stored.document.version - 1
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_persist_and_hosts_converge(
        seed in 0..1_000_u64,
        steps in proptest::collection::vec(step(), 4..24),
    ) {
        let mut history = History::new(seed);
        for step in steps {
            history.apply_step(step);
        }
        history.heal();
        history.check();
    }

    #[test]
    fn older_copies_in_the_platform_are_never_adopted(
        seed in 0..1_000_u64,
        rounds in proptest::collection::vec((0..HOSTS, 0..HOSTS, 0..4_usize, any::<bool>()), 2..8),
    ) {
        let mut history = History::new(seed);
        let mut copies = vec![history.fleet.store.copy()];
        for (a, b, copy, restores) in rounds {
            history.apply_step(Step::Race { a, b, apart_ms: 10 });
            history.apply_step(Step::Run { ms: 3_000 });
            if restores {
                history.fleet.store.restore(copies[copy % copies.len()].clone());
            }
            copies.push(history.fleet.store.copy());
            history.apply_step(Step::Restart { host: b });
            history.apply_step(Step::Run { ms: 2_000 });
        }
        history.heal();
        history.fleet.run(Duration::from_secs(60));
        history.check();
    }
}
