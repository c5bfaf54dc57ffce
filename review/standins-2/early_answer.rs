//! A server answers before it has read a long body, reads on later, and leaves meanwhile.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{Arc, Mutex, mpsc},
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

/// Bytes of a long body, below `max_body_bytes`.
const LONG_BYTES: usize = 24 << 20;

/// Time for which a server that has answered early does not read the rest of the body.
const PAUSE_S: f64 = 5.0;

/// Time limit of the clients, and the route's timeout.
const LIMIT_S: f64 = 6.0;

/// Bound of the deployment.
const DRAIN_S: f64 = 2.5;

/// Servers; the first one leaves.
const SERVERS: usize = 3;

/// Time for which a leaving server serves on after `drain_s`, before it exits.
const LONGER_S: f64 = 2.2;

/// Work of a short request.
const WORK_S: f64 = 0.8;

/// Arrival of a short request at a server.
struct Arrival {
    server: usize,
    id: String,
    at: f64,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Connections of the server that leaves; `None` once it has exited.
type Connections = Arc<Mutex<Option<Vec<TcpStream>>>>;

pub fn run(record: &Path) -> Result<Verdict, String> {
    let record = Record::open(record).map_err(|e| e.to_string())?;
    let temp = TempDir::create().map_err(|e| e.to_string())?;
    play(&record, &temp.0).map_err(|e| e.to_string())
}

fn play(record: &Record, temp: &Path) -> std::io::Result<Verdict> {
    let store = Store::start(own_ip(1))?;
    let routes = [Route {
        name: "r-book",
        prefix: "/book/",
        kind: "unsafe",
        timeout_s: LIMIT_S,
        service: "huvo11a",
    }];
    store.put("config", "main", &support::config(7, &routes, ""));
    let arrivals = Arrivals::default();
    let leaving = Arc::new(Mutex::new(Some(Vec::new())));
    let born = support::unix_ms() - 60_000;
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let listener = TcpListener::bind((own_ip(10 + i as u8), 0))?;
        let address = listener.local_addr()?;
        servers.push(address);
        let open = leaving.clone();
        start_server(listener, i, record.clone(), arrivals.clone(), open);
        put_server(&store, i, address, "ready", born);
    }
    let ports = Ports::free(own_ip(2))?;
    let zones = [("rosario", "centro")];
    let host = Host::start(
        temp,
        &ports,
        &HostPlan {
            name: "front-rosario-1",
            ip: own_ip(2),
            zone: "rosario",
            zones: &zones,
            store: store.address,
            seeds: vec![own_ip(2)],
            is_first_start: true,
            memory_mb: 260,
            max_fds: 4100,
            bounds: "",
        },
    )?;
    if !host.until_ready(20.0) {
        return Err(std::io::Error::other("the host is not ready"));
    }
    // The machine is in touch from here on.
    sleep_s(5.0);
    let (tx, rx) = mpsc::channel();
    let mut senders = 0;
    // One long request to each server: with all slots equal, each goes to another one.
    for n in 0..SERVERS {
        let (record, tx, front) = (record.clone(), tx.clone(), host.front);
        thread::spawn(move || {
            send(&record, front, &format!("long-{n}"), LONG_BYTES);
            let _ = tx.send(());
        });
        senders += 1;
    }
    sleep_s(0.5);
    // Short requests of other clients.
    for n in 0..2 * SERVERS {
        let (record, tx, front) = (record.clone(), tx.clone(), host.front);
        thread::spawn(move || {
            send(&record, front, &format!("short-{n}"), 300);
            let _ = tx.send(());
        });
        senders += 1;
    }
    sleep_s(0.2);
    put_server(&store, 0, servers[0], "draining", born);
    let accepted = record.now();
    record.line("store: accepted that server i-0 is draining");
    sleep_s(DRAIN_S + LONGER_S);
    record.line("server i-0: exits");
    for connection in leaving.lock().unwrap().take().into_iter().flatten() {
        let _ = connection.shutdown(Shutdown::Both);
    }
    store.remove("servers", "i-0");
    for _ in 0..senders {
        let _ = rx.recv_timeout(Duration::from_secs(30));
    }
    let end = accepted + DRAIN_S;
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.server == 0 && arrival.at > end)
        .collect();
    for arrival in &late {
        record.line(format!(
            "DRAIN broken: {} reached server i-0 at {:.3}, {:.3} s after the store had accepted that it is draining; drain_s is {DRAIN_S}",
            arrival.id,
            arrival.at,
            arrival.at - accepted
        ));
    }
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn put_server(store: &Store, i: usize, address: SocketAddr, state: &str, born: u64) {
    let entry = support::server_entry("huvo11a", address, "rosario", 9, state, born);
    store.put("servers", &format!("i-{i}"), &entry);
}

fn start_server(
    listener: TcpListener,
    i: usize,
    record: Record,
    arrivals: Arrivals,
    open: Connections,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if i == 0 {
                match open.lock().unwrap().as_mut() {
                    Some(open) => open.extend(stream.try_clone().ok()),
                    None => return,
                }
            }
            let (record, arrivals) = (record.clone(), arrivals.clone());
            thread::spawn(move || serve(Reader::new(stream), i, &record, &arrivals));
        }
    });
}

fn serve(mut reader: Reader, i: usize, record: &Record, arrivals: &Arrivals) {
    while let Ok(Some(head)) = reader.head() {
        let id = support::header(&head, "X-Attempt-Id")
            .unwrap_or_default()
            .to_string();
        let length = support::header(&head, "Content-Length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        record.line(format!("server i-{i}: {id} arrived, {length} bytes"));
        let is_long = length >= LONG_BYTES;
        if is_long && has_trouble() {
            // The answer comes before the body is in; the rest is read later.
            answer(&mut reader.stream, &id);
            record.line(format!("server i-{i}: answered {id}, reads its body later"));
            sleep_s(PAUSE_S);
            let seen = reader.skip_body(length);
            record.line(format!("server i-{i}: read {seen} bytes of {id}"));
            continue;
        }
        if !is_long {
            let at = record.now();
            arrivals.lock().unwrap().push(Arrival {
                server: i,
                id: id.clone(),
                at,
            });
        }
        let seen = reader.skip_body(length);
        if seen < length {
            record.line(format!("server i-{i}: {id} broke off at {seen} bytes"));
            return;
        }
        sleep_s(WORK_S);
        match answer(&mut reader.stream, &id) {
            true => record.line(format!("server i-{i}: ran and answered {id}")),
            false => return record.line(format!("server i-{i}: ended with {id} at work")),
        }
    }
}

fn answer(stream: &mut TcpStream, id: &str) -> bool {
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{id}\r\nX-Server-Load: 1,0,9\r\nContent-Length: 5\r\n\r\ndone\n"
    );
    stream.write_all(text.as_bytes()).is_ok()
}

fn send(record: &Record, front: SocketAddr, id: &str, bytes: usize) {
    let Ok(stream) = TcpStream::connect(front) else {
        return record.line(format!("client: {id} got no connection"));
    };
    let mut reader = Reader::new(stream);
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {bytes}\r\n\r\n",
        support::DOMAIN,
        LIMIT_S * 1000.0
    );
    record.line(format!("client: {id} sent, {bytes} bytes"));
    let mut writer = reader.stream.try_clone().unwrap();
    let _ = writer.write_all(head.as_bytes());
    // The answer is read beside the sending.
    let body = thread::spawn(move || writer.write_all(&vec![b'x'; bytes]).is_ok());
    match reader.message() {
        Ok(Some(answer)) => record.line(format!("client: {id} answered {}", answer.status())),
        _ => record.line(format!("client: {id} got no answer")),
    }
    let is_sent = body.join().unwrap_or(false);
    record.line(format!("client: {id} has sent its whole body: {is_sent}"));
}
