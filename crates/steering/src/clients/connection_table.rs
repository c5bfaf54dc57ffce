//! The connections of clients to one host.

use std::{cmp, collections, net};

use super::progress;
use crate::model;

/// Number of a connection, unique within the process.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in progress.
    Silent,
    /// The host reads the body of a request.
    Receiving,
    /// A backend server or the queue has the whole request.
    Working,
    /// A backend server receives the body while the client sends it.
    Streaming,
    /// The client has not read its answer.
    Answering,
}

/// The connections of clients, up to a largest number.
#[derive(Debug)]
pub struct ConnectionTable {
    max: usize,
    next: ConnectionId,
    connections: collections::BTreeMap<ConnectionId, Connection>,
}

#[derive(Debug)]
struct Connection {
    address: net::IpAddr,
    phase: Phase,
    progress: progress::Progress,
}

/// Order in which connections are closed: the first ones cost their clients least.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Cost {
    Silent,
    Slow,
}

impl Connection {
    /// What it costs to close it; `None` if it is to be kept.
    fn cost(&self, now: model::Time) -> Option<Cost> {
        match self.phase {
            Phase::Silent => Some(Cost::Silent),
            Phase::Working => None,
            _ => self.progress.is_slow(now).then_some(Cost::Slow),
        }
    }
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> ConnectionTable {
        ConnectionTable {
            max,
            next: 0,
            connections: collections::BTreeMap::new(),
        }
    }

    /// Adds a connection; `None` if there are too many, see [`ConnectionTable::close_for_another`].
    pub fn open(&mut self, address: net::IpAddr, now: model::Time) -> Option<ConnectionId> {
        if self.connections.len() >= self.max {
            return None;
        }
        let id = self.next;
        self.next += 1;
        let connection = Connection {
            address,
            phase: Phase::Silent,
            progress: progress::Progress::new(now),
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Removes the connection that is closed for the sake of another: one of the address with the
    /// most connections, silent ones before slow ones, the longest in this state first.
    pub fn close_for_another(&mut self, now: model::Time) -> Option<ConnectionId> {
        self.close_by(now, |_, cost| Some(cost))
    }

    /// Removes the slowest connection whose client sends a body or reads an answer too slowly.
    pub fn close_slow(&mut self, now: model::Time) -> Option<ConnectionId> {
        self.close_by(now, |_, cost| (cost == Cost::Slow).then_some(cost))
    }

    /// The same among those that hold a backend server.
    pub fn close_slow_stream(&mut self, now: model::Time) -> Option<ConnectionId> {
        self.close_by(now, |phase, cost| {
            (phase == Phase::Streaming && cost == Cost::Slow).then_some(cost)
        })
    }

    fn close_by(
        &mut self,
        now: model::Time,
        filter: impl Fn(Phase, Cost) -> Option<Cost>,
    ) -> Option<ConnectionId> {
        let mut by_address: collections::HashMap<net::IpAddr, usize> = collections::HashMap::new();
        for connection in self.connections.values() {
            *by_address.entry(connection.address).or_default() += 1;
        }
        let victim = self
            .connections
            .iter()
            .filter_map(|(id, connection)| {
                let cost = filter(connection.phase, connection.cost(now)?)?;
                let share = by_address.get(&connection.address).copied();
                let slow_at = connection.progress.slow_at();
                Some((cmp::Reverse(share), cost, slow_at, *id))
            })
            .min();
        let (_, _, _, id) = victim?;
        self.connections.remove(&id);
        Some(id)
    }

    /// Records that a connection does something else from now on.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: model::Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.progress = progress::Progress::new(now);
        }
    }

    /// The same, if it still does what it did.
    pub fn leave(&mut self, id: ConnectionId, from: Phase, to: Phase, now: model::Time) {
        if self.connections.get(&id).map(|c| c.phase) == Some(from) {
            self.enter(id, to, now);
        }
    }

    /// Records bytes that a client has sent or read.
    pub fn record(&mut self, id: ConnectionId, bytes: u64, now: model::Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress.record(bytes, now);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
