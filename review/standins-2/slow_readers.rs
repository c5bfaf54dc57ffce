//! Clients read large answers slowly; the platform kills a process that exceeds its memory.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    support::{
        self, Host, HostPlan, Ports, Reader, Record, Route, Store, TempDir, has_trouble, own_ip,
        sleep_s,
    },
};

/// Memory and descriptors of a machine: the smallest that the deployment has.
const MEMORY_MB: usize = 112;
const MAX_FDS: u32 = 2870;

/// Clients of a machine at a time; the machine itself takes up to 1,344.
const CLIENTS: usize = 240;

/// Bytes of an answer.
const ANSWER_BYTES: usize = 16 << 20;

/// Bytes a second that a slow client reads.
const SLOW_BYTES_PER_S: usize = 32 << 10;

/// Time limit of the clients, and the route's timeout.
const LIMIT_S: f64 = 15.0;

/// Time after which a server cuts off an answer that remains unread.
const UNREAD_S: u64 = 5;

/// Machines, and crowds that each of them meets.
const MACHINES: usize = 2;
const ROUNDS: usize = 3;

/// Time for which a crowd stays.
const ROUND_S: f64 = 9.0;

/// Servers, with 9 slots each.
const SERVERS: usize = 28;

pub fn run(record: &Path) -> Result<Verdict, String> {
    let record = Record::open(record).map_err(|e| e.to_string())?;
    let temp = TempDir::create().map_err(|e| e.to_string())?;
    play(&record, &temp.0).map_err(|e| e.to_string())
}

fn play(record: &Record, temp: &Path) -> std::io::Result<Verdict> {
    let store = Store::start(own_ip(1))?;
    let routes = [Route {
        name: "r-read",
        prefix: "/read/",
        kind: "safe",
        timeout_s: LIMIT_S,
        service: "huvo11a",
    }];
    store.put("config", "main", &support::config(7, &routes, ""));
    let cut = Arc::new(AtomicUsize::new(0));
    for i in 0..SERVERS {
        let listener = TcpListener::bind((own_ip(10 + i as u8), 0))?;
        let entry =
            support::server_entry("huvo11a", listener.local_addr()?, "centro-a", 9, "ready", 5);
        store.put("servers", &format!("i-{i}"), &entry);
        start_server(listener, cut.clone());
    }
    let ports = Ports::free(own_ip(2))?;
    let mut ends = [0; MACHINES];
    let start = |machine: usize, is_first_start: bool| {
        Host::start(
            temp,
            &ports,
            &HostPlan {
                name: &format!("front-centro-a-{}", machine + 1),
                ip: own_ip(2 + machine as u8),
                zone: "centro-a",
                zones: &[("centro-a", "centro")],
                store: store.address,
                seeds: vec![own_ip(2), own_ip(3)],
                is_first_start,
                memory_mb: MEMORY_MB as u32,
                max_fds: MAX_FDS,
                bounds: "",
            },
        )
    };
    let mut hosts = (0..MACHINES)
        .map(|m| start(m, true))
        .collect::<std::io::Result<Vec<Host>>>()?;
    sleep_s(4.0);
    for machine in 0..MACHINES {
        for round in 0..ROUNDS {
            if !hosts[machine].until_ready(20.0) {
                return Err(std::io::Error::other("a host is not ready"));
            }
            sleep_s(0.5);
            let is_killed = meet_crowd(record, &mut hosts[machine], machine, round);
            if is_killed {
                ends[machine] += 1;
                hosts[machine] = start(machine, false)?;
            }
        }
    }
    record.line(format!(
        "servers cut off {} unread answers",
        cut.load(Ordering::Relaxed)
    ));
    record.line(format!(
        "processes ended for their memory, by machine: {ends:?}"
    ));
    // Two machines at least, three times each.
    let is_broken = ends.iter().all(|ends| *ends >= ROUNDS);
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Has a crowd ask a machine; returns whether the platform killed its process.
fn meet_crowd(record: &Record, host: &mut Host, machine: usize, round: usize) -> bool {
    let results = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (results, is_over, front) = (results.clone(), is_over.clone(), host.front);
            let id = format!("m{machine}-r{round}-{n}");
            let client = thread::Builder::new().stack_size(256 << 10);
            client.spawn(move || {
                sleep_s(n as f64 * 0.02);
                let result = ask(front, &id, &is_over);
                *results.lock().unwrap().entry(result).or_default() += 1;
            })
        })
        .collect();
    let end = Instant::now() + Duration::from_secs_f64(ROUND_S);
    let mut peak = 0;
    let mut is_killed = false;
    while Instant::now() < end {
        let memory = host.memory_kb("VmRSS");
        peak = peak.max(memory);
        if memory > MEMORY_MB << 10 {
            record.line(format!(
                "platform: machine {machine} holds {} MB of {MEMORY_MB}; its process is killed",
                memory >> 10
            ));
            host.kill();
            is_killed = true;
            break;
        }
        sleep_s(0.02);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients.into_iter().flatten() {
        let _ = client.join();
    }
    record.line(format!(
        "machine {machine}, crowd {round}: peak {} MB; clients: {:?}",
        peak >> 10,
        results.lock().unwrap()
    ));
    is_killed
}

/// Asks for an answer and reads it; returns what became of it.
fn ask(front: SocketAddr, id: &str, is_over: &AtomicBool) -> String {
    let Ok(stream) = TcpStream::connect(front) else {
        return "no connection".to_string();
    };
    support::set_buffer(&stream, true, 64 << 10);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut reader = Reader::new(stream);
    let text = format!(
        "GET /read/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
        support::DOMAIN,
        LIMIT_S * 1000.0
    );
    if reader.stream.write_all(text.as_bytes()).is_err() {
        return "no connection".to_string();
    }
    let mut part = vec![0; 64 << 10];
    let step = match has_trouble() {
        true => SLOW_BYTES_PER_S / 10,
        false => part.len(),
    };
    let mut read = 0;
    let mut status = 0;
    while !is_over.load(Ordering::Relaxed) {
        match reader.stream.read(&mut part[..step]) {
            Ok(0) => return format!("{status} cut off"),
            Ok(bytes) => {
                if read == 0 {
                    let head = String::from_utf8_lossy(&part[..bytes]);
                    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok());
                    status = code.unwrap_or(0);
                    if status != 200 {
                        return format!("{status}");
                    }
                }
                read += bytes;
                if read > ANSWER_BYTES {
                    return format!("{status} whole");
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return format!("{status} cut off"),
        }
        if has_trouble() {
            sleep_s(0.1);
        }
    }
    format!("{status} still reading")
}

fn start_server(listener: TcpListener, cut: Arc<AtomicUsize>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            let server = thread::Builder::new().stack_size(256 << 10);
            let _ = server.spawn(move || serve(stream, &cut));
        }
    });
}

/// Answers requests one by one; an answer that remains unread is cut off.
fn serve(stream: TcpStream, cut: &AtomicUsize) {
    support::set_buffer(&stream, false, 64 << 10);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(UNREAD_S)));
    let mut reader = Reader::new(stream);
    let part = vec![b'x'; 64 << 10];
    while let Ok(Some(head)) = reader.head() {
        let id = support::header(&head, "X-Attempt-Id").unwrap_or_default();
        sleep_s(0.05);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{id}\r\nX-Server-Load: 1,0,9\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
        );
        let mut is_written = reader.stream.write_all(text.as_bytes()).is_ok();
        for _ in 0..ANSWER_BYTES / part.len() {
            is_written = is_written && reader.stream.write_all(&part).is_ok();
        }
        if !is_written {
            cut.fetch_add(1, Ordering::Relaxed);
            return;
        }
    }
}
