//! Accepts and serves client connections.

use std::{convert, io, net, sync, time};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::net::TcpListener;
use tokio_util::sync as tokio_sync;
use yuccatide_steering::clients;

use super::{activity, body as bodies, forward, gateway, memory, pipeline, report};

/// Delay after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Time between checks for an idle connection.
const IDLE_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time for which connections are still accepted after a planned stop has begun, because callers
/// with a cached look-up keep using the host.
const STOP_ACCEPT_WINDOW: time::Duration = time::Duration::from_millis(2000);

/// Client-facing side of a gateway.
pub struct Frontend {
    gateway: sync::Arc<gateway::Gateway>,
    listener: TcpListener,
}

impl Frontend {
    /// Listens for clients.
    pub async fn bind(
        address: net::SocketAddr,
        gateway: sync::Arc<gateway::Gateway>,
    ) -> io::Result<Frontend> {
        let listener = TcpListener::bind(address).await?;
        Ok(Frontend { gateway, listener })
    }

    /// Address that the host listens on.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves clients until `stop` is cancelled, then completes the requests in progress.
    pub async fn serve(self, stop: tokio_sync::CancellationToken) {
        let tasks = tokio_util::task::TaskTracker::new();
        let close = tokio_sync::CancellationToken::new();
        let stop_accepting = async {
            stop.cancelled().await;
            tokio::time::sleep(STOP_ACCEPT_WINDOW).await;
        };
        tokio::pin!(stop_accepting);
        loop {
            let accepted = tokio::select! {
                () = &mut stop_accepting => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let gateway = sync::Arc::clone(&self.gateway);
                    let Some(client) = gateway.clients.open(peer.ip()) else {
                        report::client_refused(&gateway, peer);
                        continue;
                    };
                    tasks.spawn(serve_connection(
                        stream,
                        peer,
                        client,
                        gateway,
                        close.clone(),
                    ));
                }
                Err(e) => {
                    log::warn!(error:% = e; "failed to accept a client connection");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        drop(self.listener);
        close.cancel();
        tasks.close();
        tasks.wait().await;
    }
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    peer: net::SocketAddr,
    client: memory::ClientConnection,
    gateway: sync::Arc<gateway::Gateway>,
    close: tokio_sync::CancellationToken,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(client:% = peer, error:% = e; "failed to set TCP_NODELAY");
    }
    let client = sync::Arc::new(client);
    let handler_client = sync::Arc::clone(&client);
    let activity = sync::Arc::new(activity::Activity::new());
    let handler_activity = sync::Arc::clone(&activity);
    let handler_gateway = sync::Arc::clone(&gateway);
    let pipeline = sync::Arc::new(pipeline::Connection::new(
        sync::Arc::clone(&gateway),
        sync::Arc::clone(&client),
    ));
    let handler_pipeline = sync::Arc::clone(&pipeline);
    let service = service::service_fn(move |req: http::Request<body::Incoming>| {
        let in_progress = handler_activity.begin_request();
        let handler_gateway = sync::Arc::clone(&handler_gateway);
        let handler_client = sync::Arc::clone(&handler_client);
        let pipeline = sync::Arc::clone(&handler_pipeline);
        let (head, body) = req.into_parts();
        let started = pipeline.begin_request(&head);
        async move {
            let client = sync::Arc::clone(&handler_client);
            let response = match started {
                Some(started) => {
                    client.enter(clients::Phase::Working);
                    started.answer().await
                }
                None => {
                    client.enter(clients::Phase::Receiving);
                    forward::forward_request(handler_gateway, head, Some(body), handler_client)
                        .await
                }
            };
            let response = pipeline.end_request(response);
            let response = response.map(|body| memory::answer(body, &client));
            drop(in_progress);
            Ok::<http::Response<bodies::Body>, convert::Infallible>(response)
        }
    });
    let stream = pipeline::PipelinedStream::new(stream, sync::Arc::clone(&pipeline));
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .max_buf_size(
            gateway
                .client_limits()
                .max_header_bytes
                .max(MIN_BUFFER_BYTES),
        )
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = false;
    let mut idle_close: Option<time::Instant> = None;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!(client:% = peer, error:% = e; "client connection failed");
                }
                return;
            }
            () = client.closed() => {
                report::client_closed(&gateway, peer);
                return;
            }
            () = close.cancelled(), if !is_closing => {
                is_closing = true;
                if pipeline.begin_close() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL), if !is_closing || idle_close.is_some() => {
                let timeout = gateway.client_limits().idle_timeout;
                let is_over = |since: time::Instant| since.elapsed() >= timeout;
                // The answer can't be written: the client doesn't read.
                if idle_close.is_some_and(is_over) {
                    log::info!(client:% = peer; "client does not read its answers; closed");
                    return;
                }
                if !is_closing && activity.idle_since().is_some_and(is_over) {
                    is_closing = true;
                    idle_close = Some(time::Instant::now());
                    if pipeline.begin_close() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}
