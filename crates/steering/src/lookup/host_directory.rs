//! The hosts that look-ups may name.

use std::collections;

use crate::{membership, model};

/// Hosts that serve callers, by data centre.
#[derive(Clone, Debug, Default)]
pub struct HostDirectory {
    data_centres: collections::BTreeMap<model::DataCentreId, DataCentre>,
}

/// Hosts of a data centre.
#[derive(Clone, Debug, Default)]
struct DataCentre {
    hosts: Vec<Candidate>,
    silent: bool,
    /// Whether hosts have different weights.
    weighted: bool,
}

#[derive(Clone, Debug)]
struct Candidate {
    number: u64,
    member: membership::Member,
}

impl HostDirectory {
    /// Takes the members that are live, ready and not leaving.
    ///
    /// Hosts of data centres for which `silent` holds come last in answers: they may serve callers
    /// that reach them, but this data centre does not hear them.
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

    /// Whether a data centre has hosts.
    pub fn has_hosts(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// Whether nothing is heard from a data centre that has hosts.
    pub fn is_silent(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|dc| dc.silent)
    }

    /// Hosts of a data centre with the largest weighted rendezvous scores for a key.
    pub fn pick(&self, data_centre: &str, key: u64, count: usize) -> Vec<&membership::Member> {
        let Some(data_centre) = self.data_centres.get(data_centre) else {
            return Vec::new();
        };
        let hosts = data_centre.hosts.iter();
        let best = match data_centre.weighted {
            true => membership::top_candidates(hosts, count, |c| {
                membership::weighted_score(key, c.number, c.member.attributes.weight)
            }),
            false => membership::top_candidates(hosts, count, |c| membership::score(key, c.number)),
        };
        best.into_iter().map(|c| &c.member).collect()
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
        let number = membership::candidate_hash(&member.host);
        self.hosts.push(Candidate { number, member });
    }
}
