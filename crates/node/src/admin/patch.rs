//! Patches and their validation.

use http_body_util::{BodyExt, Limited};
use hyper::body;
use serde::de;
use yuccatide_steering::{admin, config, propagation};

use super::{Error, Interface};
use crate::serve;

/// Room for a patch with its id and base, and for a whole document to be validated.
const MAX_BODY_BYTES: usize = 1 << 20;

/// `POST /v1/admin/patch`: submits a patch.
pub(super) async fn submit(
    interface: &Interface,
    req: http::Request<body::Incoming>,
) -> Result<serve::Reply, Error> {
    let doc = interface.engine.document().ok_or(Error::NotReady)?;
    let token = token_of(&req);
    let patch = read::<config::Patch>(req).await?;
    if patch.base > doc.version {
        // Who may change what is decided by the version that the patch names, not by an older one.
        return Err(Error::Outdated {
            base: patch.base,
            current: doc.version,
        });
    }
    let author = admin::authorize(&doc, &token, &patch).inspect_err(|e| {
        log::warn!(patch = patch.id, error:% = e; "a patch was refused");
    })?;
    let (id, base) = (patch.id.clone(), patch.base);
    let result = interface.engine.submit(patch, author.to_string()).await;
    log::info!(patch = id, author:% = author, result:? = result; "a patch was submitted");
    match result {
        propagation::SubmitResult::Accepted(version) => Ok(serve::json(
            http::StatusCode::OK,
            &admin::Version { version },
        )),
        propagation::SubmitResult::Outdated { current } => Err(Error::Outdated { base, current }),
        propagation::SubmitResult::Invalid(e) => Err(Error::Invalid(admin::Invalid::from(&e))),
        propagation::SubmitResult::TooLarge { bytes } => Err(Error::Form {
            path: "merge".to_string(),
            message: format!("the document would have {bytes} bytes, more than the platform takes"),
        }),
        propagation::SubmitResult::Unavailable => Err(Error::Unavailable),
        propagation::SubmitResult::Unknown => Err(Error::Unknown),
        propagation::SubmitResult::NotReady => Err(Error::NotReady),
    }
}

/// `POST /v1/admin/validate`: checks a patch against the current version, or a whole document,
/// without changing anything.
pub(super) async fn validate(
    interface: &Interface,
    req: http::Request<body::Incoming>,
) -> Result<serve::Reply, Error> {
    let value = read::<serde_json::Value>(req).await?;
    let invalid = match value.get("merge") {
        Some(_) => {
            let patch: config::Patch = from_value(value)?;
            let doc = interface.engine.document().ok_or(Error::NotReady)?;
            patch.apply(&doc).err().map(|e| admin::Invalid::from(&e))
        }
        None => {
            let doc: config::Document = from_value(value)?;
            let problems = config::check(&doc);
            let problems = problems.into_iter().map(admin::Problem::from).collect();
            Some(admin::Invalid { problems })
        }
    };
    match invalid {
        Some(invalid) if !invalid.problems.is_empty() => Err(Error::Invalid(invalid)),
        _ => Ok(serve::json(
            http::StatusCode::OK,
            &admin::Invalid::default(),
        )),
    }
}

/// Token of the request, empty without one.
pub(super) fn token_of(req: &http::Request<body::Incoming>) -> String {
    req.headers()
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .unwrap_or_default()
        .to_string()
}

async fn read<T: de::DeserializeOwned>(req: http::Request<body::Incoming>) -> Result<T, Error> {
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|e| Error::Body(e.to_string()))?
        .to_bytes();
    let mut de = serde_json::Deserializer::from_slice(&body);
    serde_path_to_error::deserialize(&mut de).map_err(form)
}

fn from_value<T: de::DeserializeOwned>(value: serde_json::Value) -> Result<T, Error> {
    serde_path_to_error::deserialize(value).map_err(form)
}

fn form(e: serde_path_to_error::Error<serde_json::Error>) -> Error {
    Error::Form {
        path: e.path().to_string(),
        message: e.inner().to_string(),
    }
}
