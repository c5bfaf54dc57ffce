//! `GET /v1/lookup`: which entry hosts to use.

use std::net;

use hyper::body;

use super::{Error, Interface};
use crate::serve;

/// Answers a look-up from memory.
pub(super) fn answer(
    interface: &Interface,
    req: &http::Request<body::Incoming>,
    client: net::IpAddr,
) -> Result<serve::Reply, Error> {
    if req.method() != http::Method::GET {
        return Err(Error::Method);
    }
    let query = req.uri().query().unwrap_or_default();
    let client = match serve::parameter(query, "client") {
        Some(text) => text.parse().map_err(|_| Error::Parameter {
            name: "client",
            message: format!("{text:?} is no IP address"),
        })?,
        None => client,
    };
    let work = serve::parameter(query, "work").ok_or(Error::Parameter {
        name: "work",
        message: "is missing".to_string(),
    })?;
    let answer = interface.engine.lookup(client, work)?;
    Ok(serve::json(http::StatusCode::OK, &answer))
}
