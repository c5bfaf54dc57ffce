//! A request of one caller crashes each server that begins to run it; other callers send requests
//! with the same path and body, which are answered.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{client, http, record, server, world};

/// Object that the deadly request is about; its caller is the only one that names it.
const DEADLY_OBJECT: u64 = 666;

/// Time after which a server that crashed is back.
const DOWN_S: f64 = 3.0;

/// Bound `stable_window_s`, as in the settings.
const STABLE_WINDOW_S: f64 = 3.0;

/// Crashes after which the request is known, and retries that are tolerated afterwards.
const CRASHES: usize = 3;
const RETRIES: usize = 3;

const LIMIT: Duration = Duration::from_millis(2500);

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    let routes = [
        world::route("read", "/read/", "safe", "bitacora", (2.5, 0.4), 1),
        world::route("book", "/book/", "unsafe", "bitacora", (3.0, 0.8), 0),
    ];
    world.store.put("config", "main", &world::config(5, &routes, &["bitacora"]));
    let object = format!("X-Affinity-Key={DEADLY_OBJECT}");
    let is_deadly = move |req: &http::Message| {
        has_trouble && req.header("Cookie").is_some_and(|cookie| cookie == object)
    };
    let is_deadly: Arc<server::IsDeadly> = Arc::new(is_deadly);
    for (i, zone) in ["a1", "a2", "b1"].iter().flat_map(|z| [(1, *z), (2, *z), (3, *z)]) {
        world.add_server(options(&format!("i-{zone}-{i}"), zone, 0.0, &is_deadly));
    }
    if !world.start_hosts() {
        return None;
    }
    for zone in ["a1", "a2", "b1"] {
        world.add_clients(8, zone, turn);
    }
    world.sleep_until(6.0);
    let is_sent = Arc::new(AtomicBool::new(true));
    let sends = is_sent.clone();
    world.add_clients(1, "a2", move |_, client| {
        client.object = Some(DEADLY_OBJECT);
        if sends.load(Ordering::SeqCst) {
            client.request("GET", "/read/history", b"", LIMIT);
        }
        thread::sleep(Duration::from_millis(1000));
    });
    let end = 6.0 + 24.0;
    let mut down: Vec<(f64, String, String)> = Vec::new();
    while world.record.now() < end {
        for server in world.servers.iter().filter(|server| server.take_crash()) {
            let back_at = world.record.say("crashed", server.id()) + DOWN_S;
            down.push((back_at, server.id().to_string(), server.zone().to_string()));
        }
        let now = world.record.now();
        let (back, still): (Vec<_>, Vec<_>) = down.into_iter().partition(|(at, _, _)| *at <= now);
        down = still;
        for (_, id, zone) in back {
            world.add_server(options(&id, &zone, 3.0, &is_deadly));
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_sent.store(false, Ordering::SeqCst);
    world.end_clients();
    Some(judge(&world.record))
}

fn options(id: &str, zone: &str, warmup_s: f64, is_deadly: &Arc<server::IsDeadly>) -> server::Options {
    server::Options {
        id: id.to_string(),
        service: "bitacora".to_string(),
        zone: zone.to_string(),
        slots: 9,
        queue: 27,
        warmup_s,
        is_deadly: Some(is_deadly.clone()),
        work: Arc::new(|_| Duration::from_millis(300)),
    }
}

fn turn(i: usize, client: &mut client::Client) {
    match i % 2 {
        0 => client.request("GET", "/read/history", b"", LIMIT),
        _ => client.request("POST", "/book/certificate", b"one certificate", LIMIT),
    };
    thread::sleep(Duration::from_millis(100));
}

/// BUDGET: a request that crashes the servers that run it reaches servers in more than three
/// retries, sent by machines in touch later than `stable_window_s` after it has crashed the third.
fn judge(record: &record::Record) -> bool {
    let crashes = record.of("crash");
    println!("requests sent: {}", record.of("sent").len());
    println!("servers crashed: {}", crashes.len());
    let Some(third) = crashes.get(CRASHES - 1) else {
        println!("reached servers after the third crash: 0");
        return true;
    };
    let late = crashes.iter().filter(|line| line.at > third.at + STABLE_WINDOW_S).count();
    println!("reached servers later than {STABLE_WINDOW_S} s after the third crash: {late}");
    let lines = record.lines();
    let cut: Vec<&str> = lines.iter().filter(|l| l.event == "cut").map(|l| l.id.as_str()).collect();
    let lost = lines
        .iter()
        .filter(|l| l.event == "sent" && l.detail.starts_with("POST") && cut.contains(&l.id.as_str()))
        .count();
    println!("unsafe requests of other callers that were cut off at work: {lost}");
    let is_other = |l: &&record::Line| l.event == "sent" && l.detail.starts_with("GET /read/");
    let reads: Vec<&str> = lines.iter().filter(is_other).map(|l| l.id.as_str()).collect();
    let last = lines.last().map_or(0.0, |l| l.at);
    let refused = lines
        .iter()
        .filter(|l| l.event == "answered" && l.at > last - 5.0 && reads.contains(&l.id.as_str()))
        .filter(|l| l.detail == "503 by host")
        .count();
    println!("requests with the same path refused in the last 5 s: {refused}");
    late <= RETRIES
}
