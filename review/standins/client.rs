//! Clients: they look up hosts and send requests, as PROTOCOL.md tells.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    os::fd::{FromRawFd, OwnedFd, RawFd},
    time::{Duration, Instant},
};

use crate::{host, http, json, record};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn bind(fd: RawFd, address: *const SockAddr, length: u32) -> i32;
    fn connect(fd: RawFd, address: *const SockAddr, length: u32) -> i32;
}

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;

impl SockAddr {
    fn new(ip: Ipv4Addr, port: u16) -> SockAddr {
        let (family, port) = (AF_INET as u16, port.to_be_bytes());
        SockAddr { family, port, ip: ip.octets(), zero: [0; 8] }
    }
}

/// Connects from an address of this machine: hosts tell clients apart by their addresses.
pub fn connect_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let length = size_of::<SockAddr>() as u32;
    // SAFETY: plain system calls with addresses that outlive them.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(fd);
        let (own, peer) = (SockAddr::new(from, 0), SockAddr::new(*to.ip(), to.port()));
        if bind(fd, &own, length) != 0 || connect(fd, &peer, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}

/// A client with at most one connection, which it keeps.
pub struct Client {
    pub name: String,
    pub address: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub host_name: String,
    /// Directory addresses, nearest first.
    pub directories: Vec<SocketAddr>,
    pub record: record::Record,
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
    /// Times that a look-up is kept as long as it says: some clients keep it three times as long.
    kept_for: u32,
    connection: Option<(SocketAddr, http::Connection)>,
    sent: u64,
    /// Retry-After of the last answer.
    pub retry_after: Option<Duration>,
    /// Object that all its requests are about; they are about different ones without it.
    pub object: Option<u64>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Status(u16),
    /// No connection to any host.
    NoConnection,
    /// The connection ended, or the time limit passed, without a complete answer.
    NoAnswer,
}

impl Client {
    pub fn new(
        name: &str,
        address: Ipv4Addr,
        (zone, region): (&str, &str),
        host_name: &str,
        directories: Vec<SocketAddr>,
        record: &record::Record,
    ) -> Client {
        Client {
            name: name.to_string(),
            address,
            zone: zone.to_string(),
            region: region.to_string(),
            host_name: host_name.to_string(),
            directories,
            record: record.clone(),
            addresses: Vec::new(),
            valid_until: None,
            kept_for: 1,
            connection: None,
            sent: 0,
            retry_after: None,
            object: None,
        }
    }

    pub fn with_kept_for(mut self, kept_for: u32) -> Client {
        self.kept_for = kept_for;
        self
    }

    fn look_up(&mut self) {
        if self.valid_until.is_some_and(|until| Instant::now() < until) {
            return;
        }
        let (name, region, zone) = (&self.host_name, &self.region, &self.zone);
        let target = format!("/resolve?name={name}&region={region}&zone={zone}");
        for directory in self.directories.iter().take(3) {
            let Some(reply) = host::get_from(self.address, *directory, &target) else {
                continue;
            };
            let body = reply.body_text();
            let addresses = json::field(&body, "addresses").map(json::strings);
            let addresses: Vec<SocketAddr> = addresses
                .unwrap_or_default()
                .iter()
                .filter_map(|address| address.parse().ok())
                .collect();
            if reply.status() == 200 && !addresses.is_empty() {
                let ttl = json::field(&body, "ttl_s").and_then(|ttl| ttl.parse().ok());
                let ttl = Duration::from_secs_f64(ttl.unwrap_or(1.0)) * self.kept_for;
                self.valid_until = Some(Instant::now() + ttl);
                let used = self.connection.as_ref().map(|(address, _)| *address);
                if used.is_some_and(|used| !addresses.contains(&used)) {
                    self.connection = None;
                }
                self.addresses = addresses;
                return;
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        let start = self.sent as usize;
        for i in 0..self.addresses.len() {
            let address = self.addresses[(start + i) % self.addresses.len()];
            if let Ok(stream) = connect_from(self.address, address) {
                self.connection = Some((address, http::Connection::new(stream)));
                return true;
            }
        }
        false
    }

    /// Sends a request and waits for its end, for `limit` at most.  Returns its id and its end.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8], limit: Duration) -> (String, End) {
        self.look_up();
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        if !self.connect() {
            self.record.add("no-connection", &id, "");
            return (id, End::NoConnection);
        }
        let Some((address, mut connection)) = self.connection.take() else {
            return (id, End::NoConnection);
        };
        let detail = format!("{method} {path} to {address}");
        self.record.add("sent", &id, detail);
        let end = self.exchange(&mut connection, &id, method, path, body, limit);
        match end {
            Ok((status, is_signed, keeps)) => {
                let by = if is_signed { "server" } else { "host" };
                self.record.add("answered", &id, format!("{status} by {by}"));
                if keeps {
                    self.connection = Some((address, connection));
                }
                (id, End::Status(status))
            }
            Err(e) => {
                self.record.add("no-answer", &id, e.to_string());
                (id, End::NoAnswer)
            }
        }
    }

    fn exchange(
        &mut self,
        connection: &mut http::Connection,
        id: &str,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> io::Result<(u16, bool, bool)> {
        let start = format!("{method} {path} HTTP/1.1");
        let object = self.object.unwrap_or((u64::from(self.address.octets()[3]) + self.sent) % 30);
        let (cookie, ms) = (format!("X-Affinity-Key={object}"), limit.as_millis().to_string());
        let headers = [
            ("Host", self.host_name.as_str()),
            ("X-Attempt-Id", id),
            ("Cookie", &cookie),
            ("X-Deadline-Ms", &ms),
        ];
        connection.stream.set_read_timeout(Some(limit))?;
        connection.write(&start, &headers, body)?;
        self.record.add("sent-whole", id, "");
        let reply = connection.read()?.ok_or(io::ErrorKind::ConnectionAborted)?;
        let closes = reply.header("Connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        let seconds = reply.header("Retry-After").and_then(|seconds| seconds.parse().ok());
        self.retry_after = seconds.map(Duration::from_secs_f64);
        let is_signed = reply.header("X-Response-Signature").is_some();
        Ok((reply.status(), is_signed, !closes))
    }
}
