//! What callers and backend servers saw in a run.

use std::{collections, sync, time};

use crate::{keys, plan};

/// Time since the start of the run.
pub type At = time::Duration;

/// Id of a request.
pub type RequestId = String;

/// A request that reached a backend server which did not turn it away for another's name.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request.
    pub request: RequestId,
    /// Name of the backend server.
    pub server: String,
    /// Names of customers that it came with.
    pub customers: Vec<String>,
    /// Whether a key came with it.
    pub has_key: bool,
    /// When.
    pub at: At,
}

/// A request that a backend server ran, and the answer that it made.
#[derive(Clone, Debug)]
pub struct Run {
    /// Signature of the answer.
    pub signature: String,
    /// Status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// An answer came.
    Answer {
        /// Status.
        status: u16,
        /// Signature, if it has one.
        signature: Option<String>,
        /// Body, as far as it came.
        body: String,
        /// Whether all of the body came.
        is_whole: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// None came in time.
    Nothing,
    /// The caller left before the answer.
    Left,
    /// It stood behind an answer that closed the connection, or the connection ended while the caller
    /// did not read.
    Unread,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Key that it was sent with.
    pub key: keys::Key,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Host that it was sent to.
    pub host: usize,
    /// When its last byte was sent.
    pub sent: At,
    /// When it ended.
    pub ended: At,
    /// When its connection was opened.
    pub opened: At,
    /// How it ended.
    pub end: End,
}

/// A question of the run itself whether a host has a version in force.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Host.
    pub host: usize,
    /// Number of starts of the host's process so far.
    pub lifetime: u32,
    /// Version.
    pub version: u64,
    /// When it was sent.
    pub at: At,
    /// Whether the version was in force; nothing where the host did not tell.
    pub is_in_force: Option<bool>,
}

/// A time in which something was wrong.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Begin.
    pub from: At,
    /// End.
    pub to: At,
}

impl Span {
    /// Whether it shares a moment with another one.
    pub fn meets(&self, other: &Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// A backend server that was told to leave, or whose entry was removed.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Name.
    pub server: String,
    /// When the store had it.
    pub at: At,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Seen {
    /// Arrivals at backend servers, by time.
    pub arrivals: Vec<Arrival>,
    /// Runs of each request.
    pub runs: collections::HashMap<RequestId, Vec<Run>>,
    /// Requests of callers.
    pub requests: Vec<Request>,
    /// Questions for versions.
    pub probes: Vec<Probe>,
    /// When the store had each version.
    pub versions: Vec<(u64, At)>,
    /// Leaving backend servers.
    pub leaving: Vec<Leaving>,
    /// Cold times of backend servers that started during the traffic.
    pub cold: Vec<(String, Span)>,
    /// Backend servers that said something of themselves, and in which time.
    pub signals: Vec<(String, plan::Signal, Span)>,
    /// Pauses that backend servers asked for with a refusal: the server, the refused request, and
    /// the time.
    pub pauses: Vec<(String, RequestId, Span)>,
    /// Evacuated data centres: the backend servers in them, and the time.
    pub evacuations: Vec<(Vec<String>, Span)>,
    /// Times in which a host was killed, stood still, or its link to callers was harmed.
    pub harmed: Vec<(usize, Span)>,
    /// Times in which any unplanned fault was active.
    pub unplanned: Vec<Span>,
    /// Times in which a host was stopping by plan.
    pub stops: Vec<(usize, Span)>,
    /// Starts of each host's process.
    pub starts: collections::HashMap<usize, u32>,
    /// Hosts that did not end by themselves after SIGTERM, or with a failure.
    pub bad_exits: Vec<String>,
    /// Lines of hosts' logs that hold a key.
    pub lines_with_keys: Vec<String>,
    /// Since when all faults are over.
    pub healed: At,
}

impl Seen {
    /// Number of starts of a host's process.
    pub fn starts_of(&self, host: usize) -> u32 {
        self.starts.get(&host).copied().unwrap_or(0)
    }
}

/// Shared record of what was seen.
#[derive(Clone)]
pub struct Book {
    start: time::Instant,
    seen: sync::Arc<sync::Mutex<Seen>>,
}

impl Default for Book {
    fn default() -> Book {
        Book {
            start: time::Instant::now(),
            seen: sync::Arc::default(),
        }
    }
}

impl Book {
    /// Time since the start.
    pub fn now(&self) -> At {
        self.start.elapsed()
    }

    /// Writes or reads.
    pub fn with<T>(&self, f: impl FnOnce(&mut Seen) -> T) -> T {
        f(&mut self
            .seen
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner))
    }
}
