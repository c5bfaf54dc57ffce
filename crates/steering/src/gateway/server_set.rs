//! The set of backend servers that a host knows from the store.

use std::{collections, time};

use super::server;
use crate::model;

/// Identifies a backend server within the process.
pub type ServerIndex = u64;

/// Time after the last failed call to the store by which running backend servers have registered
/// again: they must do so within 2 s of the store's return, to which the interval between calls is
/// added.
const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2300);

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

/// Backend servers of one service, by data centre.
type Groups = collections::BTreeMap<model::DataCentreId, Vec<ServerIndex>>;

/// The backend servers that a host knows, grouped by service and data centre.
#[derive(Debug, Default)]
pub struct ServerSet {
    servers: collections::HashMap<ServerIndex, server::Server>,
    indices: collections::HashMap<model::ServerId, ServerIndex>,
    groups: collections::BTreeMap<model::ServiceId, Groups>,
    evacuated: collections::BTreeSet<model::DataCentreId>,
    warmups: collections::BTreeMap<model::ServiceId, time::Duration>,
    last_index: ServerIndex,
    /// Time of the last failed call to the store.
    last_store_failure: Option<model::Time>,
    is_store_down: bool,
}

impl ServerSet {
    /// Adds or updates one registered backend server.
    pub fn upsert(&mut self, entry: server::ServerEntry, now: model::Time) {
        if let Some(server) = self
            .indices
            .get(&entry.id)
            .and_then(|i| self.servers.get_mut(i))
        {
            let moved = server.entry.service != entry.service
                || server.entry.data_centre != entry.data_centre;
            server.update(entry, now);
            if moved {
                self.rebuild_groups();
            }
            return;
        }
        self.last_index += 1;
        self.indices.insert(entry.id.clone(), self.last_index);
        let mut server = server::Server::new(entry, now);
        server.is_evacuated = self.evacuated.contains(&server.entry.data_centre);
        self.servers.insert(self.last_index, server);
        self.rebuild_groups();
    }

    /// Handles a deleted entry.  During an outage of the store the entries of running backend
    /// servers expire too, so the removal is deferred until they had time to register again.
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
        self.delete(index);
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

    /// Records whether the store responds; returns whether that changed.
    pub fn set_store_available(&mut self, is_available: bool, now: model::Time) -> bool {
        let has_changed = self.is_store_down == is_available;
        if !is_available {
            self.last_store_failure = Some(now);
        }
        self.is_store_down = !is_available;
        has_changed
    }

    /// Whether the last call to the store succeeded.
    pub fn is_store_available(&self) -> bool {
        !self.is_store_down
    }

    /// Removes the backend servers that did not register again after an outage of the store, and
    /// returns them with the time for which their entries were missing.
    pub fn remove_missing(&mut self, now: model::Time) -> Vec<(model::ServerId, time::Duration)> {
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
                self.delete(index);
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

    /// Total slots of the usable backend servers of a service, by data centre.
    pub fn usable_slots(
        &self,
        service: &str,
        now: model::Time,
    ) -> collections::BTreeMap<model::DataCentreId, f64> {
        let mut slots = collections::BTreeMap::new();
        let usable = self
            .servers
            .values()
            .filter(|server| server.entry.service == service && server.is_usable(now));
        for server in usable {
            *slots.entry(server.entry.data_centre.clone()).or_default() +=
                f64::from(server.entry.slots);
        }
        slots
    }

    /// Number of known backend servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn defers_removal(&self, now: model::Time) -> bool {
        self.is_store_down
            || self
                .last_store_failure
                .is_some_and(|failed| now < failed + REREGISTRATION_GRACE)
    }

    fn delete(&mut self, index: ServerIndex) {
        if let Some(server) = self.servers.remove(&index) {
            self.indices.remove(&server.entry.id);
            self.rebuild_groups();
        }
    }

    fn rebuild_groups(&mut self) {
        self.groups.clear();
        let mut indices: Vec<ServerIndex> = self.servers.keys().copied().collect();
        indices.sort_unstable();
        for index in indices {
            let entry = &self.servers[&index].entry;
            let groups = self.groups.entry(entry.service.clone()).or_default();
            groups
                .entry(entry.data_centre.clone())
                .or_default()
                .push(index);
        }
    }
}
