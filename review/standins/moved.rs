//! A zone is evacuated; a server of another zone starts again, under its id, in the evacuated one.
//! Later the servers of the evacuated zone are switched off.

use std::{collections::HashSet, sync::Arc, thread, time::Duration};

use crate::{client, record, server, world};

/// Bound of the rule EVAC, as in the settings.
const EVACUATE_S: f64 = 5.0;

/// Zone that is evacuated, and the zone of the server that starts again.
const EVACUATED: &str = "a1";
const OTHER: &str = "a2";

/// Time between the end of the server and its start: shorter than three of its beats, so that its
/// entry is replaced.
const DOWN: Duration = Duration::from_millis(1000);

/// Time for which a server is slow after its start.
const WARMUP_S: f64 = 3.0;

fn options(id: &str, zone: &str, warmup_s: f64) -> server::Options {
    server::Options {
        id: id.to_string(),
        service: "bitacora".to_string(),
        zone: zone.to_string(),
        slots: 9,
        queue: 27,
        warmup_s,
        is_deadly: None,
        work: Arc::new(|_| Duration::from_millis(400)),
    }
}

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    let routes = [
        world::route("read", "/read/", "safe", "bitacora", (2.5, 0.4), 1),
        world::route("book", "/book/", "unsafe", "bitacora", (3.0, 0.8), 0),
    ];
    world.store.put("config", "main", &world::config(5, &routes, &["bitacora"]));
    for (i, zone) in [EVACUATED, OTHER, "b1"].iter().flat_map(|z| [(1, *z), (2, *z)]) {
        world.add_server(options(&format!("i-{zone}-{i}"), zone, 0.0));
    }
    if !world.start_hosts() {
        return None;
    }
    for zone in [EVACUATED, OTHER, "b1"] {
        world.add_clients(6, zone, turn);
    }
    world.sleep_until(6.0);
    world.store.put("evacuations", EVACUATED, "{}");
    let evacuated_at = world.record.say("evacuation-confirmed", EVACUATED);
    world.sleep_until(evacuated_at + 2.0);
    let ended = world.servers.iter().find(|server| server.zone() == OTHER)?.clone();
    ended.stop();
    world.record.say("server-ended", format!("{} in zone {OTHER}", ended.id()));
    thread::sleep(DOWN);
    let zone = if has_trouble { EVACUATED } else { OTHER };
    world.add_server(options(ended.id(), zone, WARMUP_S));
    world.record.say("server-started", format!("{} in zone {zone}", ended.id()));
    let bound = evacuated_at + EVACUATE_S;
    world.sleep_until(bound + 3.0);
    for server in world.servers.iter().filter(|server| server.zone() == EVACUATED) {
        server.stop();
        world.store.delete("servers", server.id());
    }
    let off_at = world.record.say("servers-off", EVACUATED);
    world.sleep_until(off_at + 4.0);
    world.end_clients();
    Some(judge(&world.record, bound, off_at))
}

fn turn(i: usize, client: &mut client::Client) {
    let limit = Duration::from_millis(2500);
    match i % 2 {
        0 => client.request("GET", "/read/history", b"", limit),
        _ => client.request("POST", "/book/certificate", b"one certificate", limit),
    };
    thread::sleep(Duration::from_millis(60));
}

/// EVAC: a request reaches a server in the zone later than `evacuate_s` after its evacuation was
/// confirmed.
pub fn judge(record: &record::Record, bound: f64, off_at: f64) -> bool {
    let late: Vec<record::Line> = record
        .of("arrived")
        .into_iter()
        .filter(|line| line.detail.contains(&format!("zone {EVACUATED} ")))
        .filter(|line| line.at > bound && line.at < off_at)
        .collect();
    let cut: HashSet<String> = record.of("cut").into_iter().map(|line| line.id).collect();
    let sent = record.of("sent");
    let unsafe_ids: HashSet<&str> = sent
        .iter()
        .filter(|line| line.detail.starts_with("POST"))
        .map(|line| line.id.as_str())
        .collect();
    let answered = record.of("answered");
    let ends: Vec<String> = late
        .iter()
        .map(|line| line.id.as_str())
        .filter(|id| cut.contains(*id) && unsafe_ids.contains(id))
        .map(|id| {
            let end = answered.iter().find(|line| line.id == id);
            format!("{id}: {}", end.map_or("no answer", |line| line.detail.as_str()))
        })
        .collect();
    println!("requests sent: {}", sent.len());
    println!("reached servers in the evacuated zone after the bound: {}", late.len());
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        println!("first {:.3} s, last {:.3} s after the bound", first.at - bound, last.at - bound);
    }
    println!("of these, unsafe ones cut off when the servers ended: {} ({})", ends.len(), ends.join(", "));
    late.is_empty()
}
