//! Single steps.

use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::json;
use yuccatide_steering::{admin, config, model};

use crate::{fleet, judge};

const POLL_PERIOD: Duration = Duration::from_millis(20);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);
const EMPTY_TIMEOUT: Duration = Duration::from_secs(6);

/// Requests per second that all backend servers of a service can take.
pub fn capacity(doc: &config::Document, service: &str) -> f64 {
    let servers = doc.servers.values().filter(|s| s.service == service);
    let slots = servers.count() as f64 * f64::from(doc.services[service].slots);
    slots / fleet::SERVICE_TIME.as_secs_f64()
}

/// Keeps the work of one policy away from the last region, and tries it again when outdated.
pub async fn patch(fleet: &fleet::Fleet, facts: &mut judge::Facts) -> anyhow::Result<()> {
    let (name, policy) = fleet.doc.policies.iter().next().context("no policy")?;
    let regions = fleet.doc.regions.keys().collect::<Vec<_>>();
    let kept = &regions[..regions.len() - 1];
    let merge = json!({"policies": {name: {"regions": kept}}});
    let file = std::env::temp_dir().join(format!("yuccatide-demo-{}.json", std::process::id()));
    std::fs::write(&file, merge.to_string())?;
    let args = ["config", "patch", "--base", "1", &file.to_string_lossy()];
    let accepted = fleet.operate(&policy.team, &args).await;
    let since = Instant::now();
    let again = fleet.operate(&policy.team, &args).await;
    std::fs::remove_file(&file)?;
    let version = serde_json::from_str::<admin::Version>(&accepted?)?.version;
    facts.outdated_refused = matches!(
        again,
        Err(yuccatide_cli::Error::Outdated { current, .. }) if current == version
    );
    let wait = wait_in_force(fleet, version);
    if tokio::time::timeout(IN_FORCE_TIMEOUT, wait).await.is_ok() {
        facts.in_force = Some(since.elapsed());
    }
    Ok(())
}

async fn wait_in_force(fleet: &fleet::Fleet, version: model::Version) {
    for host in &fleet.hosts {
        while !fleet.status(host).await.is_ok_and(|s| s.version >= version) {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

/// Plans the stop of a backend server and waits until it is empty.
pub async fn drain(fleet: &fleet::Fleet, facts: &mut judge::Facts) -> anyhow::Result<()> {
    let server = fleet.doc.servers.keys().next().context("no server")?;
    let args = ["drain", "start", "server", server];
    fleet.operate(fleet.administrator(), &args).await?;
    let since = Instant::now();
    facts.drained = Some((server.clone(), since));
    let backend = &fleet.backends[server];
    let empty = async {
        // A server between two requests is not yet empty.
        let mut idle = Instant::now();
        while idle.elapsed() < Duration::from_secs(1) {
            if backend.in_use() > 0 {
                idle = Instant::now();
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        idle
    };
    if let Ok(idle) = tokio::time::timeout(EMPTY_TIMEOUT, empty).await {
        facts.empty_after = Some(idle.saturating_duration_since(since));
    }
    Ok(())
}

/// Stops a host as planned.
pub async fn stop(host: Option<fleet::Host>, facts: &mut judge::Facts) -> anyhow::Result<()> {
    tokio::time::sleep(Duration::from_millis(200)).await;
    let since = Instant::now();
    if let Some(host) = host {
        host.stop().await?;
    }
    facts.stop_time = since.elapsed();
    Ok(())
}
