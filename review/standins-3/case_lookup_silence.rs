//! Clients that nobody controls connect to a directory and stay silent.

mod support;

use std::{
    net::Ipv4Addr,
    thread,
    time::{Duration, Instant},
};

use support::*;

/// Silent connections.
const CROWD: usize = 950;

/// `stable_window_s` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Ordinary clients that look up at once; each allows one second.
const CLIENTS: usize = 8;

/// Time for which the clients try.
const WATCHED: Duration = Duration::from_secs(30);

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let host = platform.add_host(ip(10), "front-rosario-1", "rosario", "centro");
    let routes = [route("book", "/book/", "unsafe", "log", 3.0)];
    store.put("config", "main", &config(3, &routes, &["log"], ""));
    Server::start(ip(20), &store, "i-1", "log", "rosario", move |_, req, connection| {
        connection.write(&answer("200 OK", &signed(req), b"done")).is_ok()
    });
    platform.start(&host, true);
    platform.until_ready(&host, &record);
    thread::sleep(Duration::from_secs(4));

    // Eight clients look up at the same time; returns how many got an answer.
    let look_up_all = || {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let address = host.directory;
                thread::spawn(move || {
                    let answer = ask(address, &look_up("rosario", "centro"), Duration::from_secs(1));
                    answer.is_ok_and(|answer| answer.status() == 200)
                })
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|is_answered| *is_answered)
            .count()
    };
    let calm = look_up_all();
    record.add(format!("calm: {calm} of {CLIENTS} look-ups answered, ready {}", platform.is_ready(&host)));
    if calm < CLIENTS {
        record.end(&platform, NOT_RUN, "look-ups fail in calm");
    }

    let mut crowd = Vec::new();
    for _ in 0..CROWD {
        // One that is not accepted at once tries again.
        let mut attempts = (0..3).map(|_| Connection::open(host.directory));
        let Some(connection) = attempts.find_map(Result::ok) else {
            break;
        };
        // In calm the same clients close again.
        if has_trouble() {
            crowd.push(connection);
        }
    }
    record.add(format!("crowd: {} silent connections", crowd.len()));

    let begun = Instant::now();
    let mut none_since = None;
    let mut longest = Duration::ZERO;
    while begun.elapsed() < WATCHED {
        let at = Instant::now();
        let answered = look_up_all();
        let is_ready = platform.is_ready(&host);
        record.add(format!("{answered} of {CLIENTS} look-ups answered, ready {is_ready}"));
        match answered == 0 && is_ready {
            true => {
                let since = *none_since.get_or_insert(at);
                longest = longest.max(since.elapsed());
            }
            false => none_since = None,
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.add(format!(
        "longest time without any answer while ready: {:.1} s",
        longest.as_secs_f64()
    ));
    match longest > STABLE_WINDOW {
        true => record.end(&platform, BROKEN, "a ready machine took no new connection for longer than stable_window_s"),
        false => record.end(&platform, HELD, "the directory answered"),
    }
}
