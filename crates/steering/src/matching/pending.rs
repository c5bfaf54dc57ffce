//! Attempts that wait for a response.

use std::collections;

use super::disposition::{Counters, Disposition, DropReason};
use crate::model;

/// Connection to a backend server or peer host, unique within the process.
pub type ConnectionId = u64;

/// Closed attempts that are retained to distinguish late and duplicate responses from stray ones.
const MAX_CLOSED_ATTEMPTS: usize = 1024;

/// One transmission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Identifier of the request that is transmitted.
    pub id: model::RequestId,
    /// Sequence number within the request, starting at 1.
    pub number: u32,
}

/// A received response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// Connection on which it was received.
    pub connection: ConnectionId,
    /// Attempt that it names; absent if the sender does not name one.
    pub attempt: Option<Attempt>,
    /// Body length announced in the response head, in bytes.
    pub announced_bytes: Option<u64>,
    /// Body length received, in bytes.
    pub received_bytes: u64,
    /// Whether the end of the body was received; false if the connection closed first.
    pub body_ended: bool,
}

/// Attempts that wait for a response, at most one per connection.
#[derive(Debug, Default)]
pub struct PendingAttempts {
    connection_by_attempt: collections::BTreeMap<Attempt, ConnectionId>,
    attempt_by_connection: collections::BTreeMap<ConnectionId, Attempt>,
    closed: collections::VecDeque<(Attempt, DropReason)>,
    counters: Counters,
}

impl PendingAttempts {
    /// Creates an empty set.
    pub fn new() -> PendingAttempts {
        PendingAttempts::default()
    }

    /// Registers an attempt before it is sent.  Returns false if the connection is in use or the
    /// attempt was registered before; the attempt must not be sent then.
    pub fn register(&mut self, attempt: Attempt, connection: ConnectionId) -> bool {
        let is_free = !self.attempt_by_connection.contains_key(&connection)
            && !self.connection_by_attempt.contains_key(&attempt)
            && self.drop_reason(attempt) == DropReason::Stray;
        if is_free {
            self.connection_by_attempt.insert(attempt, connection);
            self.attempt_by_connection.insert(connection, attempt);
        }
        is_free
    }

    /// Decides what to do with a response.
    ///
    /// For any result other than [`Disposition::Deliver`], the caller must close the connection on
    /// which the response was received and call [`PendingAttempts::on_connection_closed`], which
    /// returns the attempt that waited on it, if any.
    pub fn on_response(&mut self, response: ReceivedResponse) -> Disposition {
        let waiting = self
            .attempt_by_connection
            .get(&response.connection)
            .copied();
        let disposition = match (waiting, response.attempt) {
            (Some(waiting), Some(named)) if named != waiting => self.classify_mismatch(named),
            (Some(attempt), _) if response.is_complete() => Disposition::Deliver(attempt),
            (Some(attempt), _) => Disposition::Truncated(attempt),
            (None, Some(named)) => self.classify_mismatch(named),
            (None, None) => Disposition::Drop(DropReason::Stray),
        };
        if let Disposition::Deliver(attempt) | Disposition::Truncated(attempt) = disposition {
            self.close(attempt, DropReason::Duplicate);
        }
        self.counters.count(disposition);
        disposition
    }

    /// Abandons an attempt after its cancellation or deadline; returns the connection to close.
    pub fn abandon(&mut self, attempt: Attempt) -> Option<ConnectionId> {
        self.close(attempt, DropReason::Late)
    }

    /// Handles the closing of a connection; returns the attempt that waited on it.
    pub fn on_connection_closed(&mut self, connection: ConnectionId) -> Option<Attempt> {
        let attempt = self.attempt_by_connection.get(&connection).copied()?;
        self.close(attempt, DropReason::Late);
        Some(attempt)
    }

    /// Number of pending attempts.
    pub fn len(&self) -> usize {
        self.attempt_by_connection.len()
    }

    /// Whether no attempt is pending.
    pub fn is_empty(&self) -> bool {
        self.attempt_by_connection.is_empty()
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn classify_mismatch(&self, named: Attempt) -> Disposition {
        if self.connection_by_attempt.contains_key(&named) {
            Disposition::Drop(DropReason::Crossed)
        } else {
            Disposition::Drop(self.drop_reason(named))
        }
    }

    fn drop_reason(&self, attempt: Attempt) -> DropReason {
        let mut closed = self.closed.iter().rev();
        let found = closed.find(|(closed, _)| *closed == attempt);
        found.map_or(DropReason::Stray, |(_, reason)| *reason)
    }

    fn close(&mut self, attempt: Attempt, reason: DropReason) -> Option<ConnectionId> {
        let connection = self.connection_by_attempt.remove(&attempt)?;
        self.attempt_by_connection.remove(&connection);
        self.closed.push_back((attempt, reason));
        if self.closed.len() > MAX_CLOSED_ATTEMPTS {
            self.closed.pop_front();
        }
        Some(connection)
    }
}

impl ReceivedResponse {
    fn is_complete(&self) -> bool {
        let announced = self.announced_bytes.unwrap_or(self.received_bytes);
        self.body_ended && announced == self.received_bytes
    }
}
