//! Requests below their customers' quotas that are refused, with skewed demand.

use std::time;

use rand::{Rng, SeedableRng, seq::SliceRandom};
use yuccatide_standins::quota as world;
use yuccatide_steering::quota;

use crate::figure;

/// The measure.
pub const MEASURE: super::Measure = super::Measure {
    name: "quota",
    about: "requests below the quota refused under skewed demand, against equal shares",
    run,
};

/// Largest share of requests below their quotas that callers accept to see refused.
const MAX_REFUSED: f64 = 0.02;

/// Clients of all customers together; each keeps its connection to one host.
const CLIENTS: usize = 990;

/// Requests per second of all customers together.
const REQUESTS_PER_SECOND: f64 = 2000.0;

/// Quota relative to the mean demand of a customer.
const QUOTA_RATIO: f64 = 1.6;

/// Exponent of the sizes of customers.
const SKEW: f64 = 1.2;

/// Time between the start of all hosts and the first request, in which buckets fill.
const LEAD: time::Duration = time::Duration::from_secs(30);

/// The same, where all hosts have just been restarted.
const RESTART_LEAD: time::Duration = time::Duration::from_secs(2);

/// Time of the demand.
const DURATION: time::Duration = time::Duration::from_secs(10);

/// A name, data centres, hosts of each, and customers.
const FLEETS: [(&str, usize, usize, usize); 2] = [("today", 6, 12, 78), ("design", 6, 50, 400)];

/// A customer: its quota, and the hosts that its clients use.
struct Customer {
    quota: quota::Quota,
    per_second: f64,
    hosts: Vec<usize>,
}

fn run(seed: u64) -> Vec<figure::Figure> {
    FLEETS
        .into_iter()
        .flat_map(|(name, data_centres, hosts, count)| {
            let layout = world::Layout {
                data_centres,
                hosts,
                bounds: quota::Bounds {
                    window: time::Duration::from_secs(5),
                    over: 0.1,
                    slack: 20.0,
                },
            };
            let customers = customers(data_centres * hosts, count, seed);
            let mut figures = measure(name, layout, &customers, seed);
            let restarted = serve(layout, &customers, RESTART_LEAD, seed);
            let label = format!("{name}.restart-refused");
            let refused = refused_share(&restarted.world.counts);
            figures.push(figure::Figure::new(
                "quota",
                label,
                refused,
                "share of requests",
            ));
            figures
        })
        .collect()
}

/// Customers of Zipf-distributed sizes, whose clients are at random hosts.
fn customers(hosts: usize, count: usize, seed: u64) -> Vec<Customer> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let sizes: Vec<f64> = (1..=count).map(|i| (i as f64).powf(-SKEW)).collect();
    let sum: f64 = sizes.iter().sum();
    let mut order: Vec<usize> = (0..hosts).collect();
    sizes
        .iter()
        .map(|size| {
            let per_second = REQUESTS_PER_SECOND * size / sum;
            let clients = (CLIENTS as f64 * size / sum).ceil() as usize;
            order.shuffle(&mut rng);
            Customer {
                quota: quota::Quota {
                    rate: QUOTA_RATIO * per_second,
                    burst: QUOTA_RATIO * per_second,
                },
                per_second,
                hosts: (0..clients).map(|_| rng.random_range(0..hosts)).collect(),
            }
        })
        .collect()
}

/// What became of the demand.
struct Served {
    world: world::World,
    equal: EqualShares,
    /// Largest excess over a bound in a window, in requests.
    excess: f64,
}

fn serve(layout: world::Layout, customers: &[Customer], lead: time::Duration, seed: u64) -> Served {
    let quotas = customers.iter().map(|customer| customer.quota).collect();
    let hosts = layout.data_centres * layout.hosts;
    let mut served = Served {
        world: world::World::new(layout, quotas, seed),
        equal: EqualShares::new(hosts, customers, lead),
        excess: f64::MIN,
    };
    served.world.run(lead);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..DURATION.as_millis() {
        served.world.run(time::Duration::from_millis(1));
        for (i, customer) in customers.iter().enumerate() {
            let expected = customer.per_second / 1000.0;
            let count = expected.floor() as usize + usize::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                let host = customer.hosts[rng.random_range(0..customer.hosts.len())];
                served.world.request(host, i);
                served.equal.request(host, i, served.world.now());
                served.excess = served.excess.max(served.world.excess(i));
            }
        }
    }
    served
}

fn measure(
    name: &str,
    layout: world::Layout,
    customers: &[Customer],
    seed: u64,
) -> Vec<figure::Figure> {
    let Served {
        world,
        equal,
        excess,
    } = serve(layout, customers, LEAD, seed);
    let seconds = DURATION.as_secs_f64() * (layout.data_centres * layout.hosts) as f64;
    let small = customers.len() / 2;
    let figure = |label: &str, value: f64, unit| {
        figure::Figure::new("quota", format!("{name}.{label}"), value, unit)
    };
    let share = "share of requests";
    let messages = world.messages as f64 / seconds;
    let bytes = world.bytes as f64 / seconds;
    vec![
        figure("refused", refused_share(&world.counts), share)
            .with_baseline(equal.refused_share(0))
            .with_bound(figure::Bound::AtMost(MAX_REFUSED)),
        figure(
            "small-refused",
            refused_share(&world.counts[small..]),
            share,
        )
        .with_baseline(equal.refused_share(small))
        .with_bound(figure::Bound::AtMost(MAX_REFUSED)),
        figure("excess", excess, "requests over the bound").with_bound(figure::Bound::AtMost(0.0)),
        figure("messages", messages, "messages per second and host"),
        figure("bytes", bytes, "bytes per second and host"),
    ]
}

fn refused_share(counts: &[world::Counts]) -> f64 {
    let refused: u32 = counts.iter().map(|c| c.over + c.unanswered).sum();
    let admitted: u32 = counts.iter().map(|c| c.admitted).sum();
    f64::from(refused) / f64::from((refused + admitted).max(1))
}

/// The same demand with a token bucket on each host that holds an equal part, with one token at
/// least.
struct EqualShares {
    /// Tokens, the time to which they were counted, rate and depth, by customer and host.
    buckets: Vec<Vec<(f64, time::Duration)>>,
    sizes: Vec<(f64, f64)>,
    refused: Vec<u32>,
    all: Vec<u32>,
}

impl EqualShares {
    fn new(hosts: usize, customers: &[Customer], lead: time::Duration) -> EqualShares {
        let size = |customer: &Customer| {
            let hosts = hosts as f64;
            (
                customer.quota.rate / hosts,
                (customer.quota.burst / hosts).max(1.0),
            )
        };
        let sizes: Vec<(f64, f64)> = customers.iter().map(size).collect();
        let full = |(_, depth): &(f64, f64)| vec![(*depth, lead); hosts];
        EqualShares {
            buckets: sizes.iter().map(full).collect(),
            refused: vec![0; sizes.len()],
            all: vec![0; sizes.len()],
            sizes,
        }
    }

    fn request(&mut self, host: usize, customer: usize, now: time::Duration) {
        let (rate, depth) = self.sizes[customer];
        let (tokens, updated) = &mut self.buckets[customer][host];
        *tokens = (*tokens + rate * (now - *updated).as_secs_f64()).min(depth);
        *updated = now;
        self.all[customer] += 1;
        match *tokens >= 1.0 {
            true => *tokens -= 1.0,
            false => self.refused[customer] += 1,
        }
    }

    /// Share of the requests of the customers from the one with this number on that is refused.
    fn refused_share(&self, first: usize) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts[first..].iter().sum::<u32>());
        sum(&self.refused) / sum(&self.all).max(1.0)
    }
}
