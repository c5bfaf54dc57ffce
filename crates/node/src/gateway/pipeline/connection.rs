//! What the reader of a client's connection and the handler of its requests share.

use std::{io, sync, task};

use http::{header, request};
use tokio::{io::ReadBuf, net::TcpStream};

use super::{guarded_body, reader, started_request};
use crate::gateway::{gateway, memory, response};

/// A client's connection whose requests are started before it is their turn.
pub(in crate::gateway) struct Connection {
    gateway: sync::Arc<gateway::Gateway>,
    client: sync::Arc<memory::ClientConnection>,
    reader: sync::Mutex<reader::Reader>,
}

/// Lets the next request through when it is dropped.
struct TurnGuard(sync::Arc<Connection>);

impl Connection {
    /// State of a connection that was just accepted.
    pub(in crate::gateway) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        client: sync::Arc<memory::ClientConnection>,
    ) -> Connection {
        Connection {
            gateway,
            client,
            reader: sync::Mutex::default(),
        }
    }

    /// Reads for the HTTP library.
    pub(super) fn poll_read(
        &self,
        stream: &mut TcpStream,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut reader = self.lock();
        reader.poll_read(&self.gateway, &self.client, stream, cx, buf)
    }

    /// Begins the request that was read last; returns it if it was started before.
    pub(in crate::gateway) fn begin_request(
        &self,
        head: &request::Parts,
    ) -> Option<started_request::StartedRequest> {
        let started = self.lock().begin_request(head)?;
        let is_same = started.is_for(head);
        if !is_same {
            log::error!(client:% = self.client.address(); "a request was read in two ways; sent again");
        }
        is_same.then_some(started)
    }

    /// Lets the next request through once `response` was written.  The last answer of a host that
    /// stops, or of a connection that is about to be closed, closes the connection.
    pub(in crate::gateway) fn end_request(
        self: &sync::Arc<Connection>,
        mut response: response::Response,
    ) -> response::Response {
        let is_stopping = self.gateway.is_stopping();
        let mut reader = self.lock();
        if reader.ends_after_answer(is_stopping) {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        if !reader.has_read_ahead() {
            reader.end_request();
            return response;
        }
        drop(reader);
        let guard = TurnGuard(sync::Arc::clone(self));
        response.map(|body| guarded_body::guarded(body, guard))
    }

    /// Starts no further request ahead of its turn, and closes the connection with the last answer.
    /// Returns whether none is in progress ahead of its turn, so that the caller may close it.
    pub(in crate::gateway) fn begin_close(&self) -> bool {
        self.lock().begin_close()
    }

    fn lock(&self) -> sync::MutexGuard<'_, reader::Reader> {
        self.reader
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.0.lock().end_request();
    }
}
