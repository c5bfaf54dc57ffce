//! The backend servers that a host knows.

use std::{collections, time};

use super::server;
use crate::model;

/// Name of a backend server's description, unique within the process.
pub type ServerIndex = u64;

/// Time after the last failed call to the store within which living backend servers have registered
/// again: the platform's promise of two seconds after the store's return, and a pause between calls.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(2300);

/// Backend servers of a service, by data centre.
type Groups = collections::BTreeMap<model::DataCentreId, Vec<ServerIndex>>;

/// The backend servers that a host knows, by data centre and service.
#[derive(Debug, Default)]
pub struct ServerSet {
    servers: collections::HashMap<ServerIndex, server::Server>,
    indices: collections::HashMap<model::ServerId, ServerIndex>,
    groups: collections::BTreeMap<model::ServiceId, Groups>,
    evacuated: collections::BTreeSet<model::DataCentreId>,
    warmups: collections::BTreeMap<model::ServiceId, time::Duration>,
    next: ServerIndex,
    /// When a call to the store failed last.
    store_failed: Option<model::Time>,
    store_down: bool,
}

impl ServerSet {
    /// Takes one registered backend server.
    pub fn upsert(&mut self, entry: server::ServerEntry, now: model::Time) {
        if let Some(known) = self
            .indices
            .get(&entry.id)
            .and_then(|i| self.servers.get_mut(i))
        {
            let moved = known.entry.service != entry.service
                || known.entry.data_centre != entry.data_centre;
            known.update(entry, now);
            if moved {
                self.regroup();
            }
            return;
        }
        self.next += 1;
        self.indices.insert(entry.id.clone(), self.next);
        let mut server = server::Server::new(entry, now);
        server.is_evacuated = self.evacuated.contains(&server.entry.data_centre);
        self.servers.insert(self.next, server);
        self.regroup();
    }

    /// Takes that an entry is gone.  While the store is disturbed, living backend servers lose
    /// their entries too, so that the absence is believed only some time after its return.
    pub fn remove(&mut self, id: &str, now: model::Time) {
        let Some(index) = self.indices.get(id).copied() else {
            return;
        };
        if self.doubts_absence(now) {
            if let Some(server) = self.servers.get_mut(&index) {
                server.missing_since.get_or_insert(now);
            }
            return;
        }
        self.forget(index);
    }

    /// Takes the whole list of registered backend servers.
    pub fn replace(&mut self, entries: Vec<server::ServerEntry>, now: model::Time) {
        let listed: collections::HashSet<model::ServerId> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        entries
            .into_iter()
            .for_each(|entry| self.upsert(entry, now));
        let missing: Vec<model::ServerId> = self
            .indices
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        missing.iter().for_each(|id| self.remove(id, now));
    }

    /// Takes whether the store answers; tells whether that changed.
    pub fn set_store_available(&mut self, answers: bool, now: model::Time) -> bool {
        let has_changed = self.store_down == answers;
        if !answers {
            self.store_failed = Some(now);
        }
        self.store_down = !answers;
        has_changed
    }

    /// Whether the store answered last.
    pub fn is_store_available(&self) -> bool {
        !self.store_down
    }

    /// Believes absences that outlasted the store's return.
    pub fn remove_missing(&mut self, now: model::Time) {
        if self.doubts_absence(now) {
            return;
        }
        let gone: Vec<ServerIndex> = self
            .servers
            .iter()
            .filter(|(_, server)| server.missing_since.is_some())
            .map(|(index, _)| *index)
            .collect();
        gone.into_iter().for_each(|index| self.forget(index));
    }

    /// Takes the data centres that must get no requests.  Backend servers of one that is taken
    /// back may have become cold.
    pub fn set_evacuated(
        &mut self,
        data_centres: collections::BTreeSet<model::DataCentreId>,
        now: model::Time,
    ) {
        for server in self.servers.values_mut() {
            let data_centre = server.entry.data_centre.clone();
            if self.evacuated.contains(&data_centre) && !data_centres.contains(&data_centre) {
                let warmup = self.warmups.get(&server.entry.service).copied();
                server.chill(now + warmup.unwrap_or_default());
            }
            server.is_evacuated = data_centres.contains(&data_centre);
        }
        self.evacuated = data_centres;
    }

    /// Takes the warm-up times of the services.
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

    /// Takes the requests that other hosts of the data centre have in progress, by the hash of the
    /// backend server's name.
    pub fn set_remote_in_flight(&mut self, told: &collections::HashMap<u64, u32>) {
        for server in self.servers.values_mut() {
            server.told = told.get(&server.hash).copied().unwrap_or(0);
        }
    }

    /// A backend server.
    pub fn get(&self, index: ServerIndex) -> Option<&server::Server> {
        self.servers.get(&index)
    }

    /// A backend server, to change it.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut server::Server> {
        self.servers.get_mut(&index)
    }

    /// All backend servers.
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

    /// Slots of a service's usable backend servers, by data centre.
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

    fn doubts_absence(&self, now: model::Time) -> bool {
        self.store_down
            || self
                .store_failed
                .is_some_and(|failed| now < failed + RETURN_GRACE)
    }

    fn forget(&mut self, index: ServerIndex) {
        if let Some(server) = self.servers.remove(&index) {
            self.indices.remove(&server.entry.id);
            self.regroup();
        }
    }

    fn regroup(&mut self) {
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
