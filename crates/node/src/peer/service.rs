//! The called side of the protocol.

use std::sync;

use futures::future;
use yuccatide_steering::model;

use super::{Replay, generated, tls};

/// Form of the control messages that this version understands.
pub(super) const FORM: u32 = 1;

/// Control messages of one sender.
#[derive(Debug)]
pub struct Batch {
    /// Sender.
    pub from: model::HostId,
    /// Process start of the sender.
    pub incarnation: model::Incarnation,
    /// Encoded messages.
    pub messages: Vec<Vec<u8>>,
    /// Length of the batch on the wire in bytes.
    pub bytes: usize,
}

/// Takes control messages.
pub type OnBatch = Box<dyn Fn(Batch) + Send + Sync>;
/// Takes a request and returns its answer.
pub type OnForward = Box<
    dyn Fn(generated::ForwardRequest) -> future::BoxFuture<'static, ForwardResult> + Send + Sync,
>;
/// Returns the bytes of a chunk of the table of client blocks, by hash.
pub type OnChunk = Box<dyn Fn(&str) -> Option<Vec<u8>> + Send + Sync>;
/// Is told the cause of a refusal and the sender.
pub type OnRefused = Box<dyn Fn(&'static str, &str) + Send + Sync>;
/// Answer to a carried request, or why it was refused.
pub type ForwardResult = Result<generated::ForwardAnswer, tonic::Status>;

/// What a service does with what other hosts send.
pub struct Handlers {
    /// Takes control messages.
    pub on_batch: OnBatch,
    /// Takes a request.
    pub on_forward: OnForward,
    /// Describes the host in JSON.
    pub describe: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Returns the bytes of a chunk of the table of client blocks, by hash.
    pub chunk: OnChunk,
    /// Is told the cause of a refusal and the sender.
    pub on_refused: OnRefused,
}

/// Checks what other hosts send and hands it on.
pub struct Service {
    deployment: String,
    replay: sync::Mutex<Replay>,
    handlers: Handlers,
}

impl Service {
    /// A service for hosts of one deployment.
    pub fn new(deployment: impl Into<String>, handlers: Handlers) -> Service {
        Service {
            deployment: deployment.into(),
            replay: sync::Mutex::new(Replay::new()),
            handlers,
        }
    }

    /// Checks who calls: the deployment that the message names, and the caller's certificate,
    /// which was verified when the connection was made.
    fn check<T>(
        &self,
        req: &tonic::Request<T>,
        deployment: &str,
        from: &str,
    ) -> Result<(), tonic::Status> {
        if deployment != self.deployment {
            (self.handlers.on_refused)("deployment", from);
            let message = format!("this host belongs to deployment {}", self.deployment);
            return Err(tonic::Status::permission_denied(message));
        }
        let certs = req.peer_certs();
        let cert = certs.as_ref().and_then(|certs| certs.first());
        if cert.is_some_and(|cert| !tls::is_issued_for(cert, &[deployment, from])) {
            (self.handlers.on_refused)("certificate", from);
            let message = "the certificate was issued for another deployment or host";
            return Err(tonic::Status::permission_denied(message));
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl generated::peer_server::Peer for Service {
    async fn deliver(
        &self,
        req: tonic::Request<generated::ControlBatch>,
    ) -> Result<tonic::Response<generated::Delivered>, tonic::Status> {
        let batch = req.get_ref();
        self.check(&req, &batch.deployment, &batch.from)?;
        let batch = req.into_inner();
        if batch.form != FORM {
            (self.handlers.on_refused)("form", &batch.from);
            let message = format!("this host understands form {FORM}");
            return Err(tonic::Status::failed_precondition(message));
        }
        let is_new = self
            .replay
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .is_new(&batch.from, batch.incarnation, batch.sequence);
        if !is_new {
            (self.handlers.on_refused)("replayed", &batch.from);
            return Ok(tonic::Response::new(generated::Delivered {}));
        }
        let bytes = prost::Message::encoded_len(&batch);
        (self.handlers.on_batch)(Batch {
            from: batch.from,
            incarnation: batch.incarnation,
            messages: batch.messages,
            bytes,
        });
        Ok(tonic::Response::new(generated::Delivered {}))
    }

    async fn forward(
        &self,
        req: tonic::Request<generated::ForwardRequest>,
    ) -> Result<tonic::Response<generated::ForwardAnswer>, tonic::Status> {
        let called = req.get_ref();
        self.check(&req, &called.deployment, &called.from)?;
        let req = req.into_inner();
        (self.handlers.on_forward)(req)
            .await
            .map(tonic::Response::new)
    }

    async fn describe(
        &self,
        req: tonic::Request<generated::DescribeRequest>,
    ) -> Result<tonic::Response<generated::Description>, tonic::Status> {
        let called = req.get_ref();
        self.check(&req, &called.deployment, &called.from)?;
        let json = (self.handlers.describe)();
        Ok(tonic::Response::new(generated::Description { json }))
    }

    async fn fetch_chunk(
        &self,
        req: tonic::Request<generated::ChunkRequest>,
    ) -> Result<tonic::Response<generated::ChunkBytes>, tonic::Status> {
        let called = req.get_ref();
        self.check(&req, &called.deployment, &called.from)?;
        let bytes = (self.handlers.chunk)(&called.sha256).unwrap_or_default();
        Ok(tonic::Response::new(generated::ChunkBytes { bytes }))
    }
}

/// The gRPC service around a [`Service`], with bounds on the size of messages.
pub fn server(service: Service) -> generated::peer_server::PeerServer<Service> {
    generated::peer_server::PeerServer::new(service)
        .max_decoding_message_size(super::links::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(super::links::MAX_MESSAGE_BYTES)
}
