//! Headers that clients and backend servers use.

use std::time;

use http::header;
use yuccatide_steering::gateway;

/// Names of the headers that clients and backend servers use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, echoed by backend servers.
    pub request_id: header::HeaderName,
    /// Time left to respond, in milliseconds.
    pub deadline: header::HeaderName,
    /// Name of the cookie that names the object of a request; requests for an object go to the same
    /// backend server.
    pub object_cookie: String,
    /// Signature of a backend server's response.
    pub signature: header::HeaderName,
    /// Id of the backend server that a request is addressed to.
    pub target: header::HeaderName,
    /// Name of the backend server that tells its status.
    pub instance: header::HeaderName,
    /// Decodes what a backend server says of itself in an answer, read at a time of day.
    pub signals:
        fn(http::StatusCode, &header::HeaderMap, time::SystemTime) -> gateway::ServerSignals,
    /// Present if the backend server has not run the request.
    pub not_run: header::HeaderName,
    /// Key of the customer that sends a request; never sent on where there are customers.
    pub key: header::HeaderName,
    /// Name of the customer, for the backend server.
    pub customer: header::HeaderName,
    /// Value of `WWW-Authenticate` where no customer holds the key.
    pub challenge: header::HeaderValue,
}

impl HeaderNames {
    /// Value of the object cookie of a request.
    pub(super) fn object_name<'a>(&self, headers: &'a header::HeaderMap) -> Option<&'a str> {
        headers
            .get_all(header::COOKIE)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(';'))
            .filter_map(|pair| pair.trim().split_once('='))
            .find(|(name, _)| *name == self.object_cookie)
            .map(|(_, value)| value)
    }
}
