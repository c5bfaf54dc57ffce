//! Traces with a span for each hop, exported by OTLP.

use std::borrow;

use fastrace::{collector, prelude};
use opentelemetry_otlp::WithExportConfig;
use thiserror::Error;

/// Standard header that carries a trace across hops.
pub const TRACEPARENT: &str = "traceparent";

/// Why traces can't be exported.
#[derive(Debug, Error)]
#[error("traces can't be exported to {endpoint}: {message}")]
pub struct Error {
    endpoint: String,
    message: String,
}

/// Exports spans to an OTLP collector.  To be called within a tokio runtime.
pub fn init(endpoint: &str, host: &str) -> Result<(), Error> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_tonic()
        .with_endpoint(endpoint)
        .build()
        .map_err(|e| Error {
            endpoint: endpoint.to_string(),
            message: e.to_string(),
        })?;
    let resource = opentelemetry_sdk::Resource::builder()
        .with_service_name("yuccatided")
        .with_attribute(opentelemetry::KeyValue::new("host.name", host.to_string()))
        .build();
    let scope = opentelemetry::InstrumentationScope::builder("yuccatide")
        .with_version(env!("CARGO_PKG_VERSION"))
        .build();
    let runtime = tokio::runtime::Handle::current();
    let reporter = fastrace_opentelemetry::OpenTelemetryReporter::new(
        exporter,
        borrow::Cow::Owned(resource),
        scope,
    )
    .with_block_on(move |future| runtime.block_on(future));
    fastrace::set_reporter(reporter, collector::Config::default());
    Ok(())
}

/// Starts the span of a hop under the trace that a header names, or a new trace.
pub fn span(name: &'static str, traceparent: Option<&str>) -> prelude::Span {
    let parent = traceparent
        .and_then(prelude::SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(prelude::SpanContext::random);
    prelude::Span::root(name, parent)
}

/// Header value that makes the next hop a child of a span.
pub fn traceparent(span: &prelude::Span) -> Option<String> {
    prelude::SpanContext::from_span(span).map(|cx| cx.encode_w3c_traceparent())
}
