//! Versions and shares that hosts report, watched in the background.

use std::{
    collections, net, sync,
    time::{Duration, Instant},
};

use yuccatide_steering::{config, model};

use crate::fleet;

const PERIOD: Duration = Duration::from_millis(100);

type Shares = collections::BTreeMap<model::WorkId, collections::BTreeMap<String, f64>>;

/// What was seen so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Times that a version was lower than before.
    pub reverts: u64,
    /// Largest part of traffic moved within one interval, over its cap.
    pub cap_use: f64,
}

/// Asks each host for its status until it is dropped.
pub struct Watcher {
    seen: sync::Arc<sync::Mutex<Seen>>,
    _tasks: tokio::task::JoinSet<()>,
}

impl Watcher {
    /// Watches all hosts.
    pub fn new(fleet: &fleet::Fleet) -> Watcher {
        let seen = sync::Arc::<sync::Mutex<Seen>>::default();
        let mut tasks = tokio::task::JoinSet::new();
        for host in &fleet.hosts {
            tasks.spawn(watch(host.admin, fleet.doc.clone(), seen.clone()));
        }
        Watcher {
            seen,
            _tasks: tasks,
        }
    }

    /// What was seen so far.
    pub fn seen(&self) -> Seen {
        *self.seen.lock().expect("no thread panics with the lock")
    }
}

async fn watch(
    address: net::SocketAddr,
    doc: config::Document,
    seen: sync::Arc<sync::Mutex<Seen>>,
) {
    let mut version = 0;
    let mut before: Option<(Instant, Shares)> = None;
    let mut interval = tokio::time::interval(PERIOD);
    loop {
        interval.tick().await;
        let asked = Instant::now();
        let Ok(status) = fleet::status_at(address).await else {
            continue;
        };
        let used = before.map_or(0.0, |(since, before)| {
            cap_use(&doc, &before, &status.shares, since.elapsed())
        });
        let mut seen = seen.lock().expect("no thread panics with the lock");
        seen.reverts += u64::from(status.version < version);
        seen.cap_use = seen.cap_use.max(used);
        version = status.version;
        before = Some((asked, status.shares));
    }
}

/// Part of the cap that was used between two states, `elapsed` apart at most.
fn cap_use(doc: &config::Document, before: &Shares, after: &Shares, elapsed: Duration) -> f64 {
    let used = after.iter().filter_map(|(work, shares)| {
        let before = before.get(work)?;
        let moved = shares.iter().map(|(dc, share)| {
            let increase = share - before.get(dc).copied().unwrap_or(0.0);
            increase.max(0.0)
        });
        let cap = doc.shift_cap(work);
        // No window of one interval may see more than the cap.
        let intervals = 1.0 + (elapsed.as_secs_f64() / cap.interval.as_secs_f64()).floor();
        Some(moved.sum::<f64>() / (cap.share * intervals))
    });
    // Shares are sums of floating-point steps.
    let used = used.fold(0.0, f64::max);
    (used * 1e6).round() / 1e6
}
