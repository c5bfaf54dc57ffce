//! The operator writes many versions of a large configuration; the platform kills a process that
//! exceeds its memory.

use std::{collections::HashSet, fs, sync::Arc, thread, time::Duration};

use crate::{client, record, server, world};

/// Memory of a machine, as in the settings.
const MEMORY_MB: u64 = 260;

/// Routes of the configuration; its text stays below `value_bytes`, 1 MiB.
const ROUTES: usize = 4950;

/// Time between two versions, versions in quick succession, and the pause after them.
const GAP_S: f64 = 0.33;
const STORM: u32 = 12;
const PAUSE_S: f64 = 0.5;

/// Versions at most, and the time after which none is written.
const VERSIONS: u32 = 276;
const LAST_AT_S: f64 = 108.0;

const LIMIT: Duration = Duration::from_secs(3);

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    world.store.put("config", "main", &config(5));
    println!("bytes of the configuration: {}", config(5).len());
    for (i, zone) in ["a1", "a2", "b1"].iter().flat_map(|z| [(1, *z), (2, *z)]) {
        world.add_server(server::Options {
            id: format!("i-{zone}-{i}"),
            service: "emisor".to_string(),
            zone: zone.to_string(),
            slots: 20,
            queue: 60,
            warmup_s: 0.0,
            is_deadly: None,
            work: Arc::new(|_| Duration::from_millis(400)),
        });
    }
    if !world.start_hosts() {
        return None;
    }
    for zone in ["a1", "a2", "b1"] {
        world.add_clients(10, zone, turn);
    }
    world.sleep_until(4.0);
    let mut kills = Vec::new();
    for i in 0..VERSIONS {
        if has_trouble {
            world.store.put("config", "main", &config(6 + 2 * i));
        }
        let is_last = i % STORM == STORM - 1;
        thread::sleep(Duration::from_secs_f64(if is_last { GAP_S + PAUSE_S } else { GAP_S }));
        for host in &mut world.hosts {
            let Some(memory) = memory_mb(host.pid()) else { continue };
            if i % 60 == 0 {
                world.record.say("memory", format!("{} {memory} MB after {i} versions", host.machine.name));
            }
            if memory > MEMORY_MB {
                let at = world.record.say("memory-exceeded", format!("{} {memory} MB", host.machine.name));
                host.kill();
                kills.push((host.machine.front.to_string(), at));
            }
        }
        if kills.len() == world.machines.len() || world.record.now() > LAST_AT_S {
            break;
        }
    }
    thread::sleep(Duration::from_secs(1));
    world.end_clients();
    Some(judge(&world.record, &kills))
}

fn config(version: u32) -> String {
    let timeout_s = 3.0 + f64::from(version % 7) / 10.0;
    let routes: Vec<String> = (0..ROUTES)
        .map(|i| world::route(&format!("r-{i:05}"), &format!("/q{i:05}/"), "safe", "emisor", (timeout_s, 0.4), 1))
        .chain([world::route("book", "/book/", "unsafe", "emisor", (3.0, 0.8), 0)])
        .collect();
    world::config(version, &routes, &["emisor"])
}

fn turn(_: usize, client: &mut client::Client) {
    client.request("POST", "/book/certificate", b"one certificate", LIMIT);
    thread::sleep(Duration::from_millis(100));
}

/// Resident memory of a process.
fn memory_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024)
}

/// LOST, at any time: a machine in touch passes a request from a kept connection on to a sound server
/// and closes that connection without an answer, more than three times.  A process that ends by
/// itself counts as running.
fn judge(record: &record::Record, kills: &[(String, f64)]) -> bool {
    let lines = record.lines();
    let run: HashSet<&str> = lines.iter().filter(|l| l.event == "run").map(|l| l.id.as_str()).collect();
    let lost: Vec<&record::Line> = lines
        .iter()
        .filter(|line| line.event == "no-answer" && run.contains(line.id.as_str()))
        .filter(|line| kills.iter().any(|(_, at)| line.at >= *at && line.at < at + 0.5))
        .collect();
    println!("requests sent: {}", lines.iter().filter(|l| l.event == "sent").count());
    println!("processes that exceeded their memory: {}", kills.len());
    println!("passed on to a server, and the connection closed without an answer: {}", lost.len());
    lost.len() <= 3
}
