//! The answer to a heartbeat of a backend server is lost, and the store executes it seconds later, when
//! the server is draining.

mod support;

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use support::*;

/// `drain_s` and `stable_window_s` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time after which the store executes the call: late ones are done 1 to 6 s later.
const LATENESS: Duration = Duration::from_millis(5900);

/// Time for which the leaving server serves on after its report, beyond `drain_s`, before it exits.
const SERVES_ON: Duration = Duration::from_millis(1000);

/// Time from the report to the heartbeat after it; further ones follow in full intervals.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1200);

/// Slots of each server, and the work of a request.
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(100);

/// Clients, and the pause between two requests of each.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(30);

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let hosts: Vec<Host> = (1..=2)
        .map(|i| {
            platform.add_host(
                ip(10 + i),
                &format!("front-rosario-{i}"),
                "rosario",
                "centro",
            )
        })
        .collect();
    let routes = [route("book", "/book/", "unsafe", "log", 3.0)];
    store.put("config", "main", &config(3, &routes, &["log"], ""));

    // Arrivals at the server that leaves: the id of each request, and when it arrived.
    let arrivals: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let seen = arrivals.clone();
    let leaving = Server::listen(
        ip(20),
        "i-leaving",
        "log",
        "rosario",
        SLOTS,
        Duration::ZERO,
        move |_, req, connection| {
            seen.lock()
                .unwrap()
                .insert(req.id().to_string(), Instant::now());
            thread::sleep(WORK);
            connection
                .write(&answer("200 OK", &signed(req), b"done"))
                .is_ok()
        },
    );
    for i in 1..=2 {
        let id = format!("i-{i}");
        Server::start_with(
            ip(20 + i),
            &store,
            &id,
            "log",
            "rosario",
            SLOTS,
            Duration::ZERO,
            move |_, req, connection| {
                thread::sleep(WORK);
                connection
                    .write(&answer("200 OK", &signed(req), b"done"))
                    .is_ok()
            },
        );
    }
    let sequence = Arc::new(AtomicU64::new(0));
    let next = |state: &str| {
        let number = sequence.fetch_add(1, Ordering::SeqCst);
        (number, leaving.entry(state, number))
    };
    let heartbeat = |state: &str| {
        let (number, entry) = next(state);
        store.put("servers", "i-leaving", &entry);
        record.add(format!(
            "store: heartbeat {number} of i-leaving ({state}) done and confirmed"
        ));
    };
    heartbeat("ready");
    for host in &hosts {
        platform.start(host, true);
    }
    for host in &hosts {
        platform.until_ready(host, &record);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, (Instant, usize)>>> = Arc::default();
    for client in 0..CLIENTS {
        let (is_over, sent, at) = (is_over.clone(), sent.clone(), client % hosts.len());
        let record = record.clone();
        let front = hosts[at].front;
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("book-{client}-{number}");
                sent.lock()
                    .unwrap()
                    .insert(id.clone(), (Instant::now(), at));
                let answer = ask(
                    front,
                    &request("PUT", "/book/x", &id, "", b"x"),
                    Duration::from_secs(4),
                );
                if !matches!(&answer, Ok(answer) if answer.status() == 200) {
                    let text = answer.map(|answer| answer.status().to_string());
                    record.add(format!("client {id}: {}", text.unwrap_or_else(|e| e)));
                }
                thread::sleep(PAUSE);
            }
        });
    }
    // Heartbeats until the disruption.
    for _ in 0..4 {
        thread::sleep(HEARTBEAT);
        heartbeat("ready");
    }
    thread::sleep(HEARTBEAT);

    // One answer of the store is lost.
    let lost_at = Instant::now();
    let (number, entry) = next("ready");
    if has_trouble() {
        record.add(format!(
            "store: heartbeat {number} of i-leaving (ready) gets no answer"
        ));
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(LATENESS);
            store.put("servers", "i-leaving", &entry);
            record.add(format!(
                "store: heartbeat {number} of i-leaving (ready) done, late"
            ));
        });
    } else {
        store.put("servers", "i-leaving", &entry);
        record.add(format!(
            "store: heartbeat {number} of i-leaving (ready) done and confirmed"
        ));
    }
    // The server goes on; the store answers all calls from now on, and is stable after 3 s.
    while lost_at.elapsed() + HEARTBEAT < STABLE_WINDOW + Duration::from_millis(200) {
        thread::sleep(HEARTBEAT);
        heartbeat("ready");
    }
    thread::sleep((STABLE_WINDOW + Duration::from_millis(150)).saturating_sub(lost_at.elapsed()));
    heartbeat("draining");
    let confirmed_at = Instant::now();
    for after in [FIRST_HEARTBEAT, FIRST_HEARTBEAT + HEARTBEAT] {
        thread::sleep(after.saturating_sub(confirmed_at.elapsed()));
        heartbeat("draining");
    }
    thread::sleep((DRAIN + SERVES_ON).saturating_sub(confirmed_at.elapsed()));
    leaving.end();
    store.delete("servers", "i-leaving");
    record.add("i-leaving exits, and its entry is removed");
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));

    let sent = sent.lock().unwrap();
    let mut late: Vec<(f64, String)> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|(id, at)| **at > confirmed_at + DRAIN && sent[*id].0 > confirmed_at + DRAIN)
        .map(|(id, at)| {
            let after = at.duration_since(confirmed_at).as_secs_f64();
            (after, format!("{id} by {}", hosts[sent[id].1].name))
        })
        .collect();
    late.sort_by(|a, b| a.0.total_cmp(&b.0));
    record.add(format!(
        "{} requests sent, {} of them reached i-leaving in all",
        sent.len(),
        arrivals.lock().unwrap().len()
    ));
    for (after, text) in late.iter().take(20) {
        record.add(format!(
            "reached i-leaving {after:.2} s after the confirmation that it is draining: {text}"
        ));
    }
    record.add(format!(
        "{} requests reached i-leaving later than {:.1} s after the confirmation",
        late.len(),
        DRAIN.as_secs_f64()
    ));
    match late.is_empty() {
        true => record.end(
            &platform,
            HELD,
            "no request reached the leaving server late",
        ),
        false => record.end(
            &platform,
            BROKEN,
            "requests reached a server long after its leaving was confirmed",
        ),
    }
}
