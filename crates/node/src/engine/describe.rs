//! What operators see.

use std::{collections, sync, time};

use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use yuccatide_steering::{admin, config, membership, model, pool, steer};

use super::{engine, state};
use crate::meter;

/// Time that another host has to describe itself.
const DESCRIBE_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Hosts that are asked at once.
const ASKED_AT_ONCE: usize = 32;

/// What one host tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Report {
    host: model::HostId,
    version: model::Version,
    servers: Vec<admin::ServerStatus>,
}

impl engine::Engine {
    /// Status of the deployment: what this host knows, with the reports of all hosts it reaches.
    pub async fn status(self: &sync::Arc<engine::Engine>) -> Option<admin::Status> {
        let doc = self.document()?;
        let members = self.members();
        let reports = self.reports(&members).await;
        let servers = all_servers(&doc, &reports);
        let state = self.lock();
        let steering = state.active.as_ref()?.steer.status(self.now());
        drop(state);
        Some(admin::Status {
            deployment: doc.deployment.clone(),
            host: self.me.host.clone(),
            version: doc.version,
            platform_up: self.meter.platform_up(),
            data_centres: self.data_centres(&doc, &servers),
            hosts: members
                .iter()
                .map(|m| host_status(m, reports.get(&m.host)))
                .collect(),
            drains: drains(&doc, &servers, &members),
            servers,
            shares: shares(&steering, &self.me.data_centre),
            control: self.control(),
        })
    }

    /// Report of this host for others.
    pub fn report_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.report()).unwrap_or_default()
    }

    /// Counts and logs that another host was refused.
    pub fn note_refused(&self, cause: &str, from: &str) {
        self.metrics.fault(cause);
        log::warn!(cause = cause, host = from; "another host was refused");
    }

    /// What the host spends on control.
    pub fn control(&self) -> admin::Control {
        let usage = self
            .meter
            .usage(self.links.sent_bytes(), self.platform.calls());
        admin::Control {
            core_share: usage.core_share,
            resident_bytes: meter::resident_bytes(),
            bytes_per_second: usage.bytes_per_second,
            platform_calls_per_second: usage.platform_calls_per_second,
        }
    }

    /// All known hosts, this one included.
    pub fn members(&self) -> Vec<membership::Member> {
        self.view.load().members.values().cloned().collect()
    }

    fn report(&self) -> Report {
        let state = self.lock();
        let servers = state
            .active
            .as_ref()
            .map(|active| self.owned_servers(active));
        Report {
            host: self.me.host.clone(),
            version: state.active.as_ref().map_or(0, |a| a.doc.version),
            servers: servers.unwrap_or_default(),
        }
    }

    fn owned_servers(&self, active: &state::Active) -> Vec<admin::ServerStatus> {
        let snapshot = active.pool.snapshot();
        let services = snapshot.services.into_values();
        services
            .flat_map(|service| service.servers)
            .filter_map(|(name, server)| {
                let entry = active.doc.servers.get(&name)?;
                Some(admin::ServerStatus {
                    service: entry.service.clone(),
                    data_centre: entry.data_centre.clone(),
                    owner: Some(self.me.host.clone()),
                    state: server_state(server.state),
                    slots: server.usable_slots as u32,
                    in_use: server.in_flight,
                    name,
                })
            })
            .collect()
    }

    async fn reports(
        self: &sync::Arc<engine::Engine>,
        members: &[membership::Member],
    ) -> collections::BTreeMap<model::HostId, Report> {
        let others = members
            .iter()
            .filter(|m| m.host != self.me.host && m.state != membership::State::Dead)
            .map(|m| m.peer_address)
            .collect::<Vec<_>>();
        let asked = stream::iter(others).map(|to| self.links.describe(to, DESCRIBE_TIMEOUT));
        let answers = asked.buffer_unordered(ASKED_AT_ONCE).collect::<Vec<_>>();
        let reports = answers.await.into_iter().filter_map(Result::ok);
        reports
            .filter_map(|json| serde_json::from_slice::<Report>(&json).ok())
            .chain([self.report()])
            .map(|report| (report.host.clone(), report))
            .collect()
    }

    fn data_centres(
        &self,
        doc: &config::Document,
        servers: &[admin::ServerStatus],
    ) -> Vec<admin::DataCentreStatus> {
        let sum = |name: &str, f: fn(&admin::ServerStatus) -> u32| {
            let near = servers.iter().filter(|s| s.data_centre == name);
            near.map(f).sum()
        };
        let regions = doc.regions.iter();
        regions
            .flat_map(|(region, r)| r.data_centres.keys().map(move |name| (region, name)))
            .map(|(region, name)| admin::DataCentreStatus {
                name: name.clone(),
                region: region.clone(),
                reachable: *name == self.me.data_centre || !self.serving(name).is_empty(),
                slots: sum(name, |s| s.slots),
                in_use: sum(name, |s| s.in_use),
            })
            .collect()
    }
}

fn all_servers(
    doc: &config::Document,
    reports: &collections::BTreeMap<model::HostId, Report>,
) -> Vec<admin::ServerStatus> {
    let reported = reports.values().flat_map(|report| &report.servers);
    let reported = reported
        .map(|server| (&server.name, server))
        .collect::<collections::BTreeMap<_, _>>();
    doc.servers
        .iter()
        .map(|(name, entry)| match reported.get(name) {
            Some(server) => (*server).clone(),
            None => admin::ServerStatus {
                name: name.clone(),
                service: entry.service.clone(),
                data_centre: entry.data_centre.clone(),
                owner: None,
                state: admin::ServerState::Unknown,
                slots: 0,
                in_use: 0,
            },
        })
        .collect()
}

fn host_status(member: &membership::Member, report: Option<&Report>) -> admin::HostStatus {
    let state = match member.state {
        membership::State::Dead => admin::HostState::Dead,
        membership::State::Leaving => admin::HostState::Leaving,
        _ if !member.attributes.ready => admin::HostState::Starting,
        membership::State::Suspect => admin::HostState::Suspect,
        membership::State::Alive => admin::HostState::Live,
    };
    admin::HostStatus {
        name: member.host.clone(),
        data_centre: member.data_centre.clone(),
        address: member.address,
        incarnation: member.incarnation,
        state,
        version: report.map_or(member.config_version, |report| report.version),
    }
}

fn server_state(state: pool::ServerState) -> admin::ServerState {
    match state {
        pool::ServerState::Ready => admin::ServerState::Live,
        pool::ServerState::SlowStart => admin::ServerState::Cold,
        pool::ServerState::Draining | pool::ServerState::NotOwned => admin::ServerState::Leaving,
        pool::ServerState::Ejected
        | pool::ServerState::Unreachable
        | pool::ServerState::ReportedFull => admin::ServerState::Ejected,
    }
}

fn drains(
    doc: &config::Document,
    servers: &[admin::ServerStatus],
    members: &[membership::Member],
) -> Vec<admin::DrainStatus> {
    doc.drains
        .iter()
        .map(|(name, drain)| {
            let concerned = servers
                .iter()
                .filter(|s| concerns(&drain.target, s))
                .collect::<Vec<_>>();
            let closed = match &drain.target {
                config::DrainTarget::Host(host) => members.iter().all(|m| {
                    m.host != *host
                        || matches!(
                            m.state,
                            membership::State::Leaving | membership::State::Dead
                        )
                }),
                _ => concerned
                    .iter()
                    .all(|s| s.state == admin::ServerState::Leaving),
            };
            admin::DrainStatus {
                name: name.clone(),
                empty_by_unix_s: drain.empty_by.map(|at| at.as_secs()),
                closed,
                in_progress: concerned.iter().map(|s| s.in_use).sum(),
            }
        })
        .collect()
}

fn concerns(target: &config::DrainTarget, server: &admin::ServerStatus) -> bool {
    match target {
        config::DrainTarget::Host(host) => server.owner.as_ref() == Some(host),
        config::DrainTarget::Server(name) => server.name == *name,
        config::DrainTarget::DataCentre(name) => server.data_centre == *name,
    }
}

fn shares(
    status: &steer::Status,
    origin: &str,
) -> collections::BTreeMap<model::WorkId, collections::BTreeMap<String, f64>> {
    let flows = status.flows.iter().filter(|flow| flow.origin == origin);
    flows
        .map(|flow| (flow.work.clone(), flow.shares.clone()))
        .collect()
}
