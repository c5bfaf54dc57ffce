//! Guaranteed shares under overload with random rates and service times.

mod support;

use std::{collections, sync, time};

use proptest::prelude::*;
use proptest::test_runner;
use rand::{Rng, SeedableRng};
use yuccatide_steering::{model, pool};

const START: model::Time = time::Duration::from_secs(1_000_000);
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(20);
const RUN_DURATION: time::Duration = time::Duration::from_secs(30);
const STEP: time::Duration = time::Duration::from_millis(10);

/// Simulation of a pool under a constant stream of requests of all kinds of work.
struct Simulation {
    pool: pool::Pool,
    rng: rand_pcg::Pcg64Mcg,
    ends: collections::BTreeSet<(model::Time, model::RequestId, model::ServerId)>,
    work: collections::BTreeMap<model::RequestId, model::WorkId>,
    service_times: collections::BTreeMap<model::WorkId, time::Duration>,
    used_time: collections::BTreeMap<model::WorkId, time::Duration>,
    last_id: model::RequestId,
}

impl Simulation {
    fn new(servers: usize, service_times: &[(&str, u64)], seed: u64) -> Simulation {
        let doc = sync::Arc::new(support::document("lampolie"));
        let mut pool = pool::Pool::new(doc, "host-0", seed, START - WARM_UP_DURATION);
        let owned = (1..=servers).map(|i| format!("stock-{i:02}"));
        pool.set_owned_servers(owned.collect(), START - WARM_UP_DURATION);
        pool.tick(START);
        let service_times = service_times.iter();
        let service_times =
            service_times.map(|(work, ms)| (work.to_string(), time::Duration::from_millis(*ms)));
        Simulation {
            pool,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            ends: collections::BTreeSet::new(),
            work: collections::BTreeMap::new(),
            service_times: service_times.collect(),
            used_time: collections::BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Runs the simulation, submitting `requests_per_step` requests of each kind of work in every
    /// step.
    fn run(&mut self, requests_per_step: usize) {
        let mut now = START;
        while now < START + RUN_DURATION {
            while self.ends.first().is_some_and(|(at, ..)| *at <= now) {
                let (at, id, server) = self.ends.pop_first().unwrap();
                self.finish(id, &server, at);
            }
            for work in self.service_times.keys().cloned().collect::<Vec<_>>() {
                (0..requests_per_step).for_each(|_| self.submit(&work, now));
            }
            let actions = self.pool.tick(now);
            self.apply(actions, now);
            now += STEP;
        }
    }

    fn submit(&mut self, work: &str, now: model::Time) {
        self.last_id += 1;
        self.work.insert(self.last_id, work.to_string());
        let deadline = now + time::Duration::from_secs(30);
        let actions = self
            .pool
            .submit(support::request(self.last_id, work, deadline), now);
        self.apply(actions, now);
    }

    fn finish(&mut self, id: model::RequestId, server: &str, now: model::Time) {
        let latency = self.service_times[&self.work[&id]];
        let outcome = pool::AttemptOutcome::Answered { latency, ok: true };
        let actions = self.pool.finished(id, server, outcome, now);
        self.apply(actions, now);
    }

    fn apply(&mut self, actions: Vec<pool::Action>, now: model::Time) {
        for action in actions {
            if let pool::Action::Start { id, server, .. } = action {
                let work = &self.work[&id];
                let service_time =
                    self.service_times[work].mul_f64(self.rng.random_range(0.5..1.5));
                *self.used_time.entry(work.clone()).or_default() += service_time;
                self.ends.insert((now + service_time, id, server));
            }
        }
    }

    /// Average number of slots that a kind of work used.
    fn slots(&self, work: &str) -> f64 {
        let used = self.used_time.get(work).copied().unwrap_or_default();
        used.as_secs_f64() / RUN_DURATION.as_secs_f64()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        rng_seed: test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_kind_of_work_gets_its_guaranteed_share(
        servers in 1..5usize,
        urgent_ms in 20..400u64,
        late_ms in 20..400u64,
        requests_per_step in 1..4usize,
        seed in any::<u64>(),
    ) {
        let service_times = [("stock-check", urgent_ms), ("reminder", late_ms)];
        let mut simulation = Simulation::new(servers, &service_times, seed);
        simulation.run(requests_per_step);
        let usable = servers as f64 * 3.0 * 0.8;
        for (work, share) in [("stock-check", 0.6), ("reminder", 0.1)] {
            // With short service times, the offered load may be below the guaranteed share.
            let offered = requests_per_step as f64
                * simulation.service_times[work].as_secs_f64()
                / STEP.as_secs_f64();
            let min_slots = (usable * share).min(offered) * 0.99;
            let slots = simulation.slots(work);
            prop_assert!(slots >= min_slots, "{work} used {slots} slots, below {min_slots}");
        }
        let total = simulation.slots("stock-check") + simulation.slots("reminder");
        prop_assert!(total <= usable * 1.05, "{total} slots in use, target {usable}");
    }
}
