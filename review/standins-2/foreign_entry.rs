//! Another writer leaves one odd entry among those of the servers; then the operator moves a route.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    support::{
        self, Host, HostPlan, Ports, Reader, Record, Route, Store, TempDir, has_trouble, own_ip,
        sleep_s,
    },
};

/// A remaining time of -30,000 ms that its writer keeps in an unsigned number.
const ODD_WARMUP: u64 = 0_u64.wrapping_sub(30_000);

/// Bounds of the deployment.
const CONFIG_APPLY_S: f64 = 2.5;
const DRAIN_S: f64 = 2.5;

/// Time for which clients send requests after the change, and the time between two of them.
const REQUESTS_S: f64 = 10.0;
const PAUSE_S: f64 = 0.2;

/// Services; the route moves from the first to the second.
const OLD: &str = "huvo11a";
const NEW: &str = "wuno96b";

/// Machines, one in each zone.
const ZONES: [(&str, &str); 2] = [("rosario", "centro"), ("mendoza", "andes")];

/// A run of a request at a server.
struct Run {
    id: String,
    server: String,
    at: f64,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn run(record: &Path) -> Result<Verdict, String> {
    let record = Record::open(record).map_err(|e| e.to_string())?;
    let temp = TempDir::create().map_err(|e| e.to_string())?;
    play(&record, &temp.0).map_err(|e| e.to_string())
}

fn configuration(version: u64, service: &str) -> String {
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "unsafe",
        timeout_s: 2.5,
        service,
    };
    let routes = [
        route("r-book", "/book/", service),
        route("r-old", "/old/", OLD),
        route("r-new", "/new/", NEW),
    ];
    support::config(version, &routes, "")
}

fn play(record: &Record, temp: &Path) -> std::io::Result<Verdict> {
    let store = Store::start(own_ip(1))?;
    store.put("config", "main", &configuration(7, OLD));
    let runs = Runs::default();
    let born = support::unix_ms() - 60_000;
    let mut drained = None;
    for (i, service) in [OLD, OLD, NEW, NEW].into_iter().enumerate() {
        for (z, (zone, _)) in ZONES.iter().enumerate() {
            let listener = TcpListener::bind((own_ip(10 + 2 * i as u8 + z as u8), 0))?;
            let address = listener.local_addr()?;
            let name = format!("i-{service}-{zone}-{i}");
            let entry = |state| support::server_entry(service, address, zone, 9, state, born);
            store.put("servers", &name, &entry("ready"));
            // The first server leaves later.
            drained.get_or_insert((name.clone(), entry("draining")));
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (record, runs, name) = (record.clone(), runs.clone(), name.clone());
                    thread::spawn(move || serve(Reader::new(stream), &name, &record, &runs));
                }
            });
        }
    }
    let ports = Ports::free(own_ip(2))?;
    let start = |machine: usize, is_first_start: bool| {
        let zone = ZONES[machine].0;
        Host::start(
            temp,
            &ports,
            &HostPlan {
                name: &format!("front-{zone}-1"),
                ip: own_ip(2 + machine as u8),
                zone,
                zones: &ZONES,
                store: store.address,
                seeds: vec![own_ip(2), own_ip(3)],
                is_first_start,
                memory_mb: 260,
                max_fds: 4100,
                bounds: "",
            },
        )
    };
    let mut hosts = (0..2)
        .map(|m| start(m, true))
        .collect::<std::io::Result<Vec<Host>>>()?;
    if !hosts.iter().all(|host| host.until_ready(20.0)) {
        return Err(std::io::Error::other("a host is not ready"));
    }
    sleep_s(5.0);
    if has_trouble() {
        let entry = format!(
            r#"{{"service":"{OLD}","address":"{}:9","zone":"rosario","version":"v1","slots":9,"state":"ready","warmup_left_s":{ODD_WARMUP},"sequence":1,"born":{born}}}"#,
            own_ip(99)
        );
        store.put("servers", "i-foreign", &entry);
        record.line(format!(
            "another writer: wrote the entry servers/i-foreign: {entry}"
        ));
    }
    sleep_s(4.0);
    store.put("config", "main", &configuration(9, NEW));
    let confirmed = record.now();
    record.line(format!(
        "operator: r9 confirmed, r-book moves from {OLD} to {NEW}"
    ));
    let (name, entry) = drained.unwrap_or_default();
    store.put("servers", &name, &entry);
    record.line(format!("server {name}: draining, accepted by the store"));
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(machine, host)| {
            let (record, front) = (record.clone(), host.front);
            thread::spawn(move || ask_for_a_while(&record, front, machine))
        })
        .collect();
    let sent: Vec<(String, f64)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let mut stale = 0;
    let mut late = 0;
    {
        let runs = runs.lock().unwrap();
        for run in runs.iter() {
            let sent_at = sent.iter().find(|(id, _)| *id == run.id).map(|(_, at)| *at);
            let is_old = run.server.contains(OLD);
            if run.id.starts_with("book") && is_old && sent_at > Some(confirmed + CONFIG_APPLY_S) {
                stale += 1;
            }
            late += usize::from(run.server == name && run.at > confirmed + DRAIN_S);
        }
    }
    record.line(format!(
        "CONFIG: {stale} requests sent later than {CONFIG_APPLY_S} s after r9 was confirmed were run by the old service"
    ));
    record.line(format!(
        "DRAIN: {late} requests reached {name} later than {DRAIN_S} s after it was draining"
    ));
    // What a restart brings; it does not count for the verdict.
    hosts[0].kill();
    hosts[0] = start(0, false)?;
    let is_ready = hosts[0].until_ready(10.0);
    record.line(format!(
        "platform: machine 0 restarted; ready within 10 s: {is_ready}"
    ));
    Ok(match stale + late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends requests to one host, one after the other; returns when each was sent.
fn ask_for_a_while(record: &Record, front: SocketAddr, machine: usize) -> Vec<(String, f64)> {
    let mut sent = Vec::new();
    let end = record.now() + REQUESTS_S;
    while record.now() < end {
        let prefix = ["book", "old"][sent.len() % 2];
        let id = format!("{prefix}-{machine}-{}", sent.len());
        sent.push((id.clone(), record.now()));
        let status = ask(front, prefix, &id).unwrap_or(0);
        record.line(format!(
            "client: {id} to machine {machine}, answered {status}"
        ));
        sleep_s(PAUSE_S);
    }
    sent
}

fn ask(front: SocketAddr, prefix: &str, id: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut reader = Reader::new(stream);
    let text = format!(
        "POST /{prefix}/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\nContent-Length: 3\r\n\r\nabc",
        support::DOMAIN
    );
    reader.stream.write_all(text.as_bytes()).ok()?;
    Some(reader.message().ok()??.status())
}

fn serve(mut reader: Reader, name: &str, record: &Record, runs: &Runs) {
    while let Ok(Some(request)) = reader.message() {
        let id = request
            .header("X-Attempt-Id")
            .unwrap_or_default()
            .to_string();
        record.line(format!("server {name}: runs {id}"));
        runs.lock().unwrap().push(Run {
            id: id.clone(),
            server: name.to_string(),
            at: record.now(),
        });
        sleep_s(0.02);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{id}\r\nX-Server-Load: 1,0,9\r\nKeep-Alive: timeout=10\r\nContent-Length: 5\r\n\r\ndone\n"
        );
        if reader.stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
