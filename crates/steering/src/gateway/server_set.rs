//! The set of backend servers that a host knows from the store.

use std::{collections, time};

use super::server;
use crate::model;

/// Identifies a backend server within the process.
pub type ServerIndex = u64;

/// Time after the last failed call to the store by which running backend servers have registered
/// again: they must do so within 2 s of the store's return, to which the interval between calls is
/// added.
pub(super) const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2300);

/// What became of a backend server whose entry was deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It was not known.
    Unknown,
    /// It is kept until it had time to register again.
    Deferred,
    /// It was removed.
    Removed,
}

/// Interval between two renewals of an entry if the deployment sets none.
const DEFAULT_RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(1500);

/// Renewals that a running backend server misses before its entry can lapse: the store removes an
/// entry after three silent intervals, of which one may have passed when an outage begins.
const RENEWALS_TO_LAPSE: u32 = 2;

/// Longest time that the news of a revision of the store takes from the host that read it to all
/// others: a summary of another data centre, and the heartbeats before and after it.
const REVISION_NEWS_DELAY: time::Duration = time::Duration::from_millis(1500);

/// Time for which it is known that a backend server has left.  It exceeds the age of the copies from
/// which the store comes back.
const DEPARTURE_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Backend servers of one service, by data centre.
type Groups = collections::BTreeMap<model::DataCentreId, Vec<ServerIndex>>;

/// The backend servers that a host knows, grouped by service and data centre.
#[derive(Debug)]
pub struct ServerSet {
    servers: collections::HashMap<ServerIndex, server::Server>,
    indices: collections::HashMap<model::ServerId, ServerIndex>,
    groups: collections::BTreeMap<model::ServiceId, Groups>,
    evacuated: collections::BTreeSet<model::DataCentreId>,
    warmups: collections::BTreeMap<model::ServiceId, time::Duration>,
    last_index: ServerIndex,
    /// Backend servers that were removed: their incarnation, and when.
    departed: collections::HashMap<model::ServerId, (model::Incarnation, model::Time)>,
    /// Time at which the store last came back from an older copy; `None` if it never did.
    restored_at: Option<model::Time>,
    /// Interval at which backend servers renew their entries.
    renewal_interval: time::Duration,
    /// Last time at which the store is known to have served any host; `None` if never.
    last_served: Option<model::Time>,
    last_failure: Option<Failure>,
    is_store_down: bool,
}

/// Failed calls to the store in a row.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Last time before the failures at which the store served any host; `None` if unknown.
    served_before: Option<model::Time>,
    /// First time after the failures at which the store served any host.
    served_again: Option<model::Time>,
    /// Time of the last failed call.
    last: model::Time,
}

impl Default for ServerSet {
    fn default() -> ServerSet {
        ServerSet {
            servers: collections::HashMap::new(),
            indices: collections::HashMap::new(),
            groups: collections::BTreeMap::new(),
            evacuated: collections::BTreeSet::new(),
            warmups: collections::BTreeMap::new(),
            last_index: 0,
            departed: collections::HashMap::new(),
            restored_at: None,
            renewal_interval: DEFAULT_RENEWAL_INTERVAL,
            last_served: None,
            last_failure: None,
            is_store_down: false,
        }
    }
}

impl ServerSet {
    /// Adds or updates one registered backend server.
    pub fn upsert(&mut self, entry: server::ServerEntry, now: model::Time) {
        let known = self.indices.get(&entry.id).copied();
        if let Some((index, server)) = known.and_then(|i| Some((i, self.servers.get_mut(&i)?))) {
            let old = (
                server.entry.service.clone(),
                server.entry.data_centre.clone(),
            );
            let new = (entry.service.clone(), entry.data_centre.clone());
            server.update(entry, now);
            server.is_evacuated = self.evacuated.contains(&new.1);
            if old != new {
                self.leave_group(index, &old.0, &old.1);
                self.join_group(index, new.0, new.1);
            }
            return;
        }
        self.last_index += 1;
        self.indices.insert(entry.id.clone(), self.last_index);
        self.join_group(
            self.last_index,
            entry.service.clone(),
            entry.data_centre.clone(),
        );
        let mut server = server::Server::new(entry, now);
        server.is_evacuated = self.evacuated.contains(&server.entry.data_centre);
        self.servers.insert(self.last_index, server);
    }

    /// Sets the interval at which backend servers renew their entries.
    pub fn with_renewal_interval(mut self, interval: time::Duration) -> ServerSet {
        self.renewal_interval = interval;
        self
    }

    /// Handles a deleted entry.  In an outage of the store the entries of running backend servers
    /// lapse too, so the removal is deferred until they had time to register again.  Where no entry
    /// can have lapsed, its server has left.
    pub fn remove(&mut self, id: &str, now: model::Time) -> Removal {
        let Some(index) = self.indices.get(id).copied() else {
            return Removal::Unknown;
        };
        if self.defers_removal(now) {
            if let Some(server) = self.servers.get_mut(&index) {
                server.missing_since.get_or_insert(now);
            }
            return Removal::Deferred;
        }
        self.delete(index, now);
        Removal::Removed
    }

    /// Applies the complete list of registered backend servers.  Returns those that it lacks, with
    /// what became of them.
    pub fn replace(
        &mut self,
        entries: Vec<server::ServerEntry>,
        now: model::Time,
    ) -> Vec<(model::ServerId, Removal)> {
        let registered: collections::HashSet<model::ServerId> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        entries
            .into_iter()
            .for_each(|entry| self.upsert(entry, now));
        let missing: Vec<model::ServerId> = self
            .indices
            .keys()
            .filter(|id| !registered.contains(*id))
            .cloned()
            .collect();
        missing
            .into_iter()
            .map(|id| {
                let removal = self.remove(&id, now);
                (id, removal)
            })
            .collect()
    }

    /// Applies the complete list of a store that has come back from an older copy.  Entries written
    /// since that copy are lost: backend servers without one are kept until they had time to register
    /// again, and an entry of an earlier incarnation than the known one is not applied.  Returns the
    /// missing ones, and those that have left though the list has them as ready.
    pub fn replace_restored(
        &mut self,
        entries: Vec<server::ServerEntry>,
        now: model::Time,
    ) -> (Vec<(model::ServerId, Removal)>, Vec<server::ServerEntry>) {
        self.restored_at = Some(now);
        let left = entries.iter().filter(|entry| self.has_left(entry));
        let left = left.cloned().collect();
        let entries = entries.into_iter().map(|entry| {
            let known = self.entry(&entry.id);
            let later = known.filter(|known| known.incarnation > entry.incarnation);
            later.cloned().unwrap_or(entry)
        });
        let entries = entries.collect();
        (self.replace(entries, now), left)
    }

    /// Whether an entry says that a backend server is ready which was seen to leave.
    fn has_left(&self, entry: &server::ServerEntry) -> bool {
        let was_draining = self.entry(&entry.id).is_some_and(|known| {
            known.state == server::ServerState::Draining && known.incarnation >= entry.incarnation
        });
        let was_removed = self
            .departed
            .get(&entry.id)
            .is_some_and(|(incarnation, _)| *incarnation >= entry.incarnation);
        entry.state == server::ServerState::Ready && (was_draining || was_removed)
    }

    /// Entry of a backend server, if it is known.
    fn entry(&self, id: &str) -> Option<&server::ServerEntry> {
        let index = self.indices.get(id)?;
        Some(&self.servers.get(index)?.entry)
    }

    /// Records whether a call to the store, or to a host that reads it, succeeded; returns whether
    /// that changed.
    pub fn set_store_available(&mut self, is_available: bool, now: model::Time) -> bool {
        let has_changed = self.is_store_down == is_available;
        self.is_store_down = !is_available;
        if is_available {
            self.record_served(now);
            return has_changed;
        }
        // Failures that follow each other without a success are one outage.
        let running = self.last_failure.filter(|failure| {
            failure.served_again.is_none() && failure.served_before == self.last_served
        });
        self.last_failure = Some(Failure {
            served_before: running.map_or(self.last_served, |failure| failure.served_before),
            served_again: None,
            last: now,
        });
        has_changed
    }

    /// Records that another host has read a newer revision from the store: the store serves others,
    /// whatever it is that keeps this host from reading it.
    pub fn record_revision_news(&mut self, now: model::Time) {
        self.record_served(now.saturating_sub(REVISION_NEWS_DELAY));
    }

    fn record_served(&mut self, at: model::Time) {
        if Some(at) <= self.last_served {
            return;
        }
        self.last_served = Some(at);
        if let Some(failure) = &mut self.last_failure {
            failure.served_again.get_or_insert(at);
        }
    }

    /// Whether the last call to the store succeeded.
    pub fn is_store_available(&self) -> bool {
        !self.is_store_down
    }

    /// Removes the backend servers that did not register again after an outage of the store, and
    /// returns them with the time for which their entries were missing.
    pub fn remove_missing(&mut self, now: model::Time) -> Vec<(model::ServerId, time::Duration)> {
        self.departed
            .retain(|_, (_, at)| now <= *at + DEPARTURE_MEMORY);
        if self.defers_removal(now) {
            return Vec::new();
        }
        let gone: Vec<(ServerIndex, model::ServerId, model::Time)> = self
            .servers
            .iter()
            .filter_map(|(index, server)| {
                Some((*index, server.entry.id.clone(), server.missing_since?))
            })
            .collect();
        gone.into_iter()
            .map(|(index, id, since)| {
                self.delete(index, now);
                (id, now.saturating_sub(since))
            })
            .collect()
    }

    /// Sets the data centres that must get no requests.  Backend servers in a data centre that is
    /// no longer evacuated count as cold.
    pub fn set_evacuated(
        &mut self,
        data_centres: collections::BTreeSet<model::DataCentreId>,
        now: model::Time,
    ) {
        for server in self.servers.values_mut() {
            let data_centre = server.entry.data_centre.clone();
            if self.evacuated.contains(&data_centre) && !data_centres.contains(&data_centre) {
                let warmup = self.warmups.get(&server.entry.service).copied();
                server.mark_cold(now + warmup.unwrap_or_default());
            }
            server.is_evacuated = data_centres.contains(&data_centre);
        }
        self.evacuated = data_centres;
    }

    /// Sets the warm-up times of the services.
    pub fn set_warmups(
        &mut self,
        warmups: collections::BTreeMap<model::ServiceId, time::Duration>,
    ) {
        self.warmups = warmups;
    }

    /// Warm-up time of a service.
    pub fn warmup(&self, service: &str) -> time::Duration {
        self.warmups.get(service).copied().unwrap_or_default()
    }

    /// Data centres that must get no requests.
    pub fn evacuated(&self) -> &collections::BTreeSet<model::DataCentreId> {
        &self.evacuated
    }

    /// Returns the backend server with this index, if it is known.
    pub fn get(&self, index: ServerIndex) -> Option<&server::Server> {
        self.servers.get(&index)
    }

    /// Returns a mutable reference to a backend server.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut server::Server> {
        self.servers.get_mut(&index)
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &server::Server)> {
        self.servers.iter().map(|(index, server)| (*index, server))
    }

    /// Backend servers of a service in a data centre.
    pub fn servers_in(&self, service: &str, data_centre: &str) -> &[ServerIndex] {
        self.groups
            .get(service)
            .and_then(|groups| groups.get(data_centre))
            .map_or(&[], Vec::as_slice)
    }

    /// Sum of `slots` over the backend servers of a service for which it returns any, by data centre.
    pub(super) fn slots(
        &self,
        service: &str,
        slots: impl Fn(&server::Server) -> Option<f64>,
    ) -> collections::BTreeMap<model::DataCentreId, f64> {
        let mut sums = collections::BTreeMap::new();
        let servers = self.servers.values();
        for server in servers.filter(|server| server.entry.service == service) {
            if let Some(slots) = slots(server) {
                *sums.entry(server.entry.data_centre.clone()).or_default() += slots;
            }
        }
        sums
    }

    /// Number of known backend servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether an entry that is missing may belong to a running backend server that could not
    /// renew it.
    fn defers_removal(&self, now: model::Time) -> bool {
        let is_restored = |at| now < at + REREGISTRATION_GRACE;
        if self.restored_at.is_some_and(is_restored) {
            return true;
        }
        let Some(failure) = self.last_failure else {
            return false;
        };
        let is_recent = self.is_store_down || now < failure.last + REREGISTRATION_GRACE;
        let lapse_time = self.renewal_interval * RENEWALS_TO_LAPSE;
        let end = failure.served_again.unwrap_or(now);
        is_recent
            && failure
                .served_before
                .is_none_or(|start| end.saturating_sub(start) >= lapse_time)
    }

    fn delete(&mut self, index: ServerIndex, now: model::Time) {
        if let Some(server) = self.servers.remove(&index) {
            self.indices.remove(&server.entry.id);
            let departure = (server.entry.incarnation, now);
            self.departed.insert(server.entry.id.clone(), departure);
            self.leave_group(index, &server.entry.service, &server.entry.data_centre);
        }
    }

    /// Groups are changed in place: with hundreds of servers that start or leave at once, building
    /// them anew for each one costs more processor time than all decisions.
    fn join_group(
        &mut self,
        index: ServerIndex,
        service: model::ServiceId,
        data_centre: model::DataCentreId,
    ) {
        let group = self
            .groups
            .entry(service)
            .or_default()
            .entry(data_centre)
            .or_default();
        let position = group.partition_point(|other| *other < index);
        group.insert(position, index);
    }

    fn leave_group(&mut self, index: ServerIndex, service: &str, data_centre: &str) {
        let Some(groups) = self.groups.get_mut(service) else {
            return;
        };
        if let Some(group) = groups.get_mut(data_centre) {
            group.retain(|other| *other != index);
        }
        groups.retain(|_, group| !group.is_empty());
    }
}
