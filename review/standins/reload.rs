//! The settings name a longer grace time and the hosts get SIGHUP; later they are stopped in turn.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{client, host, record, server, world};

/// Grace time in the changed settings; it is 6 s before.
const NEW_GRACE_S: f64 = 12.0;

/// A request may be broken off in this last part of the grace time if it was sent no later than 3 s
/// after the SIGTERM.
const LAST_PART: f64 = 1.0 / 6.0;
const EXCUSED_S: f64 = 3.0;

/// Time limit of the clients, and the route's timeout.
const LIMIT: Duration = Duration::from_secs(15);

/// Time that most requests take at a server, and that one in `LONG_EVERY` takes.
const WORK: Duration = Duration::from_millis(1500);
const LONG_WORK: Duration = Duration::from_millis(8000);
const LONG_EVERY: usize = 5;

/// A stop of a host: its SIGTERM and its end.
struct Stop {
    front: String,
    stopped_at: f64,
    ended_at: f64,
}

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    let times = (LIMIT.as_secs_f64(), 1.5);
    let routes = [world::route("load", "/load/", "unsafe", "depot-desk", times, 0)];
    world.store.put("config", "main", &world::config(5, &routes, &["depot-desk"]));
    for (i, zone) in ["a1", "a2", "b1"].iter().flat_map(|z| [(1, *z), (2, *z)]) {
        let count = AtomicUsize::new(0);
        world.add_server(server::Options {
            id: format!("i-{zone}-{i}"),
            service: "depot-desk".to_string(),
            zone: zone.to_string(),
            slots: 30,
            queue: 90,
            warmup_s: 0.0,
            is_deadly: None,
            work: Arc::new(move |_| match count.fetch_add(1, Ordering::SeqCst) % LONG_EVERY {
                0 => LONG_WORK,
                _ => WORK,
            }),
        });
    }
    if !world.start_hosts() {
        return None;
    }
    for zone in ["a1", "a2", "b1"] {
        world.add_clients(30, zone, turn);
    }
    world.sleep_until(8.0);
    if has_trouble {
        world.deployment.grace_s = NEW_GRACE_S;
        world.record.say("settings", format!("grace_s {NEW_GRACE_S}"));
        for i in 0..world.machines.len() {
            world.write_settings(i);
            world.hosts[i].signal(host::Signal::Hup);
        }
    }
    let grace_s = world.deployment.grace_s;
    world.sleep_until(14.0);
    let mut stops = Vec::new();
    for i in 0..world.machines.len() {
        let (stopped_at, ended_at, is_killed) = world.stop_host(i);
        println!("ended {:.3} s after the SIGTERM, killed: {is_killed}", ended_at - stopped_at);
        stops.push(Stop { front: world.machines[i].front.to_string(), stopped_at, ended_at });
        // The grace time of the restarted process is that of its settings; it isn't stopped again.
        if !world.restart_host(i) {
            return None;
        }
        thread::sleep(Duration::from_secs(4));
    }
    world.end_clients();
    Some(judge(&world.record, &stops, grace_s))
}

fn turn(_: usize, client: &mut client::Client) {
    let (_, end) = client.request("POST", "/load/lot", b"a lot of results", LIMIT);
    let pause = match end {
        client::End::Status(503) => client.retry_after.unwrap_or_default(),
        _ => Duration::ZERO,
    };
    // At most a third of the time left, as PROTOCOL.md tells.
    thread::sleep(pause.min(LIMIT / 3) + Duration::from_millis(100));
}

/// LOST, around a SIGTERM: a host breaks off a request at which its server is at work and gives an
/// answer of its own in its place, or none.  Not counted: the time limit was reached, or the server
/// was still at work in the last sixth of the grace time on a request that was sent no later than
/// 3 s after the SIGTERM.
fn judge(record: &record::Record, stops: &[Stop], grace_s: f64) -> bool {
    let lines = record.lines();
    let by_id = |event: &str| -> HashMap<&str, &record::Line> {
        let lines = lines.iter().filter(|line| line.event == event);
        lines.map(|line| (line.id.as_str(), line)).collect()
    };
    let (sent, whole, run) = (by_id("sent"), by_id("sent-whole"), by_id("run"));
    let ends = lines.iter().filter(|line| match line.event {
        "answered" => line.detail.ends_with("by host"),
        event => event == "no-answer",
    });
    let (mut counted, mut excused) = (0, 0);
    for end in ends {
        let id = end.id.as_str();
        let (Some(sent), Some(whole), Some(run)) = (sent.get(id), whole.get(id), run.get(id)) else {
            continue;
        };
        let stop = stops.iter().find(|stop| {
            sent.detail.ends_with(&stop.front)
                && end.at >= stop.stopped_at
                && end.at <= stop.ended_at + 0.2
        });
        let Some(stop) = stop else { continue };
        let last_part = stop.stopped_at + grace_s * (1.0 - LAST_PART);
        let is_limit_reached = end.at >= sent.at + LIMIT.as_secs_f64() - 0.05;
        let is_excused = end.at >= last_part && whole.at <= stop.stopped_at + EXCUSED_S;
        if is_limit_reached || is_excused {
            excused += 1;
            continue;
        }
        counted += 1;
        println!(
            "{id}: sent {:.3} s after the SIGTERM, at work since {:.3} s, ended {:.3} s after it: {} {}",
            whole.at - stop.stopped_at,
            run.at - stop.stopped_at,
            end.at - stop.stopped_at,
            end.event,
            end.detail
        );
    }
    println!("requests sent: {}", sent.len());
    println!("broken off at work and excused: {excused}");
    println!("broken off at work: {counted}");
    counted == 0
}
