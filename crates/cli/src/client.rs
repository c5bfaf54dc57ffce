//! Client of the administration API.

use std::{net, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy, rt};
use serde::{Serialize, de::DeserializeOwned};
use yuccatide_steering::{admin, config, model};

use crate::error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client of one entry host.
pub struct Client {
    address: net::SocketAddr,
    token: Option<String>,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

/// Why a request has no answer.
enum Failure {
    /// It was not sent.
    NotSent(String),
    /// It may have been received.
    NoAnswer(String),
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client that shows the token where one is needed.
    pub fn new(address: net::SocketAddr, token: Option<String>) -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client {
            address,
            token,
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
        }
    }

    /// Whether it can submit changes.
    pub fn has_token(&self) -> bool {
        self.token.is_some()
    }

    /// The document in force.
    pub async fn config(&self) -> Result<config::Document, error::Error> {
        self.get("/v1/admin/config").await
    }

    /// The latest accepted patches.
    pub async fn history(&self) -> Result<admin::History, error::Error> {
        self.get("/v1/admin/history").await
    }

    /// Status of the deployment.
    pub async fn status(&self) -> Result<admin::Status, error::Error> {
        self.get("/v1/admin/status").await
    }

    /// Why a request goes where it goes.
    pub async fn explain(
        &self,
        client: net::IpAddr,
        work: &str,
    ) -> Result<admin::Explain, error::Error> {
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if work.is_empty() || !work.chars().all(valid) {
            let message = format!("{work:?} is no name of a kind of work");
            return Err(error::Error::Input(message));
        }
        self.get(&format!("/v1/admin/explain?client={client}&work={work}"))
            .await
    }

    /// Checks a document by the host's rules.
    pub async fn validate(&self, doc: &config::Document) -> Result<(), error::Error> {
        let answer = self.post("/v1/admin/validate", doc).await;
        let answer = answer.map_err(|failure| self.unreachable(failure))?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            _ => Err(self.refused(&answer, doc.version)),
        }
    }

    /// Stores a chunk of the table of client blocks.
    pub async fn store_chunk(&self, sha256: &str, bytes: &[u8]) -> Result<(), error::Error> {
        let path = format!("/v1/admin/blocks/{sha256}");
        let bytes = Bytes::copy_from_slice(bytes);
        let answer = self.send(Method::PUT, &path, bytes).await;
        let answer = answer.map_err(|failure| self.unreachable(failure))?;
        match answer.status {
            StatusCode::OK => Ok(()),
            _ => Err(self.refused(&answer, 0)),
        }
    }

    /// Submits a patch; where its answer is lost, looks for it among the accepted ones.
    pub async fn patch(&self, patch: &config::Patch) -> Result<model::Version, error::Error> {
        let answer = match self.post("/v1/admin/patch", patch).await {
            Ok(answer) => answer,
            Err(Failure::NoAnswer(reason)) => return self.read_back(patch, reason).await,
            Err(failure) => return Err(self.unreachable(failure)),
        };
        match answer.status {
            StatusCode::OK => Ok(parse::<admin::Version>(&answer.body)?.version),
            StatusCode::SERVICE_UNAVAILABLE => match parse::<admin::Unknown>(&answer.body) {
                Ok(unknown) if unknown.outcome == model::Outcome::Unknown => {
                    self.read_back(patch, unknown.message).await
                }
                _ => Err(self.refused(&answer, patch.base)),
            },
            status if status.is_server_error() => self.read_back(patch, status.to_string()).await,
            _ => Err(self.refused(&answer, patch.base)),
        }
    }

    async fn read_back(
        &self,
        patch: &config::Patch,
        reason: String,
    ) -> Result<model::Version, error::Error> {
        let history = self.history().await.ok();
        let accepted = history
            .iter()
            .flat_map(|h| &h.changes)
            .find(|change| change.patch.id == patch.id);
        accepted
            .map(|change| change.version)
            .ok_or_else(|| error::Error::Unknown {
                id: patch.id.clone(),
                reason,
            })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, error::Error> {
        let answer = self.send(Method::GET, path, Bytes::new()).await;
        let answer = answer.map_err(|failure| self.unreachable(failure))?;
        match answer.status {
            StatusCode::OK => parse(&answer.body),
            _ => Err(self.refused(&answer, 0)),
        }
    }

    async fn post(&self, path: &str, value: &impl Serialize) -> Result<Answer, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::NotSent(e.to_string()))?;
        self.send(Method::POST, path, body.into()).await
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Failure> {
        let mut req = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req
            .body(Full::new(body))
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        tokio::time::timeout(TIMEOUT, self.exchange(req))
            .await
            .unwrap_or_else(|_| Err(Failure::NoAnswer(format!("no answer in {TIMEOUT:?}"))))
    }

    async fn exchange(&self, req: http::Request<Full<Bytes>>) -> Result<Answer, Failure> {
        let res = self
            .http
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true => Failure::NotSent("the host can't be reached".to_string()),
                false => Failure::NoAnswer("the connection was lost".to_string()),
            })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        Ok(Answer {
            status,
            body: body
                .map_err(|e| Failure::NoAnswer(e.to_string()))?
                .to_bytes(),
        })
    }

    fn unreachable(&self, failure: Failure) -> error::Error {
        let (Failure::NotSent(reason) | Failure::NoAnswer(reason)) = failure;
        error::Error::Unreachable(format!("{}: {reason}", self.address))
    }

    fn refused(&self, answer: &Answer, base: model::Version) -> error::Error {
        let message = || match parse::<admin::Refused>(&answer.body) {
            Ok(refused) => refused.message,
            Err(_) => answer.status.to_string(),
        };
        match answer.status {
            StatusCode::CONFLICT => match parse::<admin::Outdated>(&answer.body) {
                Ok(outdated) => error::Error::Outdated {
                    base,
                    current: outdated.current,
                },
                Err(e) => e,
            },
            StatusCode::UNPROCESSABLE_ENTITY => match parse::<admin::Invalid>(&answer.body) {
                Ok(invalid) => error::Error::Invalid(invalid.problems),
                Err(e) => e,
            },
            status if status.is_client_error() => error::Error::Refused(message()),
            _ => error::Error::Unreachable(format!("{}: {}", self.address, message())),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, error::Error> {
    serde_json::from_slice(body).map_err(|e| error::Error::Protocol(e.to_string()))
}
