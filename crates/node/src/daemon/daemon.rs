//! Start and stop of an entry host.

use std::{net, sync, time};

use anyhow::Context;
use rand::SeedableRng;
use tokio_util::task;
use yuccatide_steering::{dedup, membership};

use super::peers;
use crate::{
    admin, callers, clock, engine, peer, platform, serve, settings, tasks,
    telemetry::{metrics, traces},
};

/// Time in which all hosts hear that one leaves, and until which their look-ups may name it.
const NEWS: time::Duration = time::Duration::from_millis(500);

/// Time in which the last messages leave.
const FAREWELL: time::Duration = time::Duration::from_millis(200);

/// Cause of the fault that is counted when a long-lived task ends.
const TASK_ENDED: &str = "task-ended";

/// A running entry host.
pub struct Daemon {
    engine: sync::Arc<engine::Engine>,
    callers: serve::Server,
    admin: serve::Server,
    peers: net::SocketAddr,
    tasks: Vec<task::AbortOnDropHandle<()>>,
}

impl Daemon {
    /// Starts an entry host within a tokio runtime.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<Daemon> {
        let clock = clock::Clock::new();
        let metrics = match settings.telemetry.statsd {
            Some(address) => metrics::Metrics::with_statsd(address, &settings.host)?,
            None => metrics::Metrics::new(),
        };
        if let Some(endpoint) = &settings.telemetry.otlp {
            traces::init(endpoint, &settings.host)?;
        }
        let identity = settings
            .tls
            .as_ref()
            .map(peer::Identity::read)
            .transpose()?;
        let callers = serve::Server::listen(settings.callers)
            .await
            .with_context(|| format!("callers: can't listen on {}", settings.callers))?;
        let peers = serve::Server::listen(settings.peers)
            .await
            .with_context(|| format!("peers: can't listen on {}", settings.peers))?;
        let admin = serve::Server::listen(settings.admin)
            .await
            .with_context(|| format!("admin: can't listen on {}", settings.admin))?;
        let me = membership::Identity {
            host: settings.host.clone(),
            incarnation: clock.incarnation(),
            data_centre: settings.data_centre.clone(),
            address: callers.local_addr()?,
            peer_address: peers.local_addr()?,
            deployment: settings.deployment.clone(),
        };
        let links = sync::Arc::new(new_links(&me, identity.clone()));
        let engine = new_engine(
            &settings,
            &me,
            clock,
            metrics.clone(),
            sync::Arc::clone(&links),
        );
        let peers = peers::Peers {
            engine: sync::Arc::clone(&engine),
            links,
            listener: sync::Arc::new(peers),
            deployment: settings.deployment.clone(),
            tls: settings.tls.clone(),
            identity,
        };
        let fault_metrics = metrics.clone();
        let tasks = tasks::Tasks::new(move |_| fault_metrics.fault(TASK_ENDED));
        let interface = sync::Arc::new(callers::Interface::new(
            sync::Arc::clone(&engine),
            metrics,
            settings.max_requests,
            tasks.clone(),
        ));
        let callers = serve::Server::start(callers, move |req, client| {
            let interface = sync::Arc::clone(&interface);
            async move { interface.handle(req, client).await }
        })?;
        let operators = sync::Arc::new(admin::Interface::new(sync::Arc::clone(&engine)));
        let admin = serve::Server::start(admin, move |req, _| {
            let operators = sync::Arc::clone(&operators);
            async move { operators.handle(req).await }
        })?;
        let spawned = start_tasks(&tasks, &engine, peers, settings.telemetry.period);
        Ok(Daemon {
            engine,
            callers,
            admin,
            peers: me.peer_address,
            tasks: spawned,
        })
    }

    /// Waits until one of the servers has ended, which they do only after a failure.
    pub async fn ended(&mut self) {
        tokio::select! {
            () = self.callers.ended() => {}
            () = self.admin.ended() => {}
        }
    }

    /// Address for callers.
    pub fn callers(&self) -> net::SocketAddr {
        self.callers.addr()
    }

    /// Address for operators.
    pub fn admin(&self) -> net::SocketAddr {
        self.admin.addr()
    }

    /// Address for other hosts.
    pub fn peers(&self) -> net::SocketAddr {
        self.peers
    }

    /// The decisions of the host.
    pub fn engine(&self) -> &sync::Arc<engine::Engine> {
        &self.engine
    }

    /// Planned stop: leaves the look-ups, serves as long as callers may have cached them,
    /// finishes the requests in progress and hands the keys to their witnesses.
    pub async fn stop(self) {
        self.engine.leave();
        tokio::time::sleep(self.engine.lookup_ttl() + NEWS).await;
        self.callers.finish().await;
        self.engine.drained().await;
        self.engine.stop();
        tokio::time::sleep(FAREWELL).await;
        drop(self.tasks);
    }

    /// Stops at once, like a failed process.
    pub fn kill(self) {}
}

/// Starts the tasks that run as long as the host.
fn start_tasks(
    tasks: &tasks::Tasks,
    engine: &sync::Arc<engine::Engine>,
    peers: peers::Peers,
    gauge_period: time::Duration,
) -> Vec<task::AbortOnDropHandle<()>> {
    let engine = || sync::Arc::clone(engine);
    let (gauges, ticks, loads) = (engine(), engine(), engine());
    let (blocks, hosts) = (engine(), engine());
    vec![
        tasks.keep_running("peers", move || peers.clone().serve()),
        tasks.keep_running("gauges", move || {
            sync::Arc::clone(&gauges).send_gauges(gauge_period)
        }),
        tasks.keep_running("ticks", move || sync::Arc::clone(&ticks).tick_forever()),
        tasks.keep_running("loads", move || sync::Arc::clone(&loads).poll_loads()),
        tasks.keep_running("blocks", move || sync::Arc::clone(&blocks).load_blocks()),
        tasks.keep_running("hosts", move || sync::Arc::clone(&hosts).follow_hosts()),
    ]
}

fn new_links(me: &membership::Identity, identity: Option<peer::Identity>) -> peer::Links {
    let me = peer::Me {
        deployment: me.deployment.clone(),
        host: me.host.clone(),
        incarnation: me.incarnation,
    };
    peer::Links::new(me, identity)
}

fn new_engine(
    settings: &settings::Settings,
    me: &membership::Identity,
    clock: clock::Clock,
    metrics: metrics::Metrics,
    links: sync::Arc<peer::Links>,
) -> sync::Arc<engine::Engine> {
    let cfg = platform::Config {
        timeout: settings.platform.timeout,
        // The decisions pace their own retries.
        attempts: 1,
        ..platform::Config::new(settings.platform.address)
    };
    engine::Engine::new(engine::Parts {
        me: me.clone(),
        seeds: settings.seeds.clone(),
        clock,
        links,
        platform: platform::Client::new(cfg, rand::rngs::StdRng::from_os_rng()),
        metrics,
        limits: dedup::Limits {
            keys: settings.max_keys,
            result_bytes: settings.max_result_bytes,
            ..dedup::Limits::default()
        },
        seed: rand::random(),
    })
}
