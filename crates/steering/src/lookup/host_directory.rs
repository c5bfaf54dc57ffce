//! Hosts that look-ups may return.

use std::collections;

use crate::{membership, model};

/// Hosts that serve callers, grouped by data centre.
#[derive(Clone, Debug, Default)]
pub struct HostDirectory {
    data_centres: collections::BTreeMap<model::DataCentreId, DataCentre>,
}

/// Hosts of a data centre.
#[derive(Clone, Debug, Default)]
struct DataCentre {
    hosts: Vec<Candidate>,
    /// Whether the local data centre receives nothing from it.
    silent: bool,
    /// Whether the weights of its hosts differ.
    weighted: bool,
}

#[derive(Clone, Debug)]
struct Candidate {
    hash: u64,
    member: membership::Member,
}

impl HostDirectory {
    /// Collects the members that are live, ready and not leaving.
    ///
    /// Data centres for which `silent` returns true come last in responses: their hosts may still
    /// serve callers that reach them, but the local data centre receives nothing from them.
    pub fn new(
        members: impl Iterator<Item = membership::Member>,
        silent: impl Fn(&str) -> bool,
    ) -> HostDirectory {
        let mut directory = HostDirectory::default();
        for member in members.filter(membership::Member::serves) {
            let name = member.data_centre.clone();
            let data_centre = directory.data_centres.entry(name).or_default();
            data_centre.add(member, &silent);
        }
        directory
    }

    /// Whether a data centre has hosts that serve callers.
    pub fn has_hosts(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// Whether a data centre has hosts but the local data centre receives nothing from it.
    pub fn is_silent(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|dc| dc.silent)
    }

    /// Selects the `count` hosts of a data centre with the highest weighted rendezvous scores for
    /// a key.
    pub fn select_hosts(
        &self,
        data_centre: &str,
        key: u64,
        count: usize,
    ) -> Vec<&membership::Member> {
        let Some(data_centre) = self.data_centres.get(data_centre) else {
            return Vec::new();
        };
        let hosts = data_centre.hosts.iter();
        let selected = match data_centre.weighted {
            true => membership::top_candidates(hosts, count, |c| {
                membership::weighted_score(key, c.hash, c.member.attributes.weight)
            }),
            false => membership::top_candidates(hosts, count, |c| membership::score(key, c.hash)),
        };
        selected.into_iter().map(|c| &c.member).collect()
    }
}

impl DataCentre {
    fn add(&mut self, member: membership::Member, silent: &impl Fn(&str) -> bool) {
        match self.hosts.first() {
            Some(first) => {
                self.weighted |= first.member.attributes.weight != member.attributes.weight;
            }
            None => self.silent = silent(&member.data_centre),
        }
        let hash = membership::candidate_hash(&member.host);
        self.hosts.push(Candidate { hash, member });
    }
}
