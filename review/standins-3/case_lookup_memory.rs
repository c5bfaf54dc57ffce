//! Clients that nobody controls begin look-ups with long heads and stop short of their end.  The
//! platform kills a process that exceeds the memory of its machine.

mod support;

use std::{
    net::Ipv4Addr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use support::*;

/// Memory of a machine of the small deployments.
const MEMORY_MB: f64 = 260.0;

/// Look-ups that the uncontrolled clients begin, and the bytes of each.
const CROWD: usize = 890;
const HEAD_BYTES: usize = 400_000;

fn main() {
    let record = Record::new();
    let (a, b) = own_network();
    let ip = |n: u8| Ipv4Addr::new(127, a, b, n);
    let store = Store::start(ip(1));
    let mut platform = Platform::new(store.address, &[("rosario", "centro")]);
    let host = platform.add_host(ip(10), "front-rosario-1", "rosario", "centro");
    let routes = [route("book", "/book/", "unsafe", "log", 3.0)];
    store.put("config", "main", &config(3, &routes, &["log"], ""));
    let ran = record.clone();
    Server::start(
        ip(20),
        &store,
        "i-1",
        "log",
        "rosario",
        move |_, req, connection| {
            ran.add(format!("ran {}", req.id()));
            connection
                .write(&answer("200 OK", &signed(req), b"done"))
                .is_ok()
        },
    );
    platform.start(&host, true);
    platform.until_ready(&host, &record);
    thread::sleep(Duration::from_secs(3));
    let before = ask(
        host.front,
        &request("PUT", "/book/1", "calm-1", "", b"x"),
        Duration::from_secs(3),
    );
    if before.as_ref().map_or(0, |answer| answer.status()) != 200 {
        record.end(&platform, NOT_RUN, "no answer in calm");
    }
    record.add(format!(
        "calm: answered, memory {:.0} MB",
        platform.memory_mb(&host)
    ));

    let platform = Arc::new(platform);
    let peak = Arc::new(Mutex::new(0.0_f64));
    let killed = Arc::new(Mutex::new(false));
    let (watched, seen, did_kill) = (platform.clone(), peak.clone(), killed.clone());
    let (watched_host, log) = (host.clone(), record.clone());
    thread::spawn(move || {
        loop {
            let memory = watched.memory_mb(&watched_host);
            let mut peak = seen.lock().unwrap();
            *peak = peak.max(memory);
            if memory > MEMORY_MB && !*did_kill.lock().unwrap() {
                log.add(format!(
                    "platform: process at {memory:.0} MB of {MEMORY_MB:.0} MB, killed"
                ));
                *did_kill.lock().unwrap() = true;
                watched.kill(&watched_host);
            }
            drop(peak);
            thread::sleep(Duration::from_millis(50));
        }
    });

    let trouble = has_trouble();
    let mut head = b"GET /resolve?name=shop.example&region=centro&zone=rosario HTTP/1.1\r\nHost: directory\r\nX-Note: ".to_vec();
    head.extend(vec![b'a'; HEAD_BYTES]);
    let workers: Vec<_> = (0..8)
        .map(|_| {
            let (head, host, killed) = (head.clone(), host.clone(), killed.clone());
            thread::spawn(move || {
                let mut open = Vec::new();
                for _ in 0..CROWD / 8 {
                    if *killed.lock().unwrap() {
                        break;
                    }
                    // In calm the same clients send whole look-ups.
                    if !trouble {
                        let _ = ask(
                            host.directory,
                            &look_up("rosario", "centro"),
                            Duration::from_secs(2),
                        );
                        continue;
                    }
                    let Ok(mut connection) = Connection::open(host.directory) else {
                        continue;
                    };
                    let _ = connection
                        .stream
                        .set_write_timeout(Some(Duration::from_secs(1)));
                    let _ = connection.write(&head);
                    open.push(connection);
                }
                open
            })
        })
        .collect();
    let begun = Instant::now();
    let open: Vec<_> = workers
        .into_iter()
        .filter_map(|worker| worker.join().ok())
        .collect();
    record.add(format!(
        "crowd: {} connections with unfinished look-ups in {:.1} s",
        open.iter().map(Vec::len).sum::<usize>(),
        begun.elapsed().as_secs_f64()
    ));
    thread::sleep(Duration::from_secs(2));
    let after = ask(
        host.front,
        &request("PUT", "/book/2", "calm-2", "", b"x"),
        Duration::from_secs(3),
    );
    record.add(format!(
        "afterwards: {:?}, peak memory {:.0} MB, process runs: {}",
        after.map(|answer| answer.status()),
        *peak.lock().unwrap(),
        platform.is_running(&host)
    ));
    let has_exceeded = *killed.lock().unwrap();
    match has_exceeded {
        true => record.end(
            &platform,
            BROKEN,
            "the process exceeded the memory of its machine and was killed",
        ),
        false => record.end(
            &platform,
            HELD,
            "the process stayed within the memory of its machine",
        ),
    }
}
