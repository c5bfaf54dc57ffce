//! The open connections between one host and the store go silent; then a server leaves without
//! reporting that it drains.

use std::{sync::Arc, thread, time::Duration};

use crate::{client, record, server, world};

/// Bound of the rule DRAIN, as in the settings.
const DRAIN_S: f64 = 2.5;

/// Time after the start of the hosts at which connections go silent.
const SILENCE_AT: f64 = 8.0;

/// Time from the silence to the leaving: more than `stable_window_s`, so that the machine is in touch
/// again.
const CALM_S: f64 = 4.0;

/// All clients send a request in every such time; there is no other traffic.
const ROUND_S: f64 = 5.0;

/// Time after the begin of a round at which the server leaves: it has no request in progress then.
const LEAVES_AT_S: f64 = 1.4;

/// Time for which the server serves on after the store has removed its entry: `drain_s` and a
/// little longer.
const SERVES_ON_S: f64 = 4.3;

/// Runs the case; true if the rule held.
pub fn run(world: &mut world::World, has_trouble: bool) -> Option<bool> {
    let routes = [world::route("book", "/book/", "unsafe", "emisor", (4.0, 1.0), 0)];
    world.store.put("config", "main", &world::config(5, &routes, &["emisor"]));
    for (i, zone) in ["a1", "a2", "b1"].iter().flat_map(|z| [(1, *z), (2, *z)]) {
        world.add_server(server::Options {
            id: format!("i-{zone}-{i}"),
            service: "emisor".to_string(),
            zone: zone.to_string(),
            slots: 9,
            queue: 27,
            warmup_s: 0.0,
            is_deadly: None,
            work: Arc::new(|_| Duration::from_millis(1200)),
        });
    }
    if !world.start_hosts() {
        return None;
    }
    let record = world.record.clone();
    world.add_clients(12, "b1", move |_, client| turn(&record, client));
    world.sleep_until(SILENCE_AT);
    let host = world.machines.iter().position(|machine| machine.zone == "b1")?;
    if has_trouble {
        let open = world.proxies[host].silence_open();
        let name = &world.machines[host].name;
        world.record.say("silence", format!("{open} open connections of {name} to the store"));
    }
    world.sleep_until(SILENCE_AT + CALM_S);
    let round = (world.record.now() / ROUND_S).ceil() * ROUND_S;
    world.sleep_until(round + LEAVES_AT_S);
    let leaving = world.servers.iter().find(|server| server.zone() == "b1")?.clone();
    leaving.leave();
    world.store.delete("servers", leaving.id());
    let removed_at = world.record.say("entry-removed", leaving.id());
    world.sleep_until(removed_at + SERVES_ON_S);
    leaving.stop();
    let ended_at = world.record.say("server-ended", leaving.id());
    world.sleep_until(ended_at + 3.0);
    world.end_clients();
    Some(judge(&world.record, leaving.id(), removed_at))
}

fn turn(record: &record::Record, client: &mut client::Client) {
    let left = ROUND_S - record.now() % ROUND_S;
    thread::sleep(Duration::from_secs_f64(left));
    client.request("POST", "/book/certificate", b"one certificate", Duration::from_secs(4));
}

/// DRAIN: a request reaches a server later than `drain_s` after the store has confirmed that it is
/// gone.
fn judge(record: &record::Record, id: &str, removed_at: f64) -> bool {
    let late: Vec<record::Line> = record
        .of("arrived")
        .into_iter()
        .filter(|line| line.detail.starts_with(&format!("{id} ")))
        .filter(|line| line.at > removed_at + DRAIN_S)
        .collect();
    println!("requests sent: {}", record.of("sent").len());
    for line in &late {
        let ends = record.lines();
        let end = ends.iter().find(|l| l.id == line.id && matches!(l.event, "answered" | "no-answer"));
        println!(
            "{}: reached {id} {:.3} s after its entry was removed; its client got: {}",
            line.id,
            line.at - removed_at,
            end.map_or("nothing", |end| end.detail.as_str())
        );
    }
    println!("reached the server after the bound: {}", late.len());
    late.is_empty()
}
