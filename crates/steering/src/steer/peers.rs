//! Live hosts and their latest load reports.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::message;
use crate::model;

/// Age above which a load report is ignored.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_secs(5);

/// Age of the list of hosts above which no traffic is moved.
const HOSTS_MAX_AGE: time::Duration = time::Duration::from_secs(15);

/// Time for which a lost data centre has to be live again before traffic returns to it.
pub(super) const RECOVERY_DWELL: time::Duration = time::Duration::from_secs(10);

/// A live entry host; the list includes this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host name.
    pub host: model::HostId,
    /// Data centre of the host.
    pub data_centre: model::DataCentreId,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// Live hosts as of the latest list, this host included, with the reports of the others.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_host: collections::BTreeMap<model::HostId, Peer>,
    updated: Option<model::Time>,
    /// Time since which each data centre has been live without interruption; zero if it was in the
    /// first list.
    live_since: collections::BTreeMap<model::DataCentreId, model::Time>,
    reports: collections::BTreeMap<model::HostId, (message::Report, model::Time)>,
}

impl Peers {
    /// Replaces the list of live hosts.
    pub fn set(&mut self, peers: &[Peer], now: model::Time) {
        let since = self.updated.map_or(model::Time::ZERO, |_| now);
        let live = peers
            .iter()
            .map(|p| p.data_centre.clone())
            .collect::<collections::BTreeSet<_>>();
        self.live_since.retain(|dc, _| live.contains(dc));
        for dc in live {
            self.live_since.entry(dc).or_insert(since);
        }
        self.by_host = peers.iter().map(|p| (p.host.clone(), p.clone())).collect();
        self.reports
            .retain(|host, _| self.by_host.contains_key(host));
        self.updated = Some(now);
    }

    /// Whether the list is recent enough for traffic to be moved.
    pub fn is_fresh(&self, now: model::Time) -> bool {
        self.updated
            .is_some_and(|at| now.saturating_sub(at) <= HOSTS_MAX_AGE)
    }

    /// Data centre of a live host.
    pub fn data_centre_of(&self, host: &str) -> Option<&model::DataCentreId> {
        self.by_host.get(host).map(|p| &p.data_centre)
    }

    /// Hosts of a data centre that may own servers; hosts that are stopping only if there is no
    /// other.
    pub fn hosts_of<'a>(&'a self, data_centre: &'a str) -> Vec<&'a model::HostId> {
        let live = || {
            self.by_host
                .values()
                .filter(move |p| p.data_centre == data_centre)
        };
        let staying = live()
            .filter(|p| !p.leaving)
            .map(|p| &p.host)
            .collect::<Vec<_>>();
        match staying.is_empty() {
            true => live().map(|p| &p.host).collect(),
            false => staying,
        }
    }

    /// All live hosts.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.by_host.values()
    }

    /// Whether a data centre has been live for long enough for traffic to be moved to it.
    pub fn is_stable(&self, data_centre: &str, now: model::Time) -> bool {
        self.live_since
            .get(data_centre)
            .is_some_and(|since| since.is_zero() || now >= *since + RECOVERY_DWELL)
    }

    /// Whether a data centre has a live host.
    pub fn has_live_host(&self, data_centre: &str) -> bool {
        self.live_since.contains_key(data_centre)
    }

    /// Records the report of a host; reports of unknown hosts are ignored.
    pub fn record_report(&mut self, from: &str, report: message::Report, now: model::Time) {
        if self.by_host.contains_key(from) {
            self.reports.insert(from.to_string(), (report, now));
        }
    }

    /// Latest load of a host for a service, unless the report is too old.
    pub fn load(&self, host: &str, service: &str, now: model::Time) -> Option<message::Load> {
        self.reports
            .get(host)
            .filter(|(_, at)| now.saturating_sub(*at) <= REPORT_MAX_AGE)
            .and_then(|(report, _)| report.services.get(service))
            .copied()
    }
}
