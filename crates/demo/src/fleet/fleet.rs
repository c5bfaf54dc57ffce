//! The whole deployment.

use std::{collections, fmt::Write, net, sync, time::Duration};

use anyhow::Context;
use serde_json::json;
use yuccatide_node::settings;
use yuccatide_standins::{backend, platform};
use yuccatide_steering::{admin, config, model};

use super::{copy, host};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time that backend servers take for a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(100);
const COLD_EXTRA: Duration = Duration::from_millis(100);
const COLD_RUNS: u32 = 20;

/// Data centres with a second entry host, counted from the first.
const DOUBLED_DATA_CENTRES: usize = 2;

/// A running deployment.
pub struct Fleet {
    /// First configuration.
    pub doc: config::Document,
    /// Platform.
    pub platform: platform::Platform,
    /// Backend servers by name.
    pub backends: sync::Arc<collections::BTreeMap<model::ServerId, backend::Backend>>,
    /// Entry hosts that are up.
    pub hosts: Vec<host::Host>,
}

impl Fleet {
    /// Starts everything and waits until all entry hosts are ready.
    pub async fn start(name: &str) -> anyhow::Result<Fleet> {
        let mut doc = copy::document(name)?;
        let backends = start_backends(&mut doc).await?;
        let platform = platform::Platform::start(platform::Config::default()).await?;
        for chunk in copy::blocks(&doc)? {
            platform.put("blocks", &chunk.entry.sha256, chunk.bytes);
            doc.blocks.push(chunk.entry);
        }
        let stored = config::StoredConfig::new(doc.clone());
        platform.put("config", name, serde_json::to_vec(&stored)?);
        let mut fleet = Fleet {
            doc,
            platform,
            backends: sync::Arc::new(backends),
            hosts: Vec::new(),
        };
        fleet.start_hosts().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Data centres in the order of their numbers.
    pub fn data_centres(&self) -> Vec<model::DataCentreId> {
        self.doc.data_centres().cloned().collect()
    }

    /// Team that may change everything.
    pub fn administrator(&self) -> &str {
        let mut teams = self.doc.teams.iter().filter(|(_, team)| team.administrator);
        teams.next().map_or("", |(name, _)| name)
    }

    /// Runs the operators' command against a host that is up.
    pub async fn operate(&self, team: &str, args: &[&str]) -> Result<String, yuccatide_cli::Error> {
        let address = self.hosts[0].admin.to_string();
        let token = copy::token(team);
        let head = ["--host", &address, "--token", &token, "--json"];
        let args = head.iter().chain(args).map(Into::into).collect();
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let mut out = Vec::new();
        yuccatide_cli::run(args, |_| None, now, &mut out).await?;
        Ok(String::from_utf8_lossy(&out).into_owned())
    }

    /// Status as one host sees it.
    pub async fn status(&self, host: &host::Host) -> anyhow::Result<admin::Status> {
        status_at(host.admin).await
    }

    /// Addresses for somebody who wants to try the operators' command.
    pub fn addresses(&self) -> String {
        let mut text = String::from("entry hosts (callers, operators):\n");
        for host in &self.hosts {
            let _ = writeln!(
                text,
                "  {:<16} {:<14} {:<22} {}",
                host.name, host.data_centre, host.callers, host.admin
            );
        }
        let admin = self.hosts.first().map(|host| host.admin);
        let token = copy::token(self.administrator());
        let _ = writeln!(text, "platform: {}", self.platform.addr());
        if let Some(admin) = admin {
            let _ = writeln!(
                text,
                "export YUCCATIDE_HOST={admin} YUCCATIDE_TOKEN={token}\n\
                 cargo run --release -q -p yuccatide-cli -- status\n\
                 Interrupt to end."
            );
        }
        text
    }

    async fn start_hosts(&mut self) -> anyhow::Result<()> {
        let data_centres = self.data_centres();
        let doubled = data_centres.iter().take(DOUBLED_DATA_CENTRES);
        let places = data_centres.iter().map(|dc| (dc, 1));
        for (dc, number) in places.chain(doubled.map(|dc| (dc, 2))) {
            let seeds = self.hosts.iter().map(|host| host.peers).collect();
            let settings = self.settings(format!("{dc}-{number}"), dc.clone(), seeds)?;
            self.hosts.push(host::Host::start(settings).await?);
        }
        let list = self.hosts.iter().map(|host| {
            json!({
                "host": host.name, "data_centre": host.data_centre,
                "peer_address": host.peers, "leaving": false,
            })
        });
        let list = serde_json::to_vec(&list.collect::<Vec<_>>())?;
        self.platform.put("hosts", "live", list);
        Ok(())
    }

    fn settings(
        &self,
        host: model::HostId,
        data_centre: model::DataCentreId,
        seeds: Vec<net::SocketAddr>,
    ) -> anyhow::Result<settings::Settings> {
        let settings = json!({
            "deployment": self.doc.deployment, "host": host, "data_centre": data_centre,
            "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "platform": {"address": self.platform.addr()}, "seeds": seeds,
        });
        Ok(settings::Settings::from_json(&settings.to_string())?)
    }

    /// Waits until each host has the configuration and knows all hosts.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let all = self.hosts.len();
        let ready = async {
            for host in &self.hosts {
                loop {
                    let status = self.status(host).await;
                    let live = |s: &admin::HostStatus| s.state == admin::HostState::Live;
                    if status.is_ok_and(|s| s.hosts.iter().filter(|h| live(h)).count() == all) {
                        break;
                    }
                    tokio::time::sleep(POLL_PERIOD).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .context("the entry hosts did not find each other")
    }
}

/// Status as the host with this administration address sees it.
pub async fn status_at(address: net::SocketAddr) -> anyhow::Result<admin::Status> {
    let address = address.to_string();
    let args = ["--host", &address, "--json", "status"];
    let mut out = Vec::new();
    let args = args.iter().map(Into::into).collect();
    yuccatide_cli::run(args, |_| None, Duration::ZERO, &mut out).await?;
    Ok(serde_json::from_slice(&out)?)
}

/// Starts the backend servers and writes their addresses into the configuration.
async fn start_backends(
    doc: &mut config::Document,
) -> anyhow::Result<collections::BTreeMap<model::ServerId, backend::Backend>> {
    let mut backends = collections::BTreeMap::new();
    for (id, server) in &mut doc.servers {
        let service = &doc.services[&server.service];
        let backend = backend::Backend::start(backend::Config {
            name: id.clone(),
            slots: service.slots,
            backlog: service.slots,
            connections: service.connections,
            service_time: SERVICE_TIME,
            cold_extra: COLD_EXTRA,
            cold_runs: COLD_RUNS,
            ..backend::Config::default()
        })
        .await?;
        server.address = backend.addr();
        backends.insert(id.clone(), backend);
    }
    Ok(backends)
}
