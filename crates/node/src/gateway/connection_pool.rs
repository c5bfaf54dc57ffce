//! Pool of connections to backend servers.

use std::{collections, net, sync, time};

use yuccatide_steering::gateway;

use super::body;
use crate::backend::{self, connection};

/// Time for which an idle connection is kept if the backend server announces no timeout.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Time before the backend server's own idle timeout at which a connection is no longer used, so
/// that no request is sent on a connection that the server is closing.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(1500);

/// Timeout of a connection attempt; a round trip between regions takes a tenth of it.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time within which a server that is gone refuses a connection; a request waits for it.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// A connection to a backend server.
pub(super) type Connection = connection::Connection<body::Body>;

#[derive(Default)]
struct IdleConnections {
    connections: Vec<(Connection, time::Duration)>,
    address: Option<net::SocketAddr>,
}

/// Idle connections to backend servers.
#[derive(Default)]
pub(super) struct ConnectionPool {
    servers: sync::Mutex<collections::HashMap<gateway::ServerIndex, IdleConnections>>,
}

impl ConnectionPool {
    /// Returns the most recently used idle connection, or opens a new one.
    pub(super) async fn acquire(
        &self,
        index: gateway::ServerIndex,
        address: net::SocketAddr,
    ) -> Result<Connection, backend::Error> {
        if let Some(connection) = self.acquire_idle(index, address) {
            return Ok(connection);
        }
        connection::Connection::open(address, CONNECT_TIMEOUT, sync::Arc::new(())).await
    }

    fn acquire_idle(
        &self,
        index: gateway::ServerIndex,
        address: net::SocketAddr,
    ) -> Option<Connection> {
        let mut servers = self.lock();
        let idle = servers
            .get_mut(&index)
            .filter(|idle| idle.address == Some(address))?;
        while let Some((connection, idle_timeout)) = idle.connections.pop() {
            if connection.is_usable(idle_timeout) {
                return Some(connection);
            }
        }
        None
    }

    /// Whether a backend server refuses connections, which shows that it is gone where one to it has
    /// just broken.  A connection that it accepts is kept for the next request.
    pub(super) async fn is_refused(
        &self,
        index: gateway::ServerIndex,
        address: net::SocketAddr,
    ) -> bool {
        match connection::Connection::open(address, REFUSAL_TIMEOUT, sync::Arc::new(())).await {
            Ok(connection) => {
                self.release(index, address, connection, None);
                false
            }
            Err(e) => matches!(e, backend::Error::Refused),
        }
    }

    /// Returns a connection to the pool; `keep_alive` is the idle timeout of the backend server.
    pub(super) fn release(
        &self,
        index: gateway::ServerIndex,
        address: net::SocketAddr,
        connection: Connection,
        keep_alive: Option<time::Duration>,
    ) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
            time.saturating_sub(IDLE_MARGIN)
        });
        let mut servers = self.lock();
        let idle = servers.entry(index).or_default();
        if idle.address != Some(address) {
            *idle = IdleConnections {
                connections: Vec::new(),
                address: Some(address),
            };
        }
        idle.connections.push((connection.rest(), idle_timeout));
    }

    /// Closes connections that are no longer usable and those to removed servers.
    pub(super) fn evict_unusable(&self, is_known: impl Fn(gateway::ServerIndex) -> bool) {
        let mut servers = self.lock();
        servers.retain(|index, _| is_known(*index));
        for idle in servers.values_mut() {
            idle.connections
                .retain(|(connection, idle_timeout)| connection.is_usable(*idle_timeout));
        }
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<gateway::ServerIndex, IdleConnections>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
