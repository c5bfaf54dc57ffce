//! The calling side of the protocol.

use std::{
    collections, error, iter, net,
    sync::{self, atomic},
    time,
};

use tokio::sync::mpsc;
use tonic::transport;
use yuccatide_steering::model;

use super::{Error, generated, service, tls};

/// Control messages that may wait for one host; more are dropped.
const QUEUE_CAPACITY: usize = 1024;

/// Control messages in one batch at most.
const MAX_BATCH: usize = 64;

/// Time after which a batch is given up.
const DELIVER_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Time after which an attempt to connect has failed.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time after which a link without control messages is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Size of the largest request or answer between hosts in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 6 << 20;

type Client = generated::peer_client::PeerClient<transport::Channel>;

/// This host, as it names itself to others.
#[derive(Clone, Debug)]
pub struct Me {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the host.
    pub host: model::HostId,
    /// Process start.
    pub incarnation: model::Incarnation,
}

/// Links to other hosts, made when they are needed.
pub struct Links {
    me: Me,
    identity: sync::Mutex<Option<tls::Identity>>,
    clients: sync::Mutex<collections::HashMap<net::SocketAddr, Client>>,
    queues: sync::Mutex<collections::HashMap<net::SocketAddr, mpsc::Sender<Vec<u8>>>>,
    sequence: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
}

impl Links {
    /// Links of a host; without an identity they are not encrypted.
    pub fn new(me: Me, identity: Option<tls::Identity>) -> Links {
        Links {
            me,
            identity: sync::Mutex::new(identity),
            clients: sync::Mutex::default(),
            queues: sync::Mutex::default(),
            sequence: atomic::AtomicU64::new(1),
            sent_bytes: atomic::AtomicU64::new(0),
        }
    }

    /// Takes a new identity; links made from now on use it.
    pub fn set_identity(&self, identity: tls::Identity) {
        *lock(&self.identity) = Some(identity);
        lock(&self.clients).clear();
    }

    /// Sends a control message, if the queue for the host has room.
    pub fn deliver(self: &sync::Arc<Links>, to: net::SocketAddr, message: Vec<u8>) {
        let mut queues = lock(&self.queues);
        let queue = queues
            .entry(to)
            .and_modify(|tx| {
                if tx.is_closed() {
                    *tx = self.spawn_sender(to);
                }
            })
            .or_insert_with(|| self.spawn_sender(to));
        let _ = queue.try_send(message);
    }

    /// Carries a request to another host and waits for its answer.
    pub async fn forward(
        &self,
        to: net::SocketAddr,
        req: generated::ForwardRequest,
        timeout: time::Duration,
    ) -> Result<generated::ForwardAnswer, Error> {
        let req = generated::ForwardRequest {
            deployment: self.me.deployment.clone(),
            from: self.me.host.clone(),
            ..req
        };
        let mut client = self.client(to)?;
        match tokio::time::timeout(timeout, client.forward(req)).await {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) => Err(from_status(&status)),
            Err(_) => Err(Error::Broken("timeout".to_string())),
        }
    }

    /// Asks another host to describe itself.
    pub async fn describe(
        &self,
        to: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Vec<u8>, Error> {
        let req = generated::DescribeRequest {
            deployment: self.me.deployment.clone(),
            from: self.me.host.clone(),
        };
        let mut client = self.client(to)?;
        match tokio::time::timeout(timeout, client.describe(req)).await {
            Ok(Ok(description)) => Ok(description.into_inner().json),
            Ok(Err(status)) => Err(from_status(&status)),
            Err(_) => Err(Error::Broken("timeout".to_string())),
        }
    }

    /// Asks another host for a chunk of the table of client blocks.
    pub async fn fetch_chunk(
        &self,
        to: net::SocketAddr,
        sha256: &str,
        timeout: time::Duration,
    ) -> Result<Option<Vec<u8>>, Error> {
        let req = generated::ChunkRequest {
            deployment: self.me.deployment.clone(),
            from: self.me.host.clone(),
            sha256: sha256.to_string(),
        };
        let mut client = self.client(to)?;
        match tokio::time::timeout(timeout, client.fetch_chunk(req)).await {
            Ok(Ok(chunk)) => Ok(Some(chunk.into_inner().bytes).filter(|b| !b.is_empty())),
            Ok(Err(status)) => Err(from_status(&status)),
            Err(_) => Err(Error::Broken("timeout".to_string())),
        }
    }

    /// Bytes of control that were sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(atomic::Ordering::Relaxed)
    }

    fn spawn_sender(self: &sync::Arc<Links>, to: net::SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(send_batches(sync::Arc::clone(self), to, rx));
        tx
    }

    async fn send_batch(&self, to: net::SocketAddr, messages: Vec<Vec<u8>>) -> Result<(), Error> {
        let batch = generated::ControlBatch {
            deployment: self.me.deployment.clone(),
            from: self.me.host.clone(),
            incarnation: self.me.incarnation,
            sequence: self.sequence.fetch_add(1, atomic::Ordering::Relaxed),
            form: service::FORM,
            messages,
        };
        let bytes = prost::Message::encoded_len(&batch) as u64;
        self.sent_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        let mut client = self.client(to)?;
        match tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(batch)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(status)) => Err(from_status(&status)),
            Err(_) => Err(Error::Broken("timeout".to_string())),
        }
    }

    fn client(&self, to: net::SocketAddr) -> Result<Client, Error> {
        if let Some(client) = lock(&self.clients).get(&to) {
            return Ok(client.clone());
        }
        let identity = lock(&self.identity).clone();
        let scheme = if identity.is_some() { "https" } else { "http" };
        let connect = |e: transport::Error| Error::Connect(e.to_string());
        let mut endpoint = transport::Endpoint::from_shared(format!("{scheme}://{to}"))
            .map_err(connect)?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        if let Some(identity) = identity {
            endpoint = endpoint
                .tls_config(identity.client(&self.me.deployment))
                .map_err(connect)?;
        }
        let client = generated::peer_client::PeerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        lock(&self.clients).insert(to, client.clone());
        Ok(client)
    }
}

/// Sends what waits for one host, in batches, until nothing was sent for a while.
async fn send_batches(
    links: sync::Arc<Links>,
    to: net::SocketAddr,
    mut rx: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        let mut messages = Vec::new();
        let next = rx.recv_many(&mut messages, MAX_BATCH);
        match tokio::time::timeout(IDLE_TIMEOUT, next).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
        if let Err(e) = links.send_batch(to, messages).await {
            log::debug!(to:% = to, error:% = e; "control messages were lost");
        }
    }
    rx.close();
    lock(&links.clients).remove(&to);
}

/// Only a status with the mark of a refused call proves that nothing was done.
fn from_status(status: &tonic::Status) -> Error {
    let causes = iter::successors(error::Error::source(status), |e| e.source());
    let connect = causes.into_iter().any(|e| e.is::<tonic::ConnectError>());
    match status.code() {
        tonic::Code::PermissionDenied | tonic::Code::FailedPrecondition => {
            Error::Refused(status.message().to_string())
        }
        _ if connect => Error::Connect(status.message().to_string()),
        _ => Error::Broken(status.to_string()),
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
