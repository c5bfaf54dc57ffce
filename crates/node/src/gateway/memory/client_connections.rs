//! The open connections of clients, which are closed where memory or descriptors are short.

use std::{collections, net, sync, sync::atomic};

use tokio_util::sync as tokio_sync;
use yuccatide_steering::{clients, model};

use crate::clock;

/// Open connections of clients.
#[derive(Debug)]
pub(in super::super) struct ClientConnections {
    clock: clock::Clock,
    is_short_of_servers: atomic::AtomicBool,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: clients::ConnectionTable,
    closers: collections::HashMap<clients::ConnectionId, tokio_sync::CancellationToken>,
}

/// A client's connection; it leaves the table when this is dropped.
#[derive(Debug)]
pub(in super::super) struct ClientConnection {
    connections: sync::Arc<ClientConnections>,
    id: clients::ConnectionId,
    address: net::IpAddr,
    closed: tokio_sync::CancellationToken,
}

impl ClientConnections {
    /// Accepts at most `max` connections.
    pub(in super::super) fn new(max: usize, clock: clock::Clock) -> ClientConnections {
        ClientConnections {
            clock,
            is_short_of_servers: atomic::AtomicBool::new(false),
            state: sync::Mutex::new(State {
                table: clients::ConnectionTable::new(max),
                closers: collections::HashMap::new(),
            }),
        }
    }

    /// Adds a connection, for which another may be closed; `None` if there are too many and none may
    /// be closed.
    pub(in super::super) fn open(
        self: &sync::Arc<ClientConnections>,
        address: net::IpAddr,
    ) -> Option<ClientConnection> {
        let now = self.clock.now();
        let mut state = self.lock();
        let id = state.table.open(address, now).or_else(|| {
            let victim = state.table.close_for_another(now)?;
            state.close(victim);
            state.table.open(address, now)
        })?;
        let closed = tokio_sync::CancellationToken::new();
        state.closers.insert(id, closed.clone());
        Some(ClientConnection {
            connections: sync::Arc::clone(self),
            id,
            address,
            closed,
        })
    }

    /// Closes a connection whose client is slow; returns whether there was one.
    pub(in super::super) fn close_slow(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let victim = state.table.close_slow(now);
        victim.map(|id| state.close(id)).is_some()
    }

    /// Records that a request was refused since all backend servers are in use.
    pub(in super::super) fn record_shortage_of_servers(&self) {
        let order = atomic::Ordering::Relaxed;
        self.is_short_of_servers.store(true, order);
    }

    /// Closes the connections whose clients hold a backend server with a body that they send too
    /// slowly, if a request was refused for lack of servers since the last call.
    pub(in super::super) fn free_servers(&self) {
        let order = atomic::Ordering::Relaxed;
        if !self.is_short_of_servers.swap(false, order) {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        while let Some(id) = state.table.close_slow_stream(now) {
            state.close(id);
        }
    }

    /// Number of connections.
    pub(in super::super) fn len(&self) -> usize {
        self.lock().table.len()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn close(&mut self, id: clients::ConnectionId) {
        if let Some(closer) = self.closers.remove(&id) {
            closer.cancel();
        }
    }
}

impl ClientConnection {
    /// Address of the client.
    pub(in super::super) fn address(&self) -> net::IpAddr {
        self.address
    }

    /// Waits until the connection is to be closed for lack of memory or descriptors.
    pub(in super::super) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Records what the connection does from now on.
    pub(in super::super) fn enter(&self, phase: clients::Phase) {
        let now = self.now();
        self.connections.lock().table.enter(self.id, phase, now);
    }

    /// The same, if it still does what it did.
    pub(in super::super) fn leave(&self, from: clients::Phase, to: clients::Phase) {
        let now = self.now();
        self.connections.lock().table.leave(self.id, from, to, now);
    }

    /// Records bytes that the client has sent or read.
    pub(in super::super) fn record(&self, bytes: usize) {
        let now = self.now();
        let mut state = self.connections.lock();
        state.table.record(self.id, bytes as u64, now);
    }

    /// Closes another connection whose client is slow; returns whether there was one.
    pub(in super::super) fn close_slow(&self) -> bool {
        self.connections.close_slow()
    }

    fn now(&self) -> model::Time {
        self.connections.clock.now()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.remove(self.id);
        state.closers.remove(&self.id);
    }
}
