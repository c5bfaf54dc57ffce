//! The hosts of the deployment and the parts of quotas that each holds.

use std::collections;

use xxhash_rust::xxh3;

use super::quota;
use crate::model;

/// Part of the tolerated requests beside quotas that deepens the buckets; the rest covers rounding.
const USED_SLACK: f64 = 0.8;

/// Largest number of main holders of a quota in all data centres, unless there are more of these.
const MAX_MAIN_HOLDERS: f64 = 12.0;

/// A host that may hold parts of quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub host: model::HostId,
    /// Data centre that it runs in.
    pub data_centre: model::DataCentreId,
    /// Whether it has been heard of lately.
    pub is_live: bool,
}

/// What a host knows of the hosts among which quotas are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// All other hosts that this one knows, live or not, without duplicates.
    pub peers: Vec<Peer>,
    /// Region of each data centre of the deployment, with or without hosts.
    pub regions: collections::BTreeMap<model::DataCentreId, model::RegionId>,
    /// This host.
    pub own: model::HostId,
    /// Its data centre.
    pub own_data_centre: model::DataCentreId,
    /// Whether it knows all hosts of its data centre and they know it; until then it holds nothing.
    pub is_settled: bool,
}

/// Parts of each quota that a host holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Parts {
    /// Part of what the main holders share.
    pub(super) main: f64,
    /// Part of what all hosts share.
    pub(super) common: f64,
    /// Tokens beside the quota, for the main holders.
    pub(super) slack: f64,
}

impl Holders {
    /// Parts of a customer's quota that this host holds.
    pub(super) fn own_parts(&self, customer: u64, bounds: &quota::Bounds) -> Parts {
        if !self.is_settled {
            return Parts {
                main: 0.0,
                common: 0.0,
                slack: 0.0,
            };
        }
        let hosts = self.hosts_of(&self.own_data_centre);
        let main = self.main_holders_of(&self.own_data_centre, customer, bounds);
        let data_centres = self.regions.len().max(1) as f64;
        let is_main = main.contains(&self.own.as_str());
        let share = f64::from(u8::from(is_main)) / (data_centres * main.len().max(1) as f64);
        Parts {
            main: share,
            common: 1.0 / (data_centres * hosts.len() as f64),
            slack: share * USED_SLACK * bounds.slack,
        }
    }

    /// Other hosts to ask for a customer's tokens, nearest first: the main holders, and the other
    /// hosts of the own data centre if all hosts hold parts.
    pub(super) fn to_ask(
        &self,
        customer: u64,
        has_common_part: bool,
        bounds: &quota::Bounds,
    ) -> Vec<model::HostId> {
        let mut main: Vec<(u8, u64, &str)> = self
            .regions
            .keys()
            .flat_map(|data_centre| {
                let distance = self.distance(data_centre);
                let holders = self.main_holders_of(data_centre, customer, bounds);
                holders
                    .into_iter()
                    .map(move |host| (distance, self.turn(customer, host), host))
            })
            .filter(|(_, _, host)| *host != self.own)
            .collect();
        main.sort_unstable();
        let mut hosts: Vec<&str> = main.into_iter().map(|(_, _, host)| host).collect();
        if has_common_part {
            let mut others = self.hosts_of(&self.own_data_centre);
            others.retain(|host| *host != self.own && !hosts.contains(host));
            others.sort_unstable_by_key(|host| self.turn(customer, host));
            hosts.extend(others);
        }
        hosts.into_iter().map(str::to_string).collect()
    }

    /// Names of the hosts that have been heard of lately.
    pub(super) fn live(&self) -> collections::HashSet<model::HostId> {
        let live = self.peers.iter().filter(|peer| peer.is_live);
        live.map(|peer| peer.host.clone()).collect()
    }

    /// Whether the hosts and data centres are the same, live or not.
    pub(super) fn has_same_hosts(&self, other: &Holders) -> bool {
        let names = |holders: &Holders| -> collections::BTreeSet<model::HostId> {
            holders.peers.iter().map(|peer| peer.host.clone()).collect()
        };
        self.is_settled == other.is_settled
            && self.regions == other.regions
            && names(self) == names(other)
    }

    fn hosts_of(&self, data_centre: &str) -> Vec<&str> {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.data_centre == data_centre && peer.host != self.own)
            .map(|peer| peer.host.as_str());
        let own = (data_centre == self.own_data_centre).then_some(self.own.as_str());
        peers.chain(own).collect()
    }

    /// Main holders of a customer's quota in a data centre, by rendezvous hash.
    fn main_holders_of(
        &self,
        data_centre: &str,
        customer: u64,
        bounds: &quota::Bounds,
    ) -> Vec<&str> {
        let data_centres = self.regions.len().max(1) as f64;
        let most = (USED_SLACK * bounds.slack).min(MAX_MAIN_HOLDERS) / data_centres;
        let count = (most.floor() as usize).max(1);
        let mut hosts = self.hosts_of(data_centre);
        hosts.sort_unstable_by_key(|host| xxh3::xxh3_64_with_seed(host.as_bytes(), customer));
        hosts.truncate(count);
        hosts
    }

    /// Place of a holder among those that are as far away; it differs between hosts that ask.
    fn turn(&self, customer: u64, host: &str) -> u64 {
        let seed = customer ^ xxh3::xxh3_64(self.own.as_bytes());
        xxh3::xxh3_64_with_seed(host.as_bytes(), seed)
    }

    fn distance(&self, data_centre: &str) -> u8 {
        match self.regions.get(data_centre) {
            _ if data_centre == self.own_data_centre => 0,
            region if region == self.regions.get(&self.own_data_centre) => 1,
            _ => 2,
        }
    }
}
