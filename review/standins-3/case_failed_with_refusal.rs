//! Servers fail part of the requests that they run, with statuses that are a promise when the system
//! gives them.

mod support;

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use support::*;

/// Servers, of which one fails: a share of 0.14.
const SERVERS: u8 = 7;

/// Slots of each server, and the work of a request.
const SLOTS: u32 = 2;
const WORK: Duration = Duration::from_millis(80);

/// Clients, and the requests of each, one after the other.
const CLIENTS: usize = 12;
const REQUESTS: usize = 40;

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let host = platform.add_host(ip(10), "front-rosario-1", "rosario", "centro");
    let routes = [route("book", "/book/", "unsafe", "log", 3.0)];
    store.put("config", "main", &config(3, &routes, &["log"], ""));
    let run: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    for i in 0..SERVERS {
        let (log, run) = (record.clone(), run.clone());
        let id = format!("i-{i}");
        Server::start_with(
            ip(20 + i),
            &store,
            &id,
            "log",
            "rosario",
            SLOTS,
            Duration::ZERO,
            move |server, req, connection| {
                let number: usize = req
                    .id()
                    .rsplit('-')
                    .next()
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                *run.lock().unwrap().entry(req.id().to_string()).or_default() += 1;
                // One fails half of what it runs; its status check stays good.
                let fails = has_trouble() && server.id == "i-0" && number % 2 == 0;
                thread::sleep(WORK);
                let status = if fails {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                log.add(format!(
                    "{} ran {} and answers {status}",
                    server.id,
                    req.id()
                ));
                connection
                    .write(&answer(status, &signed(req), b"its words"))
                    .is_ok()
            },
        );
    }
    platform.start(&host, true);
    platform.until_ready(&host, &record);
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, run, front) = (record.clone(), run.clone(), host.front);
            thread::spawn(move || {
                let mut broken = 0;
                for number in 0..REQUESTS {
                    let id = format!("book-{client}-{number}");
                    let req = request("PUT", "/book/x", &id, "", b"x");
                    let answer = ask(front, &req, Duration::from_secs(4));
                    let runs = run.lock().unwrap().get(&id).copied().unwrap_or(0);
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.add(format!(
                        "client {id}: {:?}, runs {runs}",
                        answer.map(|answer| answer.status())
                    ));
                    if matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
                        broken += 1;
                    }
                }
                broken
            })
        })
        .collect();
    let broken: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    record.add(format!(
        "{broken} of {} were told that they had not run, and had",
        CLIENTS * REQUESTS
    ));
    match broken > 0 {
        true => record.end(
            &platform,
            BROKEN,
            "requests that had run were answered with a promise that they had not",
        ),
        false => record.end(&platform, HELD, "no request that had run was refused"),
    }
}
