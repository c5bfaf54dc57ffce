//! Copies the shares in force from other hosts when this host starts.

use std::{collections, time};

use super::{flow, message, peers};
use crate::{config, model};

/// Time for which a starting host waits for responses.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Number of hosts asked in the own data centre, and in one other.
const HOSTS_PER_DATA_CENTRE: usize = 2;

/// Whether a host is in another data centre, and its name.
type Source = (bool, model::HostId);

/// Progress of the copy.
#[derive(Clone, Debug, Default)]
pub struct ShareSync {
    deadline: Option<model::Time>,
    pending: collections::BTreeSet<model::HostId>,
    /// Shares by flow with their source.  Of several sources, the least is used: hosts of the own
    /// data centre before others, then by name.
    received: collections::BTreeMap<flow::FlowKey, (Source, message::FlowShares)>,
    done: bool,
}

impl ShareSync {
    /// Whether requests may be routed.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Starts the copy with the first list of hosts and returns the hosts to ask.
    pub fn begin(
        &mut self,
        doc: &config::Document,
        peers: &peers::Peers,
        host: &str,
        data_centre: &str,
        now: model::Time,
    ) -> Vec<model::HostId> {
        if self.done || self.deadline.is_some() {
            return Vec::new();
        }
        let hosts = |dc: &str| {
            let hosts = peers.hosts_of(dc).into_iter();
            hosts
                .filter(|h| *h != host)
                .take(HOSTS_PER_DATA_CENTRE)
                .cloned()
                .collect()
        };
        let local: Vec<_> = hosts(data_centre);
        let remote = fallback_data_centres(doc, data_centre)
            .map(|dc| hosts(dc))
            .find(|hosts| !hosts.is_empty());
        let asked = [local, remote.unwrap_or_default()].concat();
        self.pending = asked.iter().cloned().collect();
        self.deadline = Some(now + RESPONSE_TIMEOUT);
        self.done = asked.is_empty();
        asked
    }

    /// Records a response.  The shares of a host of another data centre are used only for the
    /// callers of this data centre, and only if no host of this data centre has any.
    pub fn on_shares(
        &mut self,
        from: &str,
        is_own_data_centre: bool,
        data_centre: &str,
        flows: Vec<message::FlowShares>,
    ) {
        if self.done || !self.pending.remove(from) {
            return;
        }
        let valid = flows.into_iter().filter(|f| f.shares.is_valid());
        for shares in valid.filter(|f| is_own_data_centre || f.origin == data_centre) {
            let key = (shares.work.clone(), shares.origin.clone());
            let source = (!is_own_data_centre, from.to_string());
            if self.received.get(&key).is_none_or(|(s, _)| source < *s) {
                self.received.insert(key, (source, shares));
            }
        }
    }

    /// Ends the copy once all hosts have responded or the time is up, and returns the shares of
    /// each flow; returns none before that.
    pub fn finish(&mut self, now: model::Time) -> Vec<message::FlowShares> {
        let is_over = self.pending.is_empty() || self.deadline.is_some_and(|at| now >= at);
        if self.done || self.deadline.is_none() || !is_over {
            return Vec::new();
        }
        self.done = true;
        let received = std::mem::take(&mut self.received);
        received.into_values().map(|(_, shares)| shares).collect()
    }
}

/// Data centres that serve the callers of `data_centre` while it has no host, in order of
/// preference.
fn fallback_data_centres<'a>(
    doc: &'a config::Document,
    data_centre: &'a str,
) -> impl Iterator<Item = &'a model::DataCentreId> {
    let site = doc.sites.values().find(|site| {
        site.data_centres
            .first()
            .is_some_and(|dc| dc == data_centre)
    });
    site.into_iter()
        .flat_map(|site| &site.data_centres)
        .filter(move |dc| *dc != data_centre)
}
