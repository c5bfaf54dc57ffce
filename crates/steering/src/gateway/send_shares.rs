//! Division of a backend server's request rate among the hosts that may send to it.
//!
//! A few hosts, chosen by rendezvous hashing, share the rate, so that the sum stays bounded whatever
//! the number of hosts: they agree on the same few as far as they know the same hosts, and a host
//! more or less changes the choice for few servers.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{policy, server, signal_book};
use crate::{model, numbers};

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
    /// Part of the rate for hosts of the server's own data centre; the others share the rest.
    local_share: f64,
    /// Requests beyond the average that all hosts together may send at one moment.
    burst: f64,
}

/// Smallest average rate in requests per second; far below any that serves, it keeps times bounded.
const MIN_RATE: f64 = 0.001;

/// Average rate of a cold backend server relative to the rate that it takes.
const COLD_RATE_RATIO: f64 = 1.2;

/// Part of a cold backend server's rate for hosts of its own data centre.
const LOCAL_COLD_SHARE: f64 = 2.0 / 3.0;

/// Part of a limit that a backend server names for hosts of its own data centre.  Other hosts use it
/// only while their own data centre has none.
const LOCAL_LIMIT_SHARE: f64 = 0.85;

/// A backend server tolerates this many times the limit that it names, and some requests more, in
/// any span of this length.
const LIMIT_TOLERANCE_RATIO: f64 = 1.5;
const LIMIT_TOLERANCE_REQUESTS: f64 = 5.0;
const LIMIT_TOLERANCE_WINDOW: time::Duration = time::Duration::from_secs(4);

/// Smallest rate at which a backend server with a limit gets requests, which show whether it has
/// lifted the limit; well within what it tolerates.
const MIN_LIMITED_RATE: f64 = 0.25;

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
            true => (bound.local_share, LOCAL_BURST_SHARE),
            false => (1.0 - bound.local_share, REMOTE_BURST_SHARE),
        };
        // Each sender may send one request at once, whatever the average.
        let max_senders = (burst * bound.burst).max(1.0) as usize;
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
        let rate = rate * bound.rate.max(MIN_RATE);
        let per_second = rate / count.min(max_senders) as f64;
        Some(numbers::saturating_duration(1.0 / per_second))
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
    /// Limits that servers have named, in requests per second from all hosts together.
    pub limits: signal_book::SignalBook<f64>,
    /// Servers that have said that they leave.
    pub leaving: signal_book::SignalBook<()>,
}

/// This host's share of a backend server's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Time until this host may send the server a request.
    pub wait: time::Duration,
    /// Time between two requests of this host; zero without a bound.
    pub interval: time::Duration,
    /// Whether this host has used up its share of the limit that the server has named.
    pub is_used_up: bool,
    /// Whether the server wants no requests from this host for a while.
    pub is_paused: bool,
}

impl Share {
    /// Whether other servers go before this one as long as there are any.
    pub fn is_last_choice(self) -> bool {
        self.is_used_up || self.is_paused
    }
}

impl SendShares {
    /// This host's share of the backend server's rate; `None` if it must not send it any request.
    pub fn share(&self, server: &server::Server, now: model::Time) -> Option<Share> {
        let cold = server.is_cold(now).then(|| self.cold_bound(server));
        let limited = self.limit(server).map(limit_bound);
        let is_limited = limited.is_some();
        let bounds = cold.flatten().into_iter().chain(limited);
        let interval = bounds
            .map(|bound| self.interval(server, bound))
            .try_fold(time::Duration::ZERO, |longest, interval| {
                Some(longest.max(interval?))
            })?;
        let next = server.last_sent.map(|last| last + interval);
        let wait = next.map_or(time::Duration::ZERO, |next| next.saturating_sub(now));
        let pause = server.pause_left(now);
        Some(Share {
            wait: wait.max(pause),
            interval,
            is_used_up: is_limited && wait > time::Duration::ZERO,
            is_paused: pause > time::Duration::ZERO,
        })
    }

    /// Whether the backend server has said in an answer that it leaves, or was seen to leave by an
    /// entry that an older one may have replaced.
    pub fn is_leaving(&self, server: &server::Server) -> bool {
        let signal = self.leaving.get(server.name_hash, server.entry.incarnation);
        signal.is_some() || server.is_doubted()
    }

    /// Whether the backend server may get requests, regardless of its load and its rate.
    pub fn is_usable(&self, server: &server::Server, now: model::Time) -> bool {
        server.is_usable(now) && !self.is_leaving(server)
    }

    /// Limit that the backend server has named, in requests per second from all hosts together.
    pub fn limit(&self, server: &server::Server) -> Option<f64> {
        self.limits.get(server.name_hash, server.entry.incarnation)
    }

    fn cold_bound(&self, server: &server::Server) -> Option<RateBound> {
        let service = self.services.get(&server.entry.service)?;
        let (rate, tolerance) = (service.warmup_rate, self.cold_tolerance);
        let bound = RateBound {
            rate: COLD_RATE_RATIO * rate,
            local_share: LOCAL_COLD_SHARE,
            burst: (tolerance.ratio - COLD_RATE_RATIO) * rate + tolerance.slack,
        };
        (rate > 0.0).then_some(bound)
    }

    fn interval(&self, server: &server::Server, bound: RateBound) -> Option<time::Duration> {
        let data_centre = &server.entry.data_centre;
        let is_local = *data_centre == self.data_centre;
        self.hosts
            .interval(server.name_hash, data_centre, is_local, bound)
    }
}

/// The whole limit is used on average; what is tolerated beyond it covers the moment in which all
/// hosts learn of it.
fn limit_bound(limit: f64) -> RateBound {
    let beyond = (LIMIT_TOLERANCE_RATIO - 1.0) * limit * LIMIT_TOLERANCE_WINDOW.as_secs_f64();
    RateBound {
        rate: limit.max(MIN_LIMITED_RATE),
        local_share: LOCAL_LIMIT_SHARE,
        burst: beyond + LIMIT_TOLERANCE_REQUESTS,
    }
}

fn hash(name: &str) -> HostHash {
    xxh3::xxh3_64(name.as_bytes())
}

fn weight(host: HostHash, server: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&host.to_le_bytes(), server)
}
