//! Metrics, sent to a statsd server.

use std::{net, sync, time};

use cadence::prelude::*;
use thiserror::Error;

/// Prefix of all metrics.
const PREFIX: &str = "yuccatide";

/// Number of metrics that may wait to be sent; more are dropped.
const QUEUE_CAPACITY: usize = 8192;

/// Why metrics can't be sent.
#[derive(Debug, Error)]
#[error("metrics can't be sent to {address}: {message}")]
pub struct Error {
    address: net::SocketAddr,
    message: String,
}

/// Sender of metrics; cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    client: sync::Arc<cadence::StatsdClient>,
}

impl Metrics {
    /// Metrics that go nowhere.
    pub fn new() -> Metrics {
        Metrics::with_client(cadence::StatsdClient::from_sink(
            PREFIX,
            cadence::NopMetricSink,
        ))
    }

    /// Metrics that go to a statsd server by UDP, tagged with the host's name.
    pub fn with_statsd(address: net::SocketAddr, host: &str) -> Result<Metrics, Error> {
        let failed = |message: String| Error { address, message };
        let socket = net::UdpSocket::bind("0.0.0.0:0").map_err(|e| failed(e.to_string()))?;
        socket
            .set_nonblocking(true)
            .map_err(|e| failed(e.to_string()))?;
        let udp = cadence::BufferedUdpMetricSink::from(address, socket)
            .map_err(|e| failed(e.to_string()))?;
        let queue = cadence::QueuingMetricSink::builder()
            .with_capacity(QUEUE_CAPACITY)
            .build(udp);
        let client = cadence::StatsdClient::builder(PREFIX, queue)
            .with_tag("host", host)
            .build();
        Ok(Metrics::with_client(client))
    }

    fn with_client(client: cadence::StatsdClient) -> Metrics {
        Metrics {
            client: sync::Arc::new(client),
        }
    }

    /// Counts an answered look-up and its latency.
    pub fn lookup(&self, latency: time::Duration) {
        let _ = self.client.time("lookup.latency", latency);
    }

    /// Counts an answered request and its latency, by work, rank and outcome.
    pub fn request(&self, work: &str, rank: &str, outcome: &str, latency: time::Duration) {
        let _ = self
            .client
            .time_with_tags("request.latency", latency)
            .with_tag("work", work)
            .with_tag("rank", rank)
            .with_tag("outcome", outcome)
            .try_send();
    }

    /// Counts a request that was not run, by reason.
    pub fn not_run(&self, work: &str, reason: &str) {
        let _ = self
            .client
            .count_with_tags("request.not_run", 1)
            .with_tag("work", work)
            .with_tag("reason", reason)
            .try_send();
    }

    /// Counts an event that should not happen often, by cause.
    pub fn fault(&self, cause: &str) {
        let _ = self
            .client
            .count_with_tags("fault", 1)
            .with_tag("cause", cause)
            .try_send();
    }

    /// Sets a gauge of one service.
    pub fn service(&self, name: &str, service: &str, value: f64) {
        let _ = self
            .client
            .gauge_with_tags(name, value)
            .with_tag("service", service)
            .try_send();
    }

    /// Sets a gauge of one kind of work.
    pub fn work(&self, name: &str, work: &str, value: f64) {
        let _ = self
            .client
            .gauge_with_tags(name, value)
            .with_tag("work", work)
            .try_send();
    }

    /// Sets a gauge of the host.
    pub fn gauge(&self, name: &str, value: f64) {
        let _ = self.client.gauge(name, value);
    }

    /// Counts calls to the platform, by kind.
    pub fn platform_call(&self, kind: &str) {
        let _ = self
            .client
            .count_with_tags("platform.calls", 1)
            .with_tag("kind", kind)
            .try_send();
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
