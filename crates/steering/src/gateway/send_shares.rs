//! Division of a backend server's request rate among the hosts that may send to it.
//!
//! A few hosts, chosen by rendezvous hashing, share the rate, so that the sum stays bounded whatever
//! the number of hosts: they agree on the same few as far as they know the same hosts, and a host
//! more or less changes the choice for few servers.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{policy, server};
use crate::model;

/// Hash of a host's name.
type HostHash = u64;

/// Hosts of the deployment, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub struct KnownHosts {
    own: HostHash,
    /// Whether this host has not found the others yet, so that it must not rely on its view.
    is_undiscovered: bool,
    by_data_centre: collections::BTreeMap<model::DataCentreId, Vec<HostHash>>,
}

/// Bound on the rate of a cold backend server: `ratio` times the rate that it takes, and `slack`
/// requests in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate.
    pub ratio: f64,
    /// Number of requests.
    pub slack: f64,
}

/// Bound on the requests to a backend server from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RateBound {
    /// Requests per second on average.
    rate: f64,
    /// Requests beyond the average that all hosts together may send at one moment.
    burst: f64,
}

/// Average rate of a cold backend server relative to the rate that it takes.
const COLD_RATE_RATIO: f64 = 1.2;

/// Part of the rate for hosts of the backend server's own data centre; the others share the rest.
const LOCAL_RATE_SHARE: f64 = 2.0 / 3.0;

/// Parts of the burst that are given to hosts of the backend server's own data centre and of the
/// others.  The rest covers hosts that know different ones and choose other senders.
const LOCAL_BURST_SHARE: f64 = 0.5;
const REMOTE_BURST_SHARE: f64 = 0.25;

impl KnownHosts {
    /// Creates the view of the host named `own`.
    pub fn new<'a>(
        own: &str,
        hosts: impl IntoIterator<Item = (&'a model::DataCentreId, &'a str)>,
    ) -> KnownHosts {
        let mut by_data_centre = collections::BTreeMap::<model::DataCentreId, Vec<_>>::new();
        for (data_centre, host) in hosts {
            let hosts = by_data_centre.entry(data_centre.clone()).or_default();
            hosts.push(hash(host));
        }
        KnownHosts {
            own: hash(own),
            is_undiscovered: false,
            by_data_centre,
        }
    }

    /// View of a host that has not found the others yet; it gets no share of any rate.
    pub fn undiscovered() -> KnownHosts {
        KnownHosts {
            is_undiscovered: true,
            ..KnownHosts::default()
        }
    }

    /// Shortest time between two requests of this host to a backend server with which all hosts
    /// together keep the bound; `None` if this host is not among those that may send to it.
    fn interval(
        &self,
        server: u64,
        data_centre: &str,
        is_local: bool,
        bound: RateBound,
    ) -> Option<time::Duration> {
        let (rate, burst) = match is_local {
            true => (LOCAL_RATE_SHARE, LOCAL_BURST_SHARE),
            false => (1.0 - LOCAL_RATE_SHARE, REMOTE_BURST_SHARE),
        };
        let max_senders = (burst * bound.burst).max(1.0) as usize;
        // Each sender may send one request at once, whatever the average.
        let others = self
            .by_data_centre
            .iter()
            .filter(|(other, _)| (*other == data_centre) == is_local)
            .flat_map(|(_, hosts)| hosts)
            .filter(|host| **host != self.own);
        let own_weight = weight(self.own, server);
        let (mut preferred, mut count) = (0, 1);
        for host in others {
            count += 1;
            preferred += usize::from(weight(*host, server) > own_weight);
        }
        if preferred >= max_senders || self.is_undiscovered {
            return None;
        }
        let per_second = rate * bound.rate / count.min(max_senders) as f64;
        Some(time::Duration::from_secs_f64(1.0 / per_second))
    }
}

/// What a host needs to know to find its share of a backend server's rate.
#[derive(Debug)]
pub(super) struct SendShares {
    /// Data centre of this host.
    pub data_centre: model::DataCentreId,
    pub hosts: KnownHosts,
    pub cold_tolerance: ColdTolerance,
    pub services: collections::BTreeMap<model::ServiceId, policy::Service>,
}

impl SendShares {
    /// Shortest time between two requests of this host to the backend server while it is cold;
    /// `None` if this host must not send it any.
    fn cold_interval(&self, server: &server::Server) -> Option<time::Duration> {
        let entry = &server.entry;
        let service = self.services.get(&entry.service);
        let rate = service.map_or(0.0, |service| service.warmup_rate);
        if rate <= 0.0 {
            return Some(time::Duration::ZERO);
        }
        let tolerance = self.cold_tolerance;
        let bound = RateBound {
            rate: COLD_RATE_RATIO * rate,
            burst: (tolerance.ratio - COLD_RATE_RATIO) * rate + tolerance.slack,
        };
        let is_local = entry.data_centre == self.data_centre;
        self.hosts
            .interval(server.name_hash, &entry.data_centre, is_local, bound)
    }

    /// Time until this host may send the backend server a request; `None` if it has no share of
    /// its rate.
    pub fn wait(&self, server: &server::Server, now: model::Time) -> Option<time::Duration> {
        if !server.is_cold(now) {
            return Some(time::Duration::ZERO);
        }
        let interval = self.cold_interval(server)?;
        let next = server.last_sent.map(|last| last + interval);
        Some(next.map_or(time::Duration::ZERO, |next| next.saturating_sub(now)))
    }
}

fn hash(name: &str) -> HostHash {
    xxh3::xxh3_64(name.as_bytes())
}

fn weight(host: HostHash, server: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&host.to_le_bytes(), server)
}
