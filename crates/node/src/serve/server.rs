//! An HTTP/1.1 and HTTP/2 server.

use std::{convert, future, io, net, sync, time};

use hyper::{body, service};
use hyper_util::{rt, server::conn::auto, server::graceful};
use tokio::net as tokio_net;
use tokio_util::{sync as tokio_sync, task};

use super::Reply;

/// Time in which a client has to send the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time for which connections may finish their requests after a stop.
const GRACE: time::Duration = time::Duration::from_secs(60);

/// Connections that are served at once; more wait to be accepted.
const MAX_CONNECTIONS: usize = 8192;

/// A running server.
pub struct Server {
    addr: net::SocketAddr,
    stop: tokio_sync::CancellationToken,
    task: task::AbortOnDropHandle<()>,
}

impl Server {
    /// Listens on an address; port 0 picks a free one.
    pub async fn listen(addr: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
        tokio_net::TcpListener::bind(addr).await
    }

    /// Serves each request with `handle`, which is also told the client's address.
    pub fn start<F>(
        listener: tokio_net::TcpListener,
        handle: impl Fn(http::Request<body::Incoming>, net::SocketAddr) -> F + Send + Sync + 'static,
    ) -> io::Result<Server>
    where
        F: future::Future<Output = Reply> + Send + 'static,
    {
        Server::start_bounded(listener, MAX_CONNECTIONS, handle)
    }

    /// The same for at most `max_connections` at once.
    pub fn start_bounded<F>(
        listener: tokio_net::TcpListener,
        max_connections: usize,
        handle: impl Fn(http::Request<body::Incoming>, net::SocketAddr) -> F + Send + Sync + 'static,
    ) -> io::Result<Server>
    where
        F: future::Future<Output = Reply> + Send + 'static,
    {
        let addr = listener.local_addr()?;
        let stop = tokio_sync::CancellationToken::new();
        let task = tokio::spawn(accept(
            listener,
            max_connections,
            sync::Arc::new(handle),
            stop.clone(),
        ));
        Ok(Server {
            addr,
            stop,
            task: task::AbortOnDropHandle::new(task),
        })
    }

    /// Address that the server listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Waits until the server has ended, which it does by itself only after a failure.
    pub async fn ended(&mut self) {
        if let Err(e) = (&mut self.task).await {
            log::error!(address:% = self.addr, error:% = e; "a server ended");
        }
    }

    /// Accepts nothing new and waits until the requests in progress are answered.
    pub async fn finish(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn accept<H, F>(
    listener: tokio_net::TcpListener,
    max_connections: usize,
    handle: sync::Arc<H>,
    stop: tokio_sync::CancellationToken,
) where
    H: Fn(http::Request<body::Incoming>, net::SocketAddr) -> F + Send + Sync + 'static,
    F: future::Future<Output = Reply> + Send + 'static,
{
    let watcher = graceful::GracefulShutdown::new();
    let permits = max_connections.min(tokio::sync::Semaphore::MAX_PERMITS);
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(permits));
    // Connections end with the server.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (stream, peer) = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    // Out of file descriptors: others have to finish first.
                    log::warn!(error:% = e; "a connection was not accepted");
                    tokio::time::sleep(time::Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let handle = sync::Arc::clone(&handle);
        let service = service::service_fn(move |req| {
            let reply = handle(req, peer);
            async move { Ok::<_, convert::Infallible>(reply.await) }
        });
        let mut builder = auto::Builder::new(rt::TokioExecutor::new());
        builder
            .http1()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT);
        builder.http2().timer(rt::TokioTimer::new());
        let connection = builder
            .serve_connection(rt::TokioIo::new(stream), service)
            .into_owned();
        let connection = watcher.watch(connection);
        connections.spawn(async move {
            let _permit = permit;
            if let Err(e) = connection.await {
                log::debug!(client:% = peer, error:% = e; "a connection ended early");
            }
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(GRACE, watcher.shutdown()).await;
}
