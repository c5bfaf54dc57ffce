//! Finds the customer of a request by its key.

use std::sync;

use http::header;
use yuccatide_steering::{customers, gateway as decisions};

use super::{gateway, header_names, response};

/// Whose request it is.
#[derive(Debug, Default)]
pub(super) struct Identity {
    pub(super) customer: Option<sync::Arc<customers::Customer>>,
    /// Name of the customer, as backend servers get it.
    pub(super) name: Option<header::HeaderValue>,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// It has no key, or an empty one.
    NoKey,
    /// It has several.
    SeveralKeys,
    /// No customer holds its key.
    UnknownKey,
}

impl Denial {
    /// Value of the `reason` in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Denial::NoKey => "no-key",
            Denial::SeveralKeys => "several-keys",
            Denial::UnknownKey => "unknown-key",
        }
    }
}

/// Finds the customer of a request, and takes the key and any name of a customer out of its headers.
/// On a public route a request without a known key has no customer.
pub(super) fn authenticate(
    names: &header_names::HeaderNames,
    customers: &customers::CustomerTable,
    route: &decisions::Route,
    headers: &mut header::HeaderMap,
) -> Result<Identity, Denial> {
    let found = find(names, customers, headers);
    headers.remove(&names.key);
    headers.remove(&names.customer);
    match found {
        Err(_) if route.is_public => Ok(Identity::default()),
        found => found,
    }
}

fn find(
    names: &header_names::HeaderNames,
    customers: &customers::CustomerTable,
    headers: &header::HeaderMap,
) -> Result<Identity, Denial> {
    let mut keys = headers.get_all(&names.key).iter();
    let key = match (keys.next(), keys.next()) {
        (Some(key), None) if !key.is_empty() => customers::Key::new(key),
        (_, Some(_)) => return Err(Denial::SeveralKeys),
        _ => return Err(Denial::NoKey),
    };
    let customer = customers.find(&key).ok_or(Denial::UnknownKey)?;
    let name = header::HeaderValue::from_bytes(customer.name.as_bytes())
        .map_err(|_| Denial::UnknownKey)?;
    Ok(Identity {
        customer: Some(sync::Arc::clone(customer)),
        name: Some(name),
    })
}

/// Counts and logs a denied request, and returns the response to it.
pub(super) fn deny(
    gateway: &gateway::Gateway,
    head: &http::request::Parts,
    route: &decisions::Route,
    denial: Denial,
) -> response::Response {
    let reason = denial.as_str();
    gateway.metrics.record_denial(reason);
    if let Some(omitted) = gateway.admit_log_line("denial") {
        let id = head.headers.get(&gateway.header_names.request_id);
        let version = gateway.lock().route_table.version();
        let answer_age = gateway.store_state.answer_ages().into_values().max();
        log::info!(
            request = id.and_then(|id| id.to_str().ok()), route = route.name, reason, version,
            store_answer_age_ms = answer_age.map(|age| age.as_millis() as u64), omitted;
            "request denied; no customer holds its key"
        );
    }
    let mut response = response::text(http::StatusCode::UNAUTHORIZED, reason);
    let challenge = gateway.header_names.challenge.clone();
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, challenge);
    response
}
