//! Servers read the bodies of requests slowly while another service is short of room.

mod support;

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use support::*;

/// Length of each upload.
const BODY_BYTES: usize = 8 << 20;

/// Pause of a slowly reading server after 16 KiB: about 300 kB each second.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(55);

/// Uploads, each on a kept connection of its own.
const UPLOADS: usize = 8;

/// Answers that may be missing.
const ALLOWED: usize = 3;

/// Clients of the service that is short of room, and the work of each of their requests.
const CROWD: usize = 10;
const WORK: Duration = Duration::from_millis(400);

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let host = platform.add_host(ip(10), "front-rosario-1", "rosario", "centro");
    let routes = [
        route("load", "/load/", "unsafe", "batch", 60.0),
        route("read", "/read/", "safe", "small", 2.0),
    ];
    store.put(
        "config",
        "main",
        &config(3, &routes, &["batch", "small"], ""),
    );
    let pause = match has_trouble() {
        true => SLOW_READ_PAUSE,
        false => Duration::ZERO,
    };
    let mut servers = Vec::new();
    for i in 0..2 {
        let log = record.clone();
        let id = format!("batch-{i}");
        let server = Server::start_with(
            ip(20 + i),
            &store,
            &id,
            "batch",
            "rosario",
            8,
            pause,
            move |server, req, connection| {
                log.add(format!(
                    "{} has {} with {} bytes and runs it",
                    server.id,
                    req.id(),
                    req.body.len()
                ));
                connection
                    .write(&answer("200 OK", &signed(req), b"done"))
                    .is_ok()
            },
        );
        servers.push(server);
    }
    let served = Arc::new(AtomicUsize::new(0));
    let counted = served.clone();
    Server::start_with(
        ip(30),
        &store,
        "small-1",
        "small",
        "rosario",
        1,
        Duration::ZERO,
        move |_, req, connection| {
            counted.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            connection
                .write(&answer("200 OK", &signed(req), b"done"))
                .is_ok()
        },
    );
    platform.start(&host, true);
    platform.until_ready(&host, &record);
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicUsize::new(0));
    for i in 0..CROWD {
        let (is_over, refused, front) = (is_over.clone(), refused.clone(), host.front);
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let req = request("GET", "/read/x", &format!("read-{i}-{number}"), "", b"");
                let answer = ask(front, &req, Duration::from_secs(3));
                if answer.is_ok_and(|answer| answer.status() == 503) {
                    refused.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(300));
            }
        });
    }

    // Until requests of the other service are refused.
    thread::sleep(Duration::from_secs(3));
    let (tx, rx) = mpsc::channel();
    for i in 0..UPLOADS {
        let (tx, record, front) = (tx.clone(), record.clone(), host.front);
        thread::spawn(move || {
            let id = format!("upload-{i}");
            let mut outcome = "no connection".to_string();
            let mut is_answered = false;
            if let Ok(mut connection) = Connection::open(front) {
                connection.set_timeout(Duration::from_secs(60));
                let _ = connection.write(&request(
                    "PUT",
                    "/load/first",
                    &format!("first-{i}"),
                    "",
                    b"x",
                ));
                let _ = connection.read(true);
                let text = request("PUT", "/load/long", &id, "", &[]);
                let text = String::from_utf8_lossy(&text)
                    .replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 60000")
                    .replace(
                        "Content-Length: 0",
                        &format!("Content-Length: {BODY_BYTES}"),
                    );
                let sent_at = Instant::now();
                let body = vec![b'x'; BODY_BYTES];
                // The client sends as fast as it may.
                let written = connection
                    .write(text.as_bytes())
                    .and_then(|()| connection.write(&body));
                let sent_after = sent_at.elapsed().as_secs_f64();
                let read = connection.read(true);
                is_answered = matches!(&read, Ok(Some(answer)) if answer.status() == 200);
                outcome = match (written, read) {
                    (_, Ok(Some(answer))) => format!("{}", answer.status()),
                    (Ok(()), Ok(None)) => "closed without an answer".to_string(),
                    (Ok(()), Err(e)) => format!("no answer: {}", e.kind()),
                    (Err(e), _) => format!("the connection was closed while it sent: {}", e.kind()),
                };
                outcome = format!(
                    "{outcome}; sent in {sent_after:.1} s, ended after {:.1} s",
                    sent_at.elapsed().as_secs_f64()
                );
            }
            record.add(format!("client {id}: {outcome}"));
            let _ = tx.send((id, is_answered));
        });
    }
    drop(tx);
    let unanswered = rx.iter().filter(|(_, is_answered)| !is_answered);
    let unanswered: Vec<String> = unanswered.map(|(id, _)| id).collect();
    is_over.store(true, Ordering::Relaxed);
    record.add(format!(
        "service that is short of room: {} run, {} refused",
        served.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed)
    ));
    let is_passed_on = |id: &String| {
        servers
            .iter()
            .any(|server| server.heads.lock().unwrap().contains(id))
    };
    let lost = unanswered.iter().filter(|id| is_passed_on(id)).count();
    record.add(format!(
        "{} of {UPLOADS} uploads without an answer, of which {lost} had been passed on to a server",
        unanswered.len()
    ));
    if refused.load(Ordering::Relaxed) == 0 {
        record.end(&platform, NOT_RUN, "nothing was refused");
    }
    match lost > ALLOWED {
        true => record.end(
            &platform,
            BROKEN,
            "uploads passed on to sound servers were closed without an answer",
        ),
        false => record.end(&platform, HELD, "all uploads were answered"),
    }
}
