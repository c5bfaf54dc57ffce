//! The server for other hosts.

use std::{io, sync, time};

use futures::{future, stream};
use tokio::net as tokio_net;
use tokio_util::sync as tokio_sync;

use crate::{engine, peer, settings};

/// Period in which the files for TLS are looked at.
const RELOAD_PERIOD: time::Duration = time::Duration::from_secs(2);

/// What the server for other hosts needs.
#[derive(Clone)]
pub(super) struct Peers {
    pub(super) engine: sync::Arc<engine::Engine>,
    pub(super) links: sync::Arc<peer::Links>,
    pub(super) listener: sync::Arc<tokio_net::TcpListener>,
    pub(super) deployment: String,
    pub(super) tls: Option<settings::Tls>,
    pub(super) identity: Option<peer::Identity>,
}

impl Peers {
    /// Serves other hosts until the task is dropped or the server fails.  New certificates are taken
    /// in when their files change; connections with the old ones finish their calls.
    pub(super) async fn serve(mut self) {
        loop {
            let stop = tokio_sync::CancellationToken::new();
            let mut server = self.start(stop.clone());
            let identity = tokio::select! {
                // Without TLS nothing changes.
                Some(identity) = self.changed_identity() => identity,
                ended = &mut server => {
                    if let Err(e) = ended {
                        log::error!(error:% = e; "the server for other hosts ended");
                    }
                    return;
                }
            };
            self.links.set_identity(identity.clone());
            self.identity = Some(identity);
            stop.cancel();
            log::info!("new certificates are in use");
        }
    }

    fn start(&self, stop: tokio_sync::CancellationToken) -> tokio::task::JoinHandle<()> {
        let handlers = handlers(sync::Arc::clone(&self.engine));
        let service = peer::server(peer::Service::new(&self.deployment, handlers));
        let mut server = tonic::transport::Server::builder().tcp_nodelay(true);
        if let Some(identity) = &self.identity {
            server = match server.tls_config(identity.server()) {
                Ok(server) => server,
                Err(e) => {
                    log::error!(error:% = e; "the certificates can't be used");
                    // Others may come.
                    return tokio::spawn(future::pending());
                }
            };
        }
        let incoming = incoming(sync::Arc::clone(&self.listener));
        let served = server
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stop.cancelled_owned());
        tokio::spawn(async move {
            if let Err(e) = served.await {
                log::error!(error:% = e; "other hosts are not served any more");
            }
        })
    }

    /// Waits until the files hold another identity that can be read.
    async fn changed_identity(&self) -> Option<peer::Identity> {
        let tls = self.tls.clone()?;
        loop {
            tokio::time::sleep(RELOAD_PERIOD).await;
            let files = tls.clone();
            let read = tokio::task::spawn_blocking(move || peer::Identity::read(&files)).await;
            match read {
                Ok(Ok(identity)) if Some(&identity) != self.identity.as_ref() => {
                    return Some(identity);
                }
                Ok(Err(e)) => log::warn!(error:% = e; "the certificates can't be read"),
                _ => {}
            }
        }
    }
}

/// Connections that a listener accepts; the listener may be used again afterwards.
fn incoming(
    listener: sync::Arc<tokio_net::TcpListener>,
) -> impl futures::Stream<Item = io::Result<tokio_net::TcpStream>> {
    stream::unfold(listener, |listener| async move {
        let accepted = listener.accept().await.map(|(stream, _)| stream);
        Some((accepted, listener))
    })
}

fn handlers(engine: sync::Arc<engine::Engine>) -> peer::Handlers {
    let batches = sync::Arc::clone(&engine);
    let described = sync::Arc::clone(&engine);
    let chunks = sync::Arc::clone(&engine);
    let refused = sync::Arc::clone(&engine);
    peer::Handlers {
        on_batch: Box::new(move |batch| batches.on_batch(batch)),
        on_forward: Box::new(move |req| {
            let engine = sync::Arc::clone(&engine);
            Box::pin(async move { engine.on_forward(req).await })
        }),
        describe: Box::new(move || described.report_json()),
        chunk: Box::new(move |sha256| chunks.chunk(sha256)),
        on_refused: Box::new(move |cause, from| refused.note_refused(cause, from)),
    }
}
