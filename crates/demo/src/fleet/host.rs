//! An entry host with a runtime of its own, so that it can be killed.

use std::net;

use yuccatide_node::{daemon, settings};
use yuccatide_steering::model;

/// A running entry host.
pub struct Host {
    /// Name.
    pub name: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for other hosts.
    pub peers: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    runtime: Option<tokio::runtime::Runtime>,
    daemon: Option<daemon::Daemon>,
}

impl Host {
    /// Starts an entry host.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<Host> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let (name, data_centre) = (settings.host.clone(), settings.data_centre.clone());
        let daemon = runtime.spawn(daemon::Daemon::start(settings)).await??;
        Ok(Host {
            name,
            data_centre,
            callers: daemon.callers(),
            peers: daemon.peers(),
            admin: daemon.admin(),
            runtime: Some(runtime),
            daemon: Some(daemon),
        })
    }

    /// Ends the host at once, as if its process had died: all its sockets are closed.
    pub fn kill(self) {
        drop(self);
    }

    /// Planned stop: the host leaves and finishes its requests.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        if let (Some(runtime), Some(daemon)) = (&self.runtime, self.daemon.take()) {
            runtime.spawn(daemon.stop()).await?;
        }
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // A runtime may not wait for its tasks within another one.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
