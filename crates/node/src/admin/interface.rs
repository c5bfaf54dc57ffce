//! Routes of the administration API.

use std::sync;

use hyper::body;
use yuccatide_steering::{admin, config};

use super::{Error, blocks, patch};
use crate::{engine, serve};

/// The administration API of one host.
pub struct Interface {
    pub(super) engine: sync::Arc<engine::Engine>,
}

impl Interface {
    /// An interface over the decisions of a host.
    pub fn new(engine: sync::Arc<engine::Engine>) -> Interface {
        Interface { engine }
    }

    /// Answers one HTTP request.
    pub async fn handle(&self, req: http::Request<body::Incoming>) -> serve::Reply {
        let answer = match (req.method(), req.uri().path()) {
            (&http::Method::GET, "/v1/admin/config") => self.config(&req),
            (&http::Method::GET, "/v1/admin/history") => self.history(),
            (&http::Method::GET, "/v1/admin/status") => self.status().await,
            (&http::Method::GET, "/v1/admin/control") => Ok(self.control()),
            (&http::Method::GET, "/v1/admin/explain") => self.explain(&req),
            (&http::Method::POST, "/v1/admin/patch") => patch::submit(self, req).await,
            (&http::Method::POST, "/v1/admin/validate") => patch::validate(self, req).await,
            (&http::Method::PUT, path) if path.starts_with(blocks::PREFIX) => {
                blocks::store(self, req).await
            }
            _ => Err(Error::Path),
        };
        answer.unwrap_or_else(|e| e.reply())
    }

    /// The document in force; only an administrator is shown the hashes of tokens.
    fn config(&self, req: &http::Request<body::Incoming>) -> Result<serve::Reply, Error> {
        let doc = self.engine.document().ok_or(Error::NotReady)?;
        let mut doc = config::Document::clone(&doc);
        if !admin::is_administrator(&doc, &patch::token_of(req)) {
            let tokens = doc.teams.values_mut().flat_map(|team| &mut team.tokens);
            tokens.for_each(|token| token.sha256 = "not shown".to_string());
        }
        Ok(serve::json(http::StatusCode::OK, &doc))
    }

    fn history(&self) -> Result<serve::Reply, Error> {
        let stored = self.engine.stored().ok_or(Error::NotReady)?;
        let mut changes = stored.changes.clone();
        for change in &mut changes {
            if change.patch.merge.get("teams").is_some() {
                change.patch.merge["teams"] = "not shown".into();
            }
        }
        Ok(serve::json(
            http::StatusCode::OK,
            &admin::History { changes },
        ))
    }

    async fn status(&self) -> Result<serve::Reply, Error> {
        let status = self.engine.status().await.ok_or(Error::NotReady)?;
        Ok(serve::json(http::StatusCode::OK, &status))
    }

    /// What this host alone spends on control.
    fn control(&self) -> serve::Reply {
        serve::json(http::StatusCode::OK, &self.engine.control())
    }

    fn explain(&self, req: &http::Request<body::Incoming>) -> Result<serve::Reply, Error> {
        let query = req.uri().query().unwrap_or_default();
        let missing = |name: &str| Error::Form {
            path: name.to_string(),
            message: "is missing".to_string(),
        };
        let client = serve::parameter(query, "client").ok_or_else(|| missing("client"))?;
        let work = serve::parameter(query, "work").ok_or_else(|| missing("work"))?;
        let client = client.parse().map_err(|_| Error::Form {
            path: "client".to_string(),
            message: format!("{client:?} is no IP address"),
        })?;
        let explained = self.engine.explain(client, work);
        let explained = explained.map_err(|e| Error::Form {
            path: "work".to_string(),
            message: e.to_string(),
        })?;
        Ok(serve::json(http::StatusCode::OK, &explained))
    }
}
