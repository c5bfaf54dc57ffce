//! Checks of a backend server's own status.

use std::{sync, time};

use http::header;
use yuccatide_steering::gateway as decisions;

use super::{body, connection_pool, error, header_names};
use crate::backend::connection;

/// Time within which a backend server must tell its status.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Asks a backend server for its status, on a connection of its own.  Returns whether it is well and
/// stays; anything but an answer of this server counts as an error or as false.
pub(super) async fn check(
    header_names: &header_names::HeaderNames,
    entry: &decisions::ServerEntry,
    path: &str,
) -> Result<bool, error::Error> {
    let uri: http::Uri = path
        .parse()
        .map_err(|_| error::Error::Invalid("the status path is no URI"))?;
    let mut req = http::Request::new(body::full(bytes::Bytes::new()));
    *req.uri_mut() = uri;
    let host = header::HeaderValue::from_str(&entry.address.to_string())
        .map_err(|_| error::Error::Invalid("the address is no header value"))?;
    req.headers_mut().insert(header::HOST, host);
    let asked = async {
        let open = sync::Arc::new(());
        let mut connection: connection_pool::Connection =
            connection::Connection::open(entry.address, TIMEOUT, open).await?;
        connection.send(req).await
    };
    let response = tokio::time::timeout(TIMEOUT, asked)
        .await
        .map_err(|_| error::Error::Invalid("no status in time"))??;
    let instance = response.headers().get(&header_names.instance);
    let is_own = instance.is_some_and(|id| id.as_bytes() == entry.id.as_bytes());
    let signals = (header_names.signals)(
        response.status(),
        response.headers(),
        time::SystemTime::now(),
    );
    Ok(response.status().is_success() && is_own && !signals.is_leaving)
}
