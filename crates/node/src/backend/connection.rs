//! One HTTP/1.1 connection to a backend server.

use std::{error, io, net, sync, sync::atomic, time};

use hyper::{body, client::conn::http1};
use hyper_util::rt;
use tokio::net::TcpStream;
use tokio_util::task;

use super::Error;
use crate::interim;

/// A connection that carries one request at a time; dropping it closes it.
pub(crate) struct Connection<B> {
    sender: http1::SendRequest<B>,
    number: u64,
    idle_since: time::Instant,
    has_rested: bool,
    _driver: task::AbortOnDropHandle<()>,
    _open: sync::Arc<()>,
}

/// First and last status that an answer may have.
const FIRST_STATUS: u16 = 200;
const LAST_STATUS: u16 = 599;

/// Number of the next connection.
static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);

impl<B> Connection<B>
where
    B: body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    /// Connects; `open` counts the connection for as long as it exists.
    pub(crate) async fn open(
        address: net::SocketAddr,
        timeout: time::Duration,
        open: sync::Arc<()>,
    ) -> Result<Connection<B>, Error> {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(refusal)?;
            stream.set_nodelay(true).map_err(refusal)?;
            http1::handshake(rt::TokioIo::new(stream))
                .await
                .map_err(|e| Error::Connect(e.to_string()))
        };
        let (sender, driver) = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| Error::Connect("timeout".to_string()))??;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            number: NEXT.fetch_add(1, atomic::Ordering::Relaxed),
            idle_since: time::Instant::now(),
            has_rested: false,
            _driver: task::AbortOnDropHandle::new(driver),
            _open: open,
        })
    }

    /// Sends a request; [`Error::Connect`] where no byte of it was written.
    pub(crate) async fn send(
        &mut self,
        mut req: http::Request<B>,
    ) -> Result<http::Response<hyper::body::Incoming>, Error> {
        self.sender
            .ready()
            .await
            .map_err(|e| Error::Connect(e.to_string()))?;
        let limit = interim::InterimLimit::new(&mut req);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(req) => sent,
            () = limit.exceeded() => {
                return Err(Error::Broken("interim responses without end".to_string()));
            }
        };
        match sent {
            Ok(response) => match response.status().as_u16() {
                FIRST_STATUS..=LAST_STATUS => Ok(response),
                // Servers in trouble send 000, 600 or 101.
                status => Err(Error::Status(status)),
            },
            Err(mut e) => match e.take_message() {
                Some(_) => Err(Error::Connect("the connection was closed".to_string())),
                None => Err(Error::Broken(e.into_error().to_string())),
            },
        }
    }

    /// Number of the connection, unique within the process.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Whether it has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.has_rested
    }

    /// Marks the connection as idle from now on.
    pub(crate) fn rest(self) -> Connection<B> {
        Connection {
            idle_since: time::Instant::now(),
            has_rested: true,
            ..self
        }
    }

    /// Whether the connection may carry another request.
    pub(crate) fn is_usable(&self, max_idle: time::Duration) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < max_idle
    }
}

/// Why no connection was made.
fn refusal(e: io::Error) -> Error {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => Error::Refused,
        _ => Error::Connect(e.to_string()),
    }
}
