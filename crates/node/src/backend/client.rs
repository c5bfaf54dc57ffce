//! Client of all backend servers that a host owns.

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use yuccatide_steering::{config, model};

use super::{Error, connection, load};
use crate::request;

/// Time after which an idle connection is not used again.
const MAX_IDLE: time::Duration = time::Duration::from_secs(4);

/// Time after which an attempt to connect has failed.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Size of the largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time after which a load report has failed.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// A connection whose requests are whole.
type Connection = connection::Connection<Full<Bytes>>;

/// Connections to backend servers, each used by one request at a time.
#[derive(Default)]
pub struct Client {
    servers: sync::Mutex<collections::HashMap<model::ServerId, Connections>>,
}

#[derive(Default)]
struct Connections {
    address: Option<net::SocketAddr>,
    idle: Vec<Connection>,
    open: sync::Arc<()>,
}

impl Connections {
    /// Open connections: each holds a clone of `open`.
    fn count(&self) -> usize {
        sync::Arc::strong_count(&self.open) - 1
    }
}

/// A server, as the client needs to know it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub server: model::ServerId,
    /// Address.
    pub address: net::SocketAddr,
    /// Connections that it accepts.
    pub connections: usize,
}

impl Target {
    /// A server as the configuration describes it.
    pub fn with_document(doc: &config::Document, server: &str) -> Option<Target> {
        let entry = doc.servers.get(server)?;
        let service = doc.services.get(&entry.service)?;
        Some(Target {
            server: server.to_string(),
            address: entry.address,
            connections: service.connections as usize,
        })
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// Sends a request and reads its whole answer.  Dropping the future cancels the request by
    /// closing its connection.
    pub async fn send(
        &self,
        target: &Target,
        job: &request::Job,
        rank: model::Rank,
        left: time::Duration,
        traceparent: Option<&str>,
    ) -> Result<request::Answer, Error> {
        let start = time::Instant::now();
        let id = format!("{:032x}", job.meta.id);
        let req = outgoing(target, job, rank, left, traceparent, &id)?;
        let mut connection = self.connect(target).await?;
        let response = connection.send(req).await?;
        let (head, body) = response.into_parts();
        let echo = head.headers.get(request::REQUEST_ID);
        if echo.is_some_and(|echo| echo.as_bytes() != id.as_bytes()) {
            return Err(Error::Crossed);
        }
        let whole = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| match e.is::<http_body_util::LengthLimitError>() {
                true => Error::TooLarge(MAX_ANSWER_BYTES),
                false => Error::Broken(e.to_string()),
            })?;
        self.give_back(target, connection);
        if head.status == http::StatusCode::SERVICE_UNAVAILABLE
            && head.headers.contains_key(request::NOT_RUN)
        {
            return Err(Error::Shed);
        }
        Ok(request::Answer {
            outcome: model::Outcome::Done,
            reason: None,
            status: head.status,
            headers: request::forwarded(&head.headers),
            body: whole.to_bytes(),
            retry_after: None,
            server: Some(target.server.clone()),
            slot_time: Some(start.elapsed()),
        })
    }

    /// Asks a server for its load.
    pub async fn load(&self, target: &Target) -> Result<load::LoadAnswer, Error> {
        let ask = async {
            let mut connection = self.connect(target).await?;
            let req = http::Request::get("/load")
                .header(http::header::HOST, target.address.to_string())
                .body(Full::default())
                .map_err(|e| Error::Connect(e.to_string()))?;
            let response = connection.send(req).await?;
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| Error::Broken(e.to_string()))?.to_bytes();
            self.give_back(target, connection);
            serde_json::from_slice(&body).map_err(|e| Error::Broken(e.to_string()))
        };
        tokio::time::timeout(LOAD_TIMEOUT, ask)
            .await
            .map_err(|_| Error::Broken("timeout".to_string()))?
    }

    async fn connect(&self, target: &Target) -> Result<Connection, Error> {
        let open = {
            let mut servers = self.lock();
            let entry = servers.entry(target.server.clone()).or_default();
            if entry.address != Some(target.address) {
                *entry = Connections::default();
                entry.address = Some(target.address);
            }
            while let Some(connection) = entry.idle.pop() {
                if connection.is_usable(MAX_IDLE) {
                    return Ok(connection);
                }
            }
            if entry.count() >= target.connections {
                return Err(Error::Connections);
            }
            sync::Arc::clone(&entry.open)
        };
        connection::Connection::open(target.address, CONNECT_TIMEOUT, open).await
    }

    fn give_back(&self, target: &Target, connection: Connection) {
        let mut servers = self.lock();
        let entry = servers.entry(target.server.clone()).or_default();
        if entry.address == Some(target.address) {
            entry.idle.push(connection.rest());
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<model::ServerId, Connections>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn outgoing(
    target: &Target,
    job: &request::Job,
    rank: model::Rank,
    left: time::Duration,
    traceparent: Option<&str>,
    id: &str,
) -> Result<http::Request<Full<Bytes>>, Error> {
    let mut req = http::Request::builder()
        .method(job.method.clone())
        .uri(&job.path)
        .header(http::header::HOST, target.address.to_string())
        .header(request::REQUEST_ID, id)
        .header(request::DEADLINE, left.as_millis().to_string())
        .header(request::RANK, rank.as_str());
    if let Some(key) = &job.meta.key {
        req = req.header(request::IDEMPOTENCY_KEY, key.to_string());
    }
    if let Some(traceparent) = traceparent {
        req = req.header("traceparent", traceparent);
    }
    let req = job
        .headers
        .iter()
        .fold(req, |req, (name, value)| req.header(name, value.as_slice()));
    req.body(Full::new(job.body.clone()))
        .map_err(|e| Error::Connect(e.to_string()))
}
