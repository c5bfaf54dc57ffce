//! Platform, backend servers and settings for hosts.

use std::{net, time};

use yuccatide_node::settings;
use yuccatide_standins::{backend, deployment, platform};
use yuccatide_steering::config;

/// Platform and one backend server of each service in each data centre.
pub struct World {
    /// The platform.
    pub platform: platform::Platform,
    /// Backend servers.
    pub backends: Vec<backend::Backend>,
    /// Configuration in the platform.
    pub doc: config::Document,
}

impl World {
    /// Starts the stand-ins for a deployment.
    pub async fn start(name: &str, service_time: time::Duration) -> anyhow::Result<World> {
        let mut doc = deployment::document(name).expect("the deployment exists");
        let mut kept = std::collections::BTreeSet::new();
        doc.servers
            .retain(|_, s| kept.insert((s.service.clone(), s.data_centre.clone())));
        let mut backends = Vec::new();
        for (id, server) in &mut doc.servers {
            let cfg = backend::Config {
                name: id.clone(),
                slots: doc.services[&server.service].slots,
                service_time,
                ..backend::Config::default()
            };
            let backend = backend::Backend::start(cfg).await?;
            server.address = backend.addr();
            backends.push(backend);
        }
        let platform = platform::Platform::start(platform::Config::default()).await?;
        let stored = config::StoredConfig::new(doc.clone());
        platform.put("config", name, serde_json::to_vec(&stored)?);
        Ok(World {
            platform,
            backends,
            doc,
        })
    }

    /// Settings of a host on ephemeral ports.
    pub fn settings(
        &self,
        host: &str,
        data_centre: &str,
        seeds: &[net::SocketAddr],
    ) -> anyhow::Result<settings::Settings> {
        let settings = serde_json::json!({
            "deployment": self.doc.deployment,
            "host": host,
            "data_centre": data_centre,
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "platform": { "address": self.platform.addr() },
            "seeds": seeds,
            "telemetry": { "level": "info" },
        });
        Ok(settings::Settings::from_json(&settings.to_string())?)
    }
}
