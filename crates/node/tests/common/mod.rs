//! A small deployment on loopback: platform, backend servers and entry hosts.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{net, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use yuccatide_node::{daemon, settings};
use yuccatide_standins::{backend, deployment, platform};
use yuccatide_steering::config;

/// Generous bound on any wait in a test.
pub const WAIT: time::Duration = time::Duration::from_secs(30);

/// Platform and backend servers of a small copy of a deployment.
pub struct World {
    pub platform: platform::Platform,
    pub backends: Vec<(String, backend::Backend)>,
    pub doc: config::Document,
}

/// Starts the platform and the first `per_data_centre` backend servers of each service in each
/// data centre.
pub async fn world(name: &str, per_data_centre: usize) -> World {
    let mut doc = deployment::document(name).unwrap();
    let mut kept = std::collections::BTreeMap::<_, usize>::new();
    doc.servers.retain(|_, server| {
        let count = kept
            .entry((server.service.clone(), server.data_centre.clone()))
            .or_default();
        *count += 1;
        *count <= per_data_centre
    });
    let mut backends = Vec::new();
    for (id, server) in &mut doc.servers {
        let service = &doc.services[&server.service];
        let cfg = backend::Config {
            name: id.clone(),
            slots: service.slots,
            service_time: time::Duration::from_millis(5),
            ..backend::Config::default()
        };
        let backend = backend::Backend::start(cfg).await.unwrap();
        server.address = backend.addr();
        backends.push((id.clone(), backend));
    }
    let platform = platform::Platform::start(platform::Config::default())
        .await
        .unwrap();
    let stored = config::StoredConfig::new(doc.clone());
    platform.put("config", name, serde_json::to_vec(&stored).unwrap());
    World {
        platform,
        backends,
        doc,
    }
}

/// Settings of a host on ephemeral ports.
pub fn settings(
    world: &World,
    host: &str,
    data_centre: &str,
    seeds: &[net::SocketAddr],
) -> settings::Settings {
    let text = serde_json::json!({
        "deployment": world.doc.deployment,
        "host": host,
        "data_centre": data_centre,
        "callers": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "platform": { "address": world.platform.addr() },
        "seeds": seeds,
    });
    settings::Settings::from_json(&text.to_string()).unwrap()
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let waited = async {
        while !condition().await {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT, waited).await;
    assert!(waited.is_ok(), "never happened: {what}");
}

/// Starts a host and waits until it is ready.
pub async fn start(settings: settings::Settings) -> daemon::Daemon {
    let daemon = daemon::Daemon::start(settings).await.unwrap();
    until("the host is ready", async || daemon.engine().is_ready()).await;
    daemon
}

/// An answer to a caller.
pub struct Reply {
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }
}

/// Sends one request on a connection of its own.
pub async fn send(req: http::Request<Full<Bytes>>) -> Reply {
    let client: legacy::Client<_, Full<Bytes>> =
        legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let reply = tokio::time::timeout(WAIT, client.request(req)).await;
    let (parts, body) = reply.unwrap().unwrap().into_parts();
    Reply {
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    }
}

/// Sends a GET request.
pub async fn get(addr: net::SocketAddr, path: &str) -> Reply {
    let uri = format!("http://{addr}{path}");
    send(http::Request::get(uri).body(Full::default()).unwrap()).await
}

/// Waits until hosts know how many serve in a data centre.
pub async fn until_serving(hosts: &[&daemon::Daemon], data_centre: &str, count: usize) {
    until("the hosts know each other", async || {
        hosts
            .iter()
            .all(|host| host.engine().serving(data_centre).len() == count)
    })
    .await;
}
