//! Requests that the other hosts of the data centre have in progress at each backend server.

use std::collections;

use crate::model;

/// Number of requests at each backend server, by the hash of the server's name.
pub type ServerCounts = Vec<(u64, u32)>;

/// Counts by host and their totals.  A message of one host changes only the totals of the backend
/// servers that it names.
#[derive(Debug, Default)]
pub struct RemoteInFlight {
    by_host: collections::HashMap<model::HostId, ServerCounts>,
    totals: collections::HashMap<u64, u64>,
}

impl RemoteInFlight {
    /// Replaces the counts of a host.
    pub fn update(&mut self, host: &str, counts: &[(u64, u32)]) {
        self.remove(host);
        for (server, count) in counts {
            *self.totals.entry(*server).or_default() += u64::from(*count);
        }
        self.by_host.insert(host.to_string(), counts.to_vec());
    }

    /// Drops the counts of the hosts for which `is_live` returns false.
    pub fn retain(&mut self, is_live: impl Fn(&str) -> bool) {
        let dead: Vec<model::HostId> = self
            .by_host
            .keys()
            .filter(|host| !is_live(host))
            .cloned()
            .collect();
        dead.iter().for_each(|host| self.remove(host));
    }

    /// Number of requests that all other hosts have in progress at a backend server.
    pub fn at(&self, server: u64) -> u32 {
        let total = self.totals.get(&server).copied().unwrap_or(0);
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    fn remove(&mut self, host: &str) {
        for (server, count) in self.by_host.remove(host).unwrap_or_default() {
            if let collections::hash_map::Entry::Occupied(mut total) = self.totals.entry(server) {
                *total.get_mut() -= u64::from(count);
                if *total.get() == 0 {
                    total.remove();
                }
            }
        }
    }
}
