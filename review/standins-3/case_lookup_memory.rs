//! Clients that nobody controls begin look-ups with long heads and stop short of their end.  The
//! platform kills a process that exceeds the memory of its machine.

mod support;

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use support::*;

/// Memory of a machine of the small deployments.
const MEMORY_MB: f64 = 260.0;

/// Look-ups that the uncontrolled clients begin at a time, and the bytes of each.
const CROWD: usize = 880;
const HEAD_BYTES: usize = 400_000;

/// Clients that send them.
const CLIENTS: usize = 8;

/// Ends of the process of each machine that break the rule.
const ENDS: usize = 3;

/// Crowds that come to each machine.
const CROWDS: usize = 4;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What the platform does on each machine: it kills the process beyond its memory, and starts it again.
fn watch(
    platform: Arc<Platform>,
    host: Host,
    record: Record,
    ends: Arc<AtomicUsize>,
    peak: Arc<Mutex<f64>>,
) {
    loop {
        let memory = platform.memory_mb(&host);
        let mut known = peak.lock().unwrap();
        *known = known.max(memory);
        drop(known);
        if memory > MEMORY_MB {
            record.add(format!(
                "platform: {} at {memory:.0} MB of {MEMORY_MB:.0} MB, killed",
                host.name
            ));
            platform.kill(&host);
            ends.fetch_add(1, Ordering::Relaxed);
            thread::sleep(RESTART_DELAY);
            platform.start(&host, false);
            record.add(format!("platform: {} starts again", host.name));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// One crowd at one machine, until its process has ended once more or all clients have sent.  In calm
/// the same clients send whole look-ups.
fn send_crowd(host: &Host, ends: &Arc<AtomicUsize>, is_trouble: bool) -> usize {
    let mut head = b"GET /resolve?name=shop.example&region=centro&zone=rosario HTTP/1.1\r\nHost: directory\r\nX-Note: ".to_vec();
    head.extend(vec![b'a'; HEAD_BYTES]);
    let before = ends.load(Ordering::Relaxed);
    let workers: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (head, address, ends) = (head.clone(), host.directory, ends.clone());
            thread::spawn(move || {
                let mut open = Vec::new();
                for _ in 0..CROWD / CLIENTS {
                    if ends.load(Ordering::Relaxed) > before {
                        break;
                    }
                    if !is_trouble {
                        let _ = ask(
                            address,
                            &look_up("rosario", "centro"),
                            Duration::from_secs(2),
                        );
                        continue;
                    }
                    let Ok(mut connection) = Connection::open(address) else {
                        continue;
                    };
                    let timeout = Some(Duration::from_secs(1));
                    let _ = connection.stream.set_write_timeout(timeout);
                    let _ = connection.write(&head);
                    open.push(connection);
                }
                open
            })
        })
        .collect();
    let open: Vec<_> = workers
        .into_iter()
        .filter_map(|worker| worker.join().ok())
        .collect();
    // What was sent last is read.
    thread::sleep(Duration::from_secs(1));
    open.iter().map(Vec::len).sum()
}

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
    for host in &hosts {
        platform.start(host, true);
    }
    for host in &hosts {
        platform.until_ready(host, &record);
    }
    thread::sleep(Duration::from_secs(3));
    let book = |host: &Host, id: &str| {
        let answer = ask(
            host.front,
            &request("PUT", "/book/1", id, "", b"x"),
            Duration::from_secs(3),
        );
        answer.map(|answer| answer.status())
    };
    for host in &hosts {
        let answered = book(host, &format!("calm-{}", host.name));
        record.add(format!(
            "calm: {} {answered:?}, {:.0} MB",
            host.name,
            platform.memory_mb(host)
        ));
        if answered != Ok(200) {
            record.end(&platform, NOT_RUN, "no answer in calm");
        }
    }

    let platform = Arc::new(platform);
    let mut ends_of = Vec::new();
    for host in &hosts {
        let (ends, peak) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0.0)));
        let watched = (
            platform.clone(),
            host.clone(),
            record.clone(),
            ends.clone(),
            peak.clone(),
        );
        thread::spawn(move || watch(watched.0, watched.1, watched.2, watched.3, watched.4));
        for crowd in 1..=CROWDS {
            if ends.load(Ordering::Relaxed) == ENDS {
                break;
            }
            let begun = Instant::now();
            let open = send_crowd(host, &ends, has_trouble());
            record.add(format!(
                "crowd {crowd} at {}: {open} unfinished look-ups in {:.1} s",
                host.name,
                begun.elapsed().as_secs_f64()
            ));
            let answered = book(host, &format!("after-{crowd}-{}", host.name));
            record.add(format!(
                "ordinary client after crowd {crowd} at {}: {answered:?}",
                host.name
            ));
            platform.until_ready(host, &record);
        }
        let number = ends.load(Ordering::Relaxed);
        record.add(format!(
            "{}: {number} ends, peak memory {:.0} MB",
            host.name,
            *peak.lock().unwrap()
        ));
        ends_of.push(number);
    }
    match ends_of.iter().all(|ends| *ends >= ENDS) {
        true => record.end(
            &platform,
            BROKEN,
            "the processes of both machines exceeded their memory three times",
        ),
        false => record.end(
            &platform,
            HELD,
            "the processes stayed within the memory of their machines",
        ),
    }
}
