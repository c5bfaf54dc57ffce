//! Guaranteed shares under floods of random sizes and service times.

mod support;

use std::{collections, sync, time};

use proptest::prelude::*;
use proptest::test_runner;
use rand::{Rng, SeedableRng};
use yuccatide_steering::{model, pool};

const START: model::Time = time::Duration::from_secs(1_000_000);
const WARM_UP: time::Duration = time::Duration::from_secs(20);
const SPAN: time::Duration = time::Duration::from_secs(30);
const STEP: time::Duration = time::Duration::from_millis(10);

/// A pool with requests of all work waiting all the time.
struct Run {
    pool: pool::Pool,
    rng: rand_pcg::Pcg64Mcg,
    ends: collections::BTreeSet<(model::Time, model::RequestId, model::ServerId)>,
    work: collections::BTreeMap<model::RequestId, model::WorkId>,
    service: collections::BTreeMap<model::WorkId, time::Duration>,
    used: collections::BTreeMap<model::WorkId, time::Duration>,
    next: model::RequestId,
}

impl Run {
    fn new(servers: usize, service: &[(&str, u64)], seed: u64) -> Run {
        let doc = sync::Arc::new(support::document("lampolie"));
        let mut pool = pool::Pool::new(doc, "host-0", seed, START - WARM_UP);
        let owned = (1..=servers).map(|i| format!("stock-{i:02}"));
        pool.set_owned_servers(owned.collect(), START - WARM_UP);
        pool.tick(START);
        let service = service.iter();
        let service =
            service.map(|(work, ms)| (work.to_string(), time::Duration::from_millis(*ms)));
        Run {
            pool,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            ends: collections::BTreeSet::new(),
            work: collections::BTreeMap::new(),
            service: service.collect(),
            used: collections::BTreeMap::new(),
            next: 0,
        }
    }

    /// Keeps requests of all work waiting for the whole span.
    fn flood(&mut self, factor: usize) {
        let mut now = START;
        while now < START + SPAN {
            while self.ends.first().is_some_and(|(at, ..)| *at <= now) {
                let (at, id, server) = self.ends.pop_first().unwrap();
                self.finish(id, &server, at);
            }
            for work in self.service.keys().cloned().collect::<Vec<_>>() {
                (0..factor).for_each(|_| self.offer(&work, now));
            }
            let actions = self.pool.tick(now);
            self.act(actions, now);
            now += STEP;
        }
    }

    fn offer(&mut self, work: &str, now: model::Time) {
        self.next += 1;
        self.work.insert(self.next, work.to_string());
        let deadline = now + time::Duration::from_secs(30);
        let actions = self
            .pool
            .submit(support::request(self.next, work, deadline), now);
        self.act(actions, now);
    }

    fn finish(&mut self, id: model::RequestId, server: &str, now: model::Time) {
        let latency = self.service[&self.work[&id]];
        let finish = pool::AttemptOutcome::Answered { latency, ok: true };
        let actions = self.pool.finished(id, server, finish, now);
        self.act(actions, now);
    }

    fn act(&mut self, actions: Vec<pool::Action>, now: model::Time) {
        for action in actions {
            if let pool::Action::Start { id, server, .. } = action {
                let work = &self.work[&id];
                let takes = self.service[work].mul_f64(self.rng.random_range(0.5..1.5));
                *self.used.entry(work.clone()).or_default() += takes;
                self.ends.insert((now + takes, id, server));
            }
        }
    }

    /// Slots that a kind of work had on average.
    fn slots(&self, work: &str) -> f64 {
        let used = self.used.get(work).copied().unwrap_or_default();
        used.as_secs_f64() / SPAN.as_secs_f64()
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
        factor in 1..4usize,
        seed in any::<u64>(),
    ) {
        let service = [("stock-check", urgent_ms), ("reminder", late_ms)];
        let mut run = Run::new(servers, &service, seed);
        run.flood(factor);
        let usable = servers as f64 * 3.0 * 0.8;
        for (work, share) in [("stock-check", 0.6), ("reminder", 0.1)] {
            // A flood of one request in 10 ms may be less than the share of many short ones.
            let offered = factor as f64 * run.service[work].as_secs_f64() / STEP.as_secs_f64();
            let least = (usable * share).min(offered) * 0.99;
            let slots = run.slots(work);
            prop_assert!(slots >= least, "{work} had {slots} slots, below {least}");
        }
        let total = run.slots("stock-check") + run.slots("reminder");
        prop_assert!(total <= usable * 1.05, "{total} slots in use, target {usable}");
    }
}
