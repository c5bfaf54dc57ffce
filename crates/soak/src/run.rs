//! One run: traffic, events, recovery, end, verdict.

use std::{path, sync, time::Duration};

use nix::sys::signal::Signal;
use tokio_util::sync as tokio_sync;

use crate::{book, judge, keys, plan, traffic, world};

/// Time without faults after the last one, before callers stop.
const TAIL: Duration = Duration::from_secs(8);

/// Time between questions for versions.
const PROBE_EVERY: Duration = Duration::from_millis(300);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed, from which the events follow.
    pub seed: u64,
    /// Length of the time with events.
    pub length: Duration,
    /// Entry hosts.
    pub hosts: usize,
    /// Number of the first one among the hosts of all runs of the process.
    pub first_host: usize,
    /// Places of backend servers.
    pub servers: usize,
    /// Callers.
    pub callers: usize,
    /// The daemon.
    pub program: path::PathBuf,
    /// Folder for settings and logs.
    pub dir: path::PathBuf,
    /// Whether promises with a time bound are judged, which needs a machine that is not overloaded.
    pub is_timed: bool,
}

impl Options {
    /// Numbers of what there is.
    pub fn size(&self) -> plan::Size {
        plan::Size {
            hosts: self.hosts,
            servers: self.servers,
            data_centres: world::World::data_centres(),
        }
    }
}

/// Plays a run and judges it.
pub async fn run(options: &Options) -> anyhow::Result<judge::Verdict> {
    let size = options.size();
    let events = plan::plan(options.seed, size, options.length);
    let mut world = world::World::start(options).await?;
    let book = world.book.clone();
    let stop = tokio_sync::CancellationToken::new();
    let callers = start_callers(options, &world, &stop);
    let probes = start_probes(&world, &stop);
    let begun = play(&mut world, &events).await?;
    world.until_ready().await?;
    book.with(|seen| seen.healed = book.now());
    tokio::time::sleep(TAIL).await;
    stop.cancel();
    for caller in callers {
        caller.await?;
    }
    probes.abort();
    end_hosts(&mut world).await?;
    let mut verdict = book.with(|seen| judge::judge(seen, options.is_timed));
    for fault in begun {
        *verdict.faults.entry(fault.name()).or_default() += 1;
    }
    Ok(verdict)
}

fn start_callers(
    options: &Options,
    world: &world::World,
    stop: &tokio_sync::CancellationToken,
) -> Vec<tokio::task::JoinHandle<()>> {
    let reach = sync::Arc::new(world.reach());
    (0..options.callers)
        .map(|number| {
            let caller = traffic::Caller {
                number: number as u64,
                place: world::World::place_of(number),
                reach: reach.clone(),
                book: world.book.clone(),
                seed: options.seed,
            };
            tokio::spawn(caller.run(stop.clone()))
        })
        .collect()
}

/// Asks each host again and again whether it has the newest version in force.
fn start_probes(
    world: &world::World,
    stop: &tokio_sync::CancellationToken,
) -> tokio::task::JoinHandle<()> {
    let book = world.book.clone();
    let hosts: Vec<_> = world.hosts.iter().map(|host| host.requests()).collect();
    let stop = stop.clone();
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        for (host, address) in hosts.into_iter().enumerate() {
            let (book, stop) = (book.clone(), stop.clone());
            tasks.spawn(async move {
                while !stop.is_cancelled() {
                    ask(host, address, &book).await;
                    tokio::time::sleep(PROBE_EVERY).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    })
}

async fn ask(host: usize, address: std::net::SocketAddr, book: &book::Book) {
    let newest = book.with(|seen| seen.versions.last().copied());
    let Some((version, _)) = newest else {
        return;
    };
    let lifetime = book.with(|seen| seen.starts_of(host));
    let at = book.now();
    let is_in_force = traffic::probe(address, version).await;
    let probe = book::Probe {
        host,
        lifetime,
        version,
        at,
        is_in_force,
    };
    // An answer of another process than the one that was asked tells nothing.
    book.with(|seen| {
        if seen.starts_of(host) == lifetime {
            seen.probes.push(probe);
        }
    });
}

/// Begins and ends the events at their times; returns those that began.
async fn play(
    world: &mut world::World,
    events: &[plan::Event],
) -> anyhow::Result<Vec<plan::Fault>> {
    let start = world.book.now();
    let mut active: Vec<(Duration, world::Active)> = Vec::new();
    let mut begun = Vec::new();
    let mut next = events.iter().peekable();
    while next.peek().is_some() || !active.is_empty() {
        let now = world.book.now() - start;
        while let Some(due) = active.iter().position(|(end, _)| *end <= now) {
            let (_, over) = active.swap_remove(due);
            world.end(&over).await?;
        }
        if let Some(event) = next.next_if(|event| event.at <= now)
            && let Some(started) = world.begin(*event).await?
        {
            begun.push(event.fault);
            active.push((event.at + event.lasts, started));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(begun)
}

/// Stops all hosts as planned.
async fn end_hosts(world: &mut world::World) -> anyhow::Result<()> {
    for host in &mut world.hosts {
        host.signal(Signal::SIGTERM)?;
    }
    for host in &mut world.hosts {
        if let Some(bad) = host.ended().await? {
            world.book.with(|seen| seen.bad_exits.push(bad));
        }
        let log = tokio::fs::read(host.log_path()).await?;
        let log = String::from_utf8_lossy(&log);
        let with_keys = log.lines().filter(|line| keys::are_in(line));
        let with_keys: Vec<String> = with_keys.map(str::to_string).collect();
        world
            .book
            .with(|seen| seen.lines_with_keys.extend(with_keys));
    }
    Ok(())
}
