//! Clients open connections for look-ups, say nothing and stay; others look for a host.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
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

/// Machines; each serves the directory.
const MACHINES: usize = 2;

/// Silent connections to the directory of each machine, of its 4,100 descriptors.
const SILENT: usize = 920;

/// Time for which the silent connections have been idle when the first ordinary client comes; twice
/// `idle_timeout_s`.
const IDLE_S: f64 = 30.0;

/// Ordinary clients, and the time between two of them.
const CLIENTS: usize = 15;
const PAUSE_S: f64 = 0.5;

/// Time that a client allows each node of the directory.
const LOOKUP_S: u64 = 1;

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
        timeout_s: 2.5,
        service: "huvo11a",
    }];
    store.put("config", "main", &support::config(7, &routes, ""));
    let listener = TcpListener::bind((own_ip(10), 0))?;
    let entry = support::server_entry("huvo11a", listener.local_addr()?, "rosario", 9, "ready", 5);
    store.put("servers", "i-0", &entry);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(Reader::new(stream)));
        }
    });
    let ports = Ports::free(own_ip(2))?;
    let hosts = (0..MACHINES)
        .map(|machine| {
            Host::start(
                temp,
                &ports,
                &HostPlan {
                    name: &format!("front-rosario-{}", machine + 1),
                    ip: own_ip(2 + machine as u8),
                    zone: "rosario",
                    zones: &[("rosario", "centro")],
                    store: store.address,
                    seeds: vec![own_ip(2), own_ip(3)],
                    is_first_start: true,
                    memory_mb: 260,
                    max_fds: 4100,
                    bounds: "",
                },
            )
        })
        .collect::<std::io::Result<Vec<Host>>>()?;
    if !hosts.iter().all(|host| host.until_ready(20.0)) {
        return Err(std::io::Error::other("a host is not ready"));
    }
    sleep_s(5.0);
    let mut silent = Vec::new();
    if has_trouble() {
        for host in &hosts {
            for _ in 0..SILENT {
                silent.push(TcpStream::connect(host.directory)?);
            }
        }
    }
    record.line(format!(
        "clients: {} connections opened that say nothing",
        silent.len()
    ));
    sleep_s(IDLE_S);
    let mut served = 0;
    for n in 0..CLIENTS {
        let id = format!("c{n}");
        let address = hosts.iter().find_map(|host| look_up(host.directory));
        let Some(address) = address else {
            record.line(format!("client {id}: no node of the directory answered"));
            sleep_s(PAUSE_S);
            continue;
        };
        let status = ask(address, &id).unwrap_or(0);
        record.line(format!("client {id}: told {address}, answered {status}"));
        served += usize::from(status == 200);
        sleep_s(PAUSE_S);
    }
    record.line(format!(
        "served {served} of {CLIENTS} requests of clients that came later"
    ));
    drop(silent);
    Ok(match served {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}

fn serve(mut reader: Reader) {
    while let Ok(Some(request)) = reader.message() {
        let id = request.header("X-Attempt-Id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{id}\r\nX-Server-Load: 1,0,9\r\nContent-Length: 5\r\n\r\ndone\n"
        );
        if reader.stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Asks one node of the directory; returns the first address that it names.
fn look_up(directory: SocketAddr) -> Option<SocketAddr> {
    let limit = Duration::from_secs(LOOKUP_S);
    let stream = TcpStream::connect_timeout(&directory, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut reader = Reader::new(stream);
    let text = format!(
        "GET /resolve?name={}&region=centro&zone=rosario HTTP/1.1\r\nHost: {directory}\r\n\r\n",
        support::DOMAIN
    );
    reader.stream.write_all(text.as_bytes()).ok()?;
    let answer = reader.message().ok()??;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let address = body.split(r#""addresses":[""#).nth(1)?.split('"').next()?;
    address.parse().ok()
}

/// Sends a request to a host; returns the status of the answer.
fn ask(front: SocketAddr, id: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut reader = Reader::new(stream);
    let text = format!(
        "GET /read/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n",
        support::DOMAIN
    );
    reader.stream.write_all(text.as_bytes()).ok()?;
    Some(reader.message().ok()??.status())
}
