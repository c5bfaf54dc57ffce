//! A server of a service, as PROTOCOL.md tells: it runs requests in slots, queues a few, names
//! itself, and keeps to the deadline that it is given.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, json, record};

/// How a server is set up.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    /// Time for which it is slow after its start, as its entry says.
    pub warmup_s: f64,
    /// Whether a request crashes the server.
    pub is_deadly: Option<Arc<IsDeadly>>,
    /// Time that a request takes, by its path.
    pub work: Arc<dyn Fn(&str) -> Duration + Send + Sync>,
}

/// Whether a request crashes the server that begins to run it.
pub type IsDeadly = dyn Fn(&http::Message) -> bool + Send + Sync;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Shared {
    options: Options,
    address: SocketAddr,
    /// Milliseconds since the Unix epoch.
    born: u128,
    record: record::Record,
    load: Mutex<Load>,
    freed: Condvar,
    is_stopped: AtomicBool,
    is_leaving: AtomicBool,
    has_crashed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Server {
    pub fn start(ip: &str, options: Options, record: &record::Record) -> Server {
        let listener = TcpListener::bind((ip, 0)).expect("the server listens");
        let address = listener.local_addr().expect("the server has an address");
        let server = Server {
            address,
            shared: Arc::new(Shared {
                options,
                address,
                born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis()),
                record: record.clone(),
                load: Mutex::default(),
                freed: Condvar::new(),
                is_stopped: AtomicBool::new(false),
                is_leaving: AtomicBool::new(false),
                has_crashed: AtomicBool::new(false),
                streams: Mutex::default(),
            }),
        };
        let shared = server.shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                shared.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let shared = shared.clone();
                thread::spawn(move || shared.serve(http::Connection::new(stream)));
            }
        });
        server
    }

    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    pub fn zone(&self) -> &str {
        &self.shared.options.zone
    }

    /// The server's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let options = &self.shared.options;
        format!(
            r#"{{"service":{},"address":"{}","zone":{},"version":"v1","slots":{},"state":"{state}","warmup_left_s":{},"sequence":1,"born":{}}}"#,
            json::quote(&options.service),
            self.address,
            json::quote(&options.zone),
            options.slots,
            options.warmup_s,
            self.shared.born
        )
    }

    /// From now on all its answers say that it leaves; it serves on.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the server: its connections close and its address refuses new ones.
    pub fn stop(&self) {
        self.shared.stop(self.address);
    }

    /// Whether the server has crashed since the last call.
    pub fn take_crash(&self) -> bool {
        self.shared.has_crashed.swap(false, Ordering::SeqCst)
    }
}

impl Shared {
    fn stop(&self, address: SocketAddr) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // The thread that accepts ends with the next connection.
        let _ = TcpStream::connect(address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: http::Connection) {
        while let Ok(Some(req)) = connection.read() {
            let (status, mut headers, body) = self.respond(&req);
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            if is_leaving {
                headers.push(("Server-Leaving".to_string(), "1".to_string()));
                headers.push(("Connection".to_string(), "close".to_string()));
            }
            let start = format!("HTTP/1.1 {status} X");
            let headers: Vec<(&str, &str)> =
                headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
            let written = connection.write(&start, &headers, body.as_bytes());
            if written.is_err() || is_leaving {
                return;
            }
        }
    }

    fn respond(&self, req: &http::Message) -> (u16, Vec<(String, String)>, String) {
        let arrived = Instant::now();
        let id = req.header("X-Attempt-Id").unwrap_or("").to_string();
        let own = &self.options.id;
        let named = |name: &str, value: &str| (name.to_string(), value.to_string());
        let mut headers = vec![named("X-Instance-Id", own)];
        if req.target() == "/health" {
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            return (if is_leaving { 503 } else { 200 }, headers, String::new());
        }
        headers.push(named("X-Attempt-Id", &id));
        if req.header("X-Target-Instance").is_some_and(|target| target != own) {
            return (421, headers, String::new());
        }
        if id.is_empty() {
            headers.push(named("X-Not-Executed", "1"));
            return (400, headers, String::new());
        }
        let left = req.header("X-Deadline-Ms").and_then(|ms| ms.parse().ok());
        let deadline = arrived + Duration::from_millis(left.unwrap_or(60_000));
        let detail = format!("{own} zone {} {} {}", self.options.zone, req.method(), req.target());
        self.record.add("arrived", &id, detail.clone());
        if !self.acquire(deadline) {
            headers.push(named("X-Not-Executed", "1"));
            self.record.add("shed", &id, detail);
            return (503, headers, String::new());
        }
        self.record.add("run", &id, detail.clone());
        if self.options.is_deadly.as_ref().is_some_and(|is_deadly| is_deadly(req)) {
            self.record.add("crash", &id, detail.clone());
            self.has_crashed.store(true, Ordering::SeqCst);
            self.stop(self.address);
        }
        let work = (self.options.work)(req.target());
        let time = work.min(deadline.saturating_duration_since(Instant::now()));
        thread::sleep(time);
        let load = self.release();
        headers.push(named("X-Server-Load", &load));
        headers.push(named("X-Response-Signature", &format!("sig-{own}-{id}")));
        if self.is_stopped.load(Ordering::SeqCst) {
            self.record.add("cut", &id, detail);
            return (500, headers, String::new());
        }
        self.record.add("done", &id, detail);
        match time < work {
            true => (504, headers, String::new()),
            false => (200, headers, format!("result of {id}")),
        }
    }

    /// Waits for a slot; false if the queue is full or the deadline passes.
    fn acquire(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.options.slots && load.waiting >= self.options.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.options.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn release(&self) -> String {
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        self.freed.notify_one();
        format!("{},{},{}", load.running, load.waiting, self.options.slots)
    }
}
