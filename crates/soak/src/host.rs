//! Entry hosts of a run: the real program as a process of its own, with its links.

use std::{
    collections, fs, net,
    os::unix::process::ExitStatusExt,
    path,
    process::Stdio,
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::{sys::signal, unistd};
use tokio::process;
use yuccatide_platform_standins::objects;

use crate::proxy;

/// Variable that names the settings file.
const SETTINGS: &str = "YUCCATIDE_NODE_FILE";

/// Time between SIGTERM and SIGKILL that the settings promise.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time from its start within which SIGTERM may meet a process that does not handle it yet: it has
/// taken no request then, and ends by the signal.
const HANDLERS: Duration = Duration::from_millis(500);

/// Bounds that the settings name.
fn bounds(slack: u32) -> serde_json::Value {
    serde_json::json!({
        "grace_s": GRACE.as_secs(), "retry_budget_ratio": 0.2, "budget_slack": slack,
        "budget_window_s": 10, "ttl_max_s": 5, "max_shift": 0.15,
    })
}

/// Repeats that the settings allow in ten seconds besides a fifth of the requests.
pub const BUDGET_SLACK: u32 = 50;

/// An entry host.
pub struct Host {
    /// Where it stands and listens.
    pub place: objects::HostConfig,
    /// Link of callers to it.
    pub callers: proxy::Proxy,
    /// Link of it to the store.
    pub store: proxy::Proxy,
    /// Number of starts of its process.
    pub lifetime: u32,
    child: Option<process::Child>,
    started: Instant,
    /// Whether SIGTERM came before the process could handle it.
    is_stopped_early: bool,
    program: path::PathBuf,
    dir: path::PathBuf,
}

impl Host {
    /// A host whose process is not started yet; its settings and logs lie in `dir`.
    pub async fn new(
        (number, data_centre): (usize, &str),
        program: &path::Path,
        dir: &path::Path,
        store: net::SocketAddr,
    ) -> anyhow::Result<Host> {
        let ip = own_address(number);
        let mut ports = [0; 4];
        // Held until all are chosen: a port that is free again may be given out twice.
        let mut listeners = Vec::new();
        for port in &mut ports {
            let free = tokio::net::TcpListener::bind((ip, 0)).await;
            let free = free.with_context(|| format!("no port at {ip}"))?;
            *port = free.local_addr()?.port();
            listeners.push(free);
        }
        drop(listeners);
        let place = objects::HostConfig {
            name: format!("host-{number}"),
            ip,
            data_centre: data_centre.to_string(),
            ports,
        };
        Ok(Host {
            callers: proxy::Proxy::start(net::SocketAddr::new(ip, ports[0])).await?,
            store: proxy::Proxy::start(store).await?,
            place,
            lifetime: 0,
            child: None,
            started: Instant::now(),
            is_stopped_early: false,
            program: program.to_path_buf(),
            dir: dir.to_path_buf(),
        })
    }

    /// Address for requests, past the proxy.
    pub fn requests(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.place.ip, self.place.ports[0])
    }

    /// Address of the question whether it is ready.
    pub fn readiness(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.place.ip, self.place.ports[1])
    }

    /// Address for look-ups.
    pub fn lookups(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.place.ip, self.place.ports[2])
    }

    /// Writes its settings, with this slack of the retry budget.
    pub fn write_settings(
        &self,
        regions: &collections::BTreeMap<String, String>,
        slack: u32,
    ) -> anyhow::Result<()> {
        let settings = objects::settings(&self.place, self.store.address, regions, &bounds(slack));
        fs::write(self.settings(), settings.to_string()).context("settings are not written")
    }

    /// Starts the process.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let child = process::Command::new(&self.program)
            .env_clear()
            .env(SETTINGS, self.settings())
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} does not start", self.program.display()))?;
        self.child = Some(child);
        self.started = Instant::now();
        self.is_stopped_early = false;
        self.lifetime += 1;
        Ok(())
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends its process a signal.
    pub fn signal(&mut self, signal: signal::Signal) -> anyhow::Result<()> {
        let is_early = self.started.elapsed() < HANDLERS;
        self.is_stopped_early |= signal == signal::Signal::SIGTERM && is_early;
        if let Some(id) = self.child.as_ref().and_then(process::Child::id) {
            signal::kill(unistd::Pid::from_raw(i32::try_from(id)?), signal)?;
        }
        Ok(())
    }

    /// Kills its process.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await.context("a process is not killed")?;
        }
        Ok(())
    }

    /// Waits for its process to end after SIGTERM; tells what was wrong with its end, if anything.
    pub async fn ended(&mut self) -> anyhow::Result<Option<String>> {
        let Some(mut child) = self.child.take() else {
            return Ok(None);
        };
        let name = &self.place.name;
        let is_allowed = |status: &std::process::ExitStatus| {
            let by_signal = status.signal() == Some(signal::Signal::SIGTERM as i32);
            status.success() || (by_signal && self.is_stopped_early)
        };
        match tokio::time::timeout(2 * GRACE, child.wait()).await {
            Ok(status) if status.as_ref().is_ok_and(is_allowed) => Ok(None),
            Ok(status) => Ok(Some(format!("{name} ended with {status:?}"))),
            Err(_) => {
                child.kill().await?;
                Ok(Some(format!("{name} did not end within {:?}", 2 * GRACE)))
            }
        }
    }

    /// Log of all starts of its process.
    pub fn log_path(&self) -> path::PathBuf {
        self.dir.join(format!("{}.log", self.place.name))
    }

    fn settings(&self) -> path::PathBuf {
        self.dir.join(format!("{}.json", self.place.name))
    }
}

/// Loopback address of a host: runs beside each other differ by the process id, hosts by the last
/// byte, since the metrics' port is the same on all hosts.
pub fn own_address(number: usize) -> net::IpAddr {
    let [.., b, c] = std::process::id().to_be_bytes();
    let last = u8::try_from(number + 2).unwrap_or(u8::MAX);
    net::IpAddr::V4(net::Ipv4Addr::new(127, b.max(1), c, last))
}
