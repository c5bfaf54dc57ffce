//! All open connections between the hosts and the store go silent; then a zone is evacuated, and
//! later its servers are switched off.

use std::{sync::Arc, thread, time::Duration};

use crate::{client, moved, server, world};

/// Bound of the rule EVAC, as in the settings.
const EVACUATE_S: f64 = 5.0;

/// Time after the start of the hosts at which connections go silent.
const SILENCE_AT: f64 = 24.0;

/// Time from the silence to the evacuation: `stable_window_s` and more, so that all machines are in
/// touch again.
const CALM_S: f64 = 4.5;

/// Time from the bound to the switching off of the zone's servers.
const UNTIL_OFF_S: f64 = 3.0;

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    let routes = [
        world::route("read", "/read/", "safe", "bitacora", (2.5, 0.4), 1),
        world::route("book", "/book/", "unsafe", "bitacora", (3.0, 0.8), 0),
    ];
    world.store.put("config", "main", &world::config(5, &routes, &["bitacora"]));
    for (i, zone) in ["a1", "a2", "b1"].iter().flat_map(|z| [(1, *z), (2, *z)]) {
        world.add_server(server::Options {
            id: format!("i-{zone}-{i}"),
            service: "bitacora".to_string(),
            zone: zone.to_string(),
            slots: 9,
            queue: 27,
            warmup_s: 0.0,
            is_deadly: None,
            work: Arc::new(|_| Duration::from_millis(400)),
        });
    }
    if !world.start_hosts() {
        return None;
    }
    for zone in ["a1", "a2", "b1"] {
        world.add_clients(6, zone, turn);
    }
    world.sleep_until(SILENCE_AT);
    if has_trouble {
        let open: usize = world.proxies.iter().map(|proxy| proxy.silence_open()).sum();
        world.record.say("silence", format!("{open} open connections to the store"));
    }
    world.sleep_until(SILENCE_AT + CALM_S);
    world.store.put("evacuations", "a1", "{}");
    let evacuated_at = world.record.say("evacuation-confirmed", "a1");
    let bound = evacuated_at + EVACUATE_S;
    world.sleep_until(bound + UNTIL_OFF_S);
    for server in world.servers.iter().filter(|server| server.zone() == "a1") {
        server.stop();
        world.store.delete("servers", server.id());
    }
    let off_at = world.record.say("servers-off", "a1");
    world.sleep_until(off_at + 4.0);
    world.end_clients();
    Some(moved::judge(&world.record, bound, off_at))
}

fn turn(i: usize, client: &mut client::Client) {
    let limit = Duration::from_millis(2500);
    match i % 2 {
        0 => client.request("GET", "/read/history", b"", limit),
        _ => client.request("POST", "/book/certificate", b"one certificate", limit),
    };
    thread::sleep(Duration::from_millis(60));
}
