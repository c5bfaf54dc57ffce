//! Speed of one decision: a request is offered, started and answered.
//!
//! The ratio to the random choice is what counts: both are timed in one run.

use std::{collections, hint, sync, time};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng};
use yuccatide_standins::deployment;
use yuccatide_steering::{config, model, pool, routing};

const WARM_UP: model::Time = time::Duration::from_secs(60);

/// Sites of the size to design for.
const SITES: usize = 83;

/// Backend servers for each host.
const SERVERS_PER_HOST: usize = 8;

/// A pool of one of the hosts of a data centre.
struct Bench {
    pool: pool::Pool,
    work: model::WorkId,
    id: model::RequestId,
    now: model::Time,
}

impl Bench {
    fn new(doc: config::Document, work: &str) -> Bench {
        let data_centre = doc.data_centres().next().expect("there is one").clone();
        let here = |s: &&config::Server| s.data_centre == data_centre;
        let servers = doc.servers.values().filter(here).count();
        let hosts = (0..servers.div_ceil(SERVERS_PER_HOST)).map(|i| format!("host-{i}"));
        let owners = routing::ownership(&doc, &data_centre, &hosts.collect());
        let owned = owners.into_iter().filter(|(_, host)| host == "host-0");
        let owned = owned
            .map(|(id, _)| id)
            .collect::<collections::BTreeSet<_>>();
        let doc = sync::Arc::new(doc);
        let mut pool = pool::Pool::new(doc, "host-0", 1, model::Time::ZERO);
        pool.set_owned_servers(owned, model::Time::ZERO);
        pool.tick(WARM_UP);
        Bench {
            pool,
            work: work.to_string(),
            id: 0,
            now: WARM_UP,
        }
    }

    fn decide(&mut self) {
        self.id += 1;
        self.now += time::Duration::from_millis(1);
        let meta = model::RequestMeta {
            id: self.id,
            work: self.work.clone(),
            origin: String::new(),
            affinity: 0,
            deadline: self.now + time::Duration::from_secs(1),
            body_bytes: 0,
            key: None,
        };
        for action in self.pool.submit(meta, self.now) {
            if let pool::Action::Start { id, server, .. } = action {
                let latency = time::Duration::from_millis(10);
                let finish = pool::AttemptOutcome::Answered { latency, ok: true };
                hint::black_box(self.pool.finished(id, &server, finish, self.now));
            }
        }
    }
}

/// The deployment with as many sites as the size to design for, and its backend servers in
/// proportion.
fn enlarged(doc: &config::Document) -> config::Document {
    let mut doc = doc.clone();
    let factor = SITES / doc.sites.len();
    let servers = doc.servers.clone();
    for copy in 1..factor {
        let copies = servers
            .iter()
            .map(|(id, s)| (format!("{id}-{copy}"), s.clone()));
        doc.servers.extend(copies);
    }
    doc
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for (name, work) in [("camara", "history"), ("lampolie", "stock-check")] {
        let doc = deployment::document(name).expect("the deployment exists");
        for (size, doc) in [("today", doc.clone()), ("83-sites", enlarged(&doc))] {
            let id = format!("{name}-{size}");
            let mut bench = Bench::new(doc.clone(), work);
            group.bench_function(BenchmarkId::new("pool", &id), |b| b.iter(|| bench.decide()));
            let servers = doc.servers.keys().cloned().collect::<Vec<_>>();
            let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
            group.bench_function(BenchmarkId::new("random", &id), |b| {
                b.iter(|| servers[rng.random_range(0..servers.len())].clone())
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
