//! Headers that clients and backend servers use.

use http::header;

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
    /// Load of a backend server.
    pub load: header::HeaderName,
    /// Present if the backend server has not run the request.
    pub not_run: header::HeaderName,
}

/// Load that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests in its queue.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

impl ServerLoad {
    /// Parses `in_progress,queued,slots`.
    pub fn parse(text: &str) -> Option<ServerLoad> {
        let mut parts = text.split(',').map(|part| part.trim().parse().ok());
        let load = ServerLoad {
            in_progress: parts.next()??,
            queued: parts.next()??,
            slots: parts.next()??,
        };
        parts.next().is_none().then_some(load)
    }
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
