//! Servers turn slow, so that their answers take longer than twice the idle timeout of connections.

mod support;

use std::{
    net::Ipv4Addr,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use support::*;

/// Length of each answer.
const ANSWER_BYTES: usize = 1_200_000;

/// Parts in which a server sends an answer, and the time between two.
const PARTS: usize = 60;
const PART_PAUSE: Duration = Duration::from_millis(50);

/// How much longer work takes on slow servers; servers may turn four to five times as slow.
const SLOWNESS: u32 = 4;

/// Requests, each on a kept connection of its own.
const REQUESTS: usize = 8;

/// Answers that may be missing.
const ALLOWED: usize = 3;

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let host = platform.add_host(ip(10), "front-rosario-1", "rosario", "centro");
    let routes = [route("book", "/book/", "unsafe", "log", 15.0)];
    let text =
        config(3, &routes, &["log"], "").replace(r#""idle_timeout_s":15"#, r#""idle_timeout_s":3"#);
    store.put("config", "main", &text);
    let pause = match has_trouble() {
        true => PART_PAUSE * SLOWNESS,
        false => PART_PAUSE,
    };
    for i in 0..2 {
        let ran = record.clone();
        Server::start(
            ip(20 + i),
            &store,
            &format!("i-{i}"),
            "log",
            "rosario",
            move |server, req, connection| {
                if req.target().ends_with("/short") {
                    return connection
                        .write(&answer("200 OK", &signed(req), b"done"))
                        .is_ok();
                }
                ran.add(format!("{} began to run {}", server.id, req.id()));
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}Content-Length: {ANSWER_BYTES}\r\n\r\n",
                    signed(req)
                );
                let part = vec![b'x'; ANSWER_BYTES / PARTS];
                if connection.write(head.as_bytes()).is_err() {
                    return false;
                }
                for sent in 0..PARTS {
                    if connection.write(&part).is_err() {
                        ran.add(format!(
                            "{} was cut off in its answer to {} after {sent} of {PARTS} parts",
                            server.id,
                            req.id()
                        ));
                        return false;
                    }
                    thread::sleep(pause);
                }
                ran.add(format!("{} has answered {}", server.id, req.id()));
                true
            },
        );
    }
    platform.start(&host, true);
    platform.until_ready(&host, &record);
    thread::sleep(Duration::from_secs(4));

    let (tx, rx) = mpsc::channel();
    for i in 0..REQUESTS {
        let (tx, record, front) = (tx.clone(), record.clone(), host.front);
        thread::spawn(move || {
            let mut is_answered = false;
            if let Ok(mut connection) = Connection::open(front) {
                connection.set_timeout(Duration::from_secs(15));
                // The connection is a kept one: it has carried a request before.
                let _ = connection.write(&request(
                    "PUT",
                    "/book/short",
                    &format!("first-{i}"),
                    "",
                    b"x",
                ));
                let first = connection.read(true);
                let is_kept = matches!(first, Ok(Some(answer)) if answer.status() == 200);
                let id = format!("long-{i}");
                let text = request("PUT", "/book/long", &id, "", b"x");
                let text = String::from_utf8_lossy(&text)
                    .replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 15000");
                let sent_at = Instant::now();
                let _ = connection.write(text.as_bytes());
                // The client reads all the while.
                let read = connection.read(true);
                is_answered =
                    matches!(&read, Ok(Some(answer)) if answer.body.len() == ANSWER_BYTES);
                record.add(format!(
                    "client {id} (kept connection: {is_kept}) after {:.1} s: {}",
                    sent_at.elapsed().as_secs_f64(),
                    match read {
                        Ok(Some(answer)) =>
                            format!("{} with {} bytes", answer.status(), answer.body.len()),
                        Ok(None) => "closed without an answer".to_string(),
                        Err(e) => format!("no complete answer: {}", e.kind()),
                    }
                ));
            }
            let _ = tx.send(is_answered);
        });
    }
    drop(tx);
    let answered = rx.iter().filter(|is_answered| *is_answered).count();
    for line in platform
        .log(&host)
        .lines()
        .filter(|line| line.contains("does not read") || line.contains("broken off"))
    {
        let message = line.split(r#""message":"#).nth(1).unwrap_or_default();
        record.add(format!("log of the host: {message}"));
    }
    let lost = REQUESTS - answered;
    record.add(format!(
        "{lost} of {REQUESTS} requests without a complete answer"
    ));
    match lost > ALLOWED {
        true => record.end(
            &platform,
            BROKEN,
            "requests passed on to sound servers ended without an answer",
        ),
        false => record.end(&platform, HELD, "all requests were answered"),
    }
}
