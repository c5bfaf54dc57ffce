//! The settings file.

use std::{fs, io, net, path, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use thiserror::Error;
use yuccatide_steering::{config, model, numbers};

use super::check;

/// Settings of one entry host, read once at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; hosts of other deployments are refused.
    pub deployment: String,
    /// Name of this host.
    pub host: model::HostId,
    /// Data centre that the host stands in.
    pub data_centre: model::DataCentreId,
    /// Address for callers; port 0 picks a free one.
    pub callers: net::SocketAddr,
    /// Address for other hosts; port 0 picks a free one.
    pub peers: net::SocketAddr,
    /// Address for operators; port 0 picks a free one.
    pub admin: net::SocketAddr,
    /// The platform's object API.
    pub platform: Platform,
    /// Addresses of other hosts to ask first, beside those that the platform lists.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Mutual authentication between hosts; only on loopback may it be absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<Tls>,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub telemetry: Telemetry,
    /// Requests that may be in progress at once; more are refused.
    #[serde(default = "Settings::default_requests")]
    pub max_requests: usize,
    /// Idempotency keys that are kept at most.
    #[serde(default = "Settings::default_keys")]
    pub max_keys: usize,
    /// Memory for kept results in bytes.
    #[serde(default = "Settings::default_result_bytes")]
    pub max_result_bytes: usize,
}

/// The platform's object API.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address.
    pub address: net::SocketAddr,
    /// Time after which a call counts as lost.
    #[serde(rename = "timeout_ms", default = "Platform::default_timeout")]
    #[serde_as(as = "numbers::Bounded<DurationMilliSeconds<u64>>")]
    pub timeout: time::Duration,
}

/// Files for mutual TLS between hosts; read again when they change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain of this host, PEM.
    pub certificate: path::PathBuf,
    /// Private key of this host, PEM.
    pub key: path::PathBuf,
    /// Certificate of the authority that signs the hosts of this deployment, PEM.
    pub authority: path::PathBuf,
}

/// Logs, metrics and traces.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Lowest level that is logged: error, warn, info or debug.
    pub level: String,
    /// Address of the statsd server for metrics.
    pub statsd: Option<net::SocketAddr>,
    /// Endpoint of the OTLP collector for traces, such as `http://10.0.0.5:4317`.
    pub otlp: Option<String>,
    /// Period in which gauges are sent.
    #[serde(rename = "period_s")]
    #[serde_as(as = "numbers::Bounded<DurationSeconds<u64>>")]
    pub period: time::Duration,
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text does not have the form of settings.
    #[error("{path}: {message}")]
    Form {
        /// Path of the field.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// Fields have values that can't be used.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Values(Vec<config::Problem>),
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &path::Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::from_json(&text)
    }

    /// Reads and checks settings from JSON text, in which comments may stand.
    pub fn from_json(text: &str) -> Result<Settings, Error> {
        let stripped = json_comments::StripComments::new(text.as_bytes());
        let mut de = serde_json::Deserializer::from_reader(stripped);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut de).map_err(|e| Error::Form {
                path: e.path().to_string(),
                message: e.inner().to_string(),
            })?;
        let problems = check::check(&settings);
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Values(problems))
        }
    }

    fn default_requests() -> usize {
        4096
    }

    fn default_keys() -> usize {
        50_000
    }

    fn default_result_bytes() -> usize {
        4 << 20
    }
}

impl Platform {
    fn default_timeout() -> time::Duration {
        time::Duration::from_millis(500)
    }
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry {
            level: "info".to_string(),
            statsd: None,
            otlp: None,
            period: time::Duration::from_secs(10),
        }
    }
}
