//! Accepts connections and hands requests to a function.

use std::{io, net, sync, sync::atomic};

use hyper::{body, service};
use hyper_util::{rt, server::conn::auto};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::answer;

/// An HTTP/1.1 and HTTP/2 server on one address.
///
/// The handler's future is dropped when its connection closes.
pub struct Server {
    addr: net::SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
    peak: sync::Arc<atomic::AtomicUsize>,
}

impl Server {
    /// Listens on the address and serves until it is stopped or dropped.
    ///
    /// Connections above `limit` are closed at once.
    pub async fn start<F, R>(
        address: net::SocketAddr,
        limit: usize,
        handler: F,
    ) -> io::Result<Server>
    where
        F: Fn(http::Request<body::Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Result<answer::Answer, answer::Broken>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let server = Server {
            addr: listener.local_addr()?,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            peak: sync::Arc::default(),
        };
        let (stop, tasks) = (server.stop.clone(), server.tasks.clone());
        let accept = accept(listener, limit, handler, tasks, stop, server.peak.clone());
        server.tasks.spawn(accept);
        Ok(server)
    }

    /// Address that it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Largest number of connections that were open at a time.
    pub fn peak_connections(&self) -> usize {
        self.peak.load(atomic::Ordering::Relaxed)
    }

    /// Closes the listener and all connections, and waits until they are gone.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<F, R>(
    listener: TcpListener,
    limit: usize,
    handler: F,
    tasks: TaskTracker,
    stop: CancellationToken,
    peak: sync::Arc<atomic::AtomicUsize>,
) where
    F: Fn(http::Request<body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<answer::Answer, answer::Broken>> + Send + 'static,
{
    let open = sync::Arc::new(());
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("accept failed: {e}");
                    continue;
                }
            },
        };
        let count = sync::Arc::strong_count(&open);
        if count > limit {
            continue;
        }
        peak.fetch_max(count, atomic::Ordering::Relaxed);
        let (open, handler, stop) = (open.clone(), handler.clone(), stop.clone());
        tasks.spawn(async move {
            let _open = open;
            serve(stream, handler, stop).await;
        });
    }
}

async fn serve<F, R>(stream: TcpStream, handler: F, stop: CancellationToken)
where
    F: Fn(http::Request<body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<answer::Answer, answer::Broken>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(rt::TokioExecutor::new());
    let io = rt::TokioIo::new(stream);
    let connection = builder.serve_connection(io, service::service_fn(handler));
    tokio::select! {
        () = stop.cancelled() => {}
        result = connection => {
            if let Err(e) = result {
                log::debug!("connection closed: {e}");
            }
        }
    }
}
