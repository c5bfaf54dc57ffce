//! Attempts that wait for an answer.

use std::collections;

use super::disposition::{Counters, Disposition, DropReason};
use crate::model;

/// Connection to a backend server or peer host, unique within the process.
pub type ConnectionId = u64;

/// Attempts remembered after their end, to tell late and duplicate answers from stray ones.
const CLOSED_KEPT: usize = 1024;

/// One sending of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Request.
    pub id: model::RequestId,
    /// Number of the sending, from 1.
    pub number: u32,
}

/// An answer that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// Connection that it arrived on.
    pub connection: ConnectionId,
    /// Attempt that it names; absent where the other side does not name one.
    pub attempt: Option<Attempt>,
    /// Length of the body that its head announces, in bytes.
    pub announced_bytes: Option<u64>,
    /// Length of the body that arrived, in bytes.
    pub received_bytes: u64,
    /// Whether the end of the body was marked; false where the connection broke.
    pub ended: bool,
}

/// Attempts that wait for an answer, at most one on each connection.
#[derive(Debug, Default)]
pub struct PendingAttempts {
    connections: collections::BTreeMap<Attempt, ConnectionId>,
    attempts: collections::BTreeMap<ConnectionId, Attempt>,
    closed: collections::VecDeque<(Attempt, DropReason)>,
    counters: Counters,
}

impl PendingAttempts {
    /// No attempts.
    pub fn new() -> PendingAttempts {
        PendingAttempts::default()
    }

    /// Takes that an attempt is sent; false where the connection is in use or the attempt was sent
    /// before, in which case it must not be sent.
    pub fn register(&mut self, attempt: Attempt, connection: ConnectionId) -> bool {
        let free = !self.attempts.contains_key(&connection)
            && !self.connections.contains_key(&attempt)
            && self.fault_of(attempt) == DropReason::Stray;
        if free {
            self.connections.insert(attempt, connection);
            self.attempts.insert(connection, attempt);
        }
        free
    }

    /// Decides what is done with an answer.
    ///
    /// With any verdict other than [`Disposition::Deliver`] the connection that it arrived on is
    /// closed.  An attempt of which the connection is closed is reported by
    /// [`PendingAttempts::on_connection_closed`].
    pub fn on_response(&mut self, arrival: ReceivedResponse) -> Disposition {
        let waiting = self.attempts.get(&arrival.connection).copied();
        let verdict = match (waiting, arrival.attempt) {
            (Some(waiting), Some(named)) if named != waiting => self.mismatch(named),
            (Some(attempt), _) if arrival.is_whole() => Disposition::Deliver(attempt),
            (Some(attempt), _) => Disposition::Truncated(attempt),
            (None, Some(named)) => self.mismatch(named),
            (None, None) => Disposition::Drop(DropReason::Stray),
        };
        if let Disposition::Deliver(attempt) | Disposition::Truncated(attempt) = verdict {
            self.close(attempt, DropReason::Duplicate);
        }
        self.counters.count(verdict);
        verdict
    }

    /// Gives an attempt up, after a cancel or its deadline; returns the connection to close.
    pub fn abandon(&mut self, attempt: Attempt) -> Option<ConnectionId> {
        self.close(attempt, DropReason::Late)
    }

    /// Takes that a connection is closed; returns the attempt that waited on it.
    pub fn on_connection_closed(&mut self, connection: ConnectionId) -> Option<Attempt> {
        let attempt = self.attempts.get(&connection).copied()?;
        self.close(attempt, DropReason::Late);
        Some(attempt)
    }

    /// Number of attempts that wait.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn mismatch(&self, named: Attempt) -> Disposition {
        if self.connections.contains_key(&named) {
            Disposition::Drop(DropReason::Crossed)
        } else {
            Disposition::Drop(self.fault_of(named))
        }
    }

    fn fault_of(&self, attempt: Attempt) -> DropReason {
        let mut closed = self.closed.iter().rev();
        let found = closed.find(|(closed, _)| *closed == attempt);
        found.map_or(DropReason::Stray, |(_, fault)| *fault)
    }

    fn close(&mut self, attempt: Attempt, fault: DropReason) -> Option<ConnectionId> {
        let connection = self.connections.remove(&attempt)?;
        self.attempts.remove(&connection);
        self.closed.push_back((attempt, fault));
        if self.closed.len() > CLOSED_KEPT {
            self.closed.pop_front();
        }
        Some(connection)
    }
}

impl ReceivedResponse {
    fn is_whole(&self) -> bool {
        let announced = self.announced_bytes.unwrap_or(self.received_bytes);
        self.ended && announced == self.received_bytes
    }
}
