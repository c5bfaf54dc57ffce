//! The set of backend servers that a host knows from the store.

use std::{collections, time};

use super::{entry_order, server};
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

/// Silent intervals after which the store removes an entry.
const SILENT_INTERVALS: u32 = 3;

/// Renewals that a running backend server misses before its entry can lapse: of the silent intervals
/// one may have passed when an outage begins.
const RENEWALS_TO_LAPSE: u32 = SILENT_INTERVALS - 1;

/// Time beyond the silent intervals by which this host has heard that the store removed an entry.
const REMOVAL_NEWS_DELAY: time::Duration = time::Duration::from_millis(1500);

/// Longest time that the news of a revision of the store takes from the host that read it to all
/// others: a summary of another data centre, and the heartbeats before and after it.
const REVISION_NEWS_DELAY: time::Duration = time::Duration::from_millis(1500);

/// Time for which it is known that a backend server has left.  It exceeds the age of the copies from
/// which the store comes back.
const DEPARTURE_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Largest number of backend servers that have left and are remembered, the last ones.
const MAX_DEPARTED: usize = 4096;

/// Backend servers of one service, by data centre.
type Groups = collections::BTreeMap<model::DataCentreId, Vec<ServerIndex>>;

/// What a complete list has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replacement {
    /// Backend servers that it lacks, and what became of them.
    pub missing: Vec<(model::ServerId, Removal)>,
    /// Backend servers whose entries may be older than what is known of them.
    pub disordered: Vec<(model::ServerId, entry_order::EntryOrder)>,
}

/// The backend servers that a host knows, grouped by service and data centre.
#[derive(Debug)]
pub struct ServerSet {
    servers: collections::HashMap<ServerIndex, server::Server>,
    indices: collections::HashMap<model::ServerId, ServerIndex>,
    groups: collections::BTreeMap<model::ServiceId, Groups>,
    evacuated: collections::BTreeSet<model::DataCentreId>,
    warmups: collections::BTreeMap<model::ServiceId, time::Duration>,
    last_index: ServerIndex,
    /// Entries of the store that are not applied, since newer ones were.
    outdated: entry_order::OutdatedEntries,
    /// Backend servers that were removed: their last incarnation, and when.
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
            outdated: entry_order::OutdatedEntries::default(),
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
    /// Handles the entry that the store has of a backend server, and returns how it compares with what
    /// is known: one that is outdated is kept aside, all others are applied.
    pub fn upsert(
        &mut self,
        mut entry: server::ServerEntry,
        now: model::Time,
    ) -> entry_order::EntryOrder {
        let order = self.compare(&entry);
        if order == entry_order::EntryOrder::Outdated {
            self.outdated.insert(entry, now);
            return order;
        }
        self.outdated.remove(&entry.id);
        if let Some(known) = self.entry(&entry.id)
            && known.incarnation == entry.incarnation
        {
            entry.sequence = entry.sequence.max(known.sequence);
        }
        let index = self.apply(entry, now);
        if order == entry_order::EntryOrder::AfterDeparture
            && let Some(server) = self.servers.get_mut(&index)
        {
            server.doubted_since = Some(now);
        }
        order
    }

    /// How an entry compares with what is known of its backend server.
    fn compare(&self, entry: &server::ServerEntry) -> entry_order::EntryOrder {
        let index = self.indices.get(&entry.id);
        let known = index.and_then(|index| self.servers.get(index));
        let order = known.map_or(entry_order::EntryOrder::Latest, |known| {
            entry_order::compare(entry, &known.entry, known.is_missing())
        });
        let is_known = known.is_some_and(|known| known.entry.incarnation == entry.incarnation);
        match (order, self.departed.get(&entry.id)) {
            (entry_order::EntryOrder::Latest, Some((departed, _))) if !is_known => {
                entry_order::compare_with_departed(entry, *departed)
            }
            _ => order,
        }
    }

    /// Applies the entries that are older than others but have stood for so long that their backend
    /// servers must have renewed them; returns their names.  They get requests once their own status
    /// agrees: several late writes can keep an entry in place, too.
    pub fn apply_lasting(&mut self, now: model::Time) -> Vec<model::ServerId> {
        let lasting = self.outdated.take_lasting(self.lapse_time(), now);
        lasting
            .into_iter()
            .map(|(entry, since)| {
                let id = entry.id.clone();
                let is_ready = entry.state == server::ServerState::Ready;
                let index = self.apply(entry, now);
                if let Some(server) = self.servers.get_mut(&index) {
                    server.doubted_since = is_ready.then_some(since);
                }
                id
            })
            .collect()
    }

    /// Time after which an entry that still stands has been renewed by its backend server.
    pub(super) fn lapse_time(&self) -> time::Duration {
        self.renewal_interval * SILENT_INTERVALS + REMOVAL_NEWS_DELAY
    }

    /// Adds or updates a backend server.
    fn apply(&mut self, entry: server::ServerEntry, now: model::Time) -> ServerIndex {
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
            return index;
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
        self.last_index
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
        self.outdated.remove(id);
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

    /// Handles an entry that can no longer be read, as another writer leaves it: it names no server to
    /// use, but does not tell that its server leaves.
    pub fn remove_unreadable(&mut self, id: &str, now: model::Time) -> Removal {
        let index = self.indices.get(id);
        let server = index.and_then(|index| self.servers.get(index));
        let stays = server.is_some_and(|server| {
            server.entry.state == server::ServerState::Ready && !server.is_doubted()
        });
        let departed = self.departed.get(id).copied();
        let removal = self.remove(id, now);
        if stays {
            match departed {
                Some(departed) => _ = self.departed.insert(id.to_string(), departed),
                None => _ = self.departed.remove(id),
            }
        }
        removal
    }

    /// Applies the complete list of registered backend servers.
    pub fn replace(&mut self, entries: Vec<server::ServerEntry>, now: model::Time) -> Replacement {
        let registered: collections::HashSet<model::ServerId> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let mut replacement = Replacement::default();
        for entry in entries {
            let id = entry.id.clone();
            let order = self.upsert(entry, now);
            if order != entry_order::EntryOrder::Latest {
                replacement.disordered.push((id, order));
            }
        }
        let missing: Vec<model::ServerId> = self
            .indices
            .keys()
            .filter(|id| !registered.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            let removal = self.remove(&id, now);
            replacement.missing.push((id, removal));
        }
        replacement
    }

    /// Records that the store has come back from an older copy.  Entries written since that copy are
    /// lost: backend servers without one are kept until they had time to register again.
    pub fn set_restored(&mut self, now: model::Time) {
        self.restored_at = Some(now);
    }

    /// Entry of a backend server, if it is known.
    pub(super) fn entry(&self, id: &str) -> Option<&server::ServerEntry> {
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
        // A removal may be missed from now on.
        self.outdated.restart(now);
        for server in self.servers.values_mut() {
            server.doubted_since = server.doubted_since.map(|_| now);
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

    /// Records that a backend server broke off an answer after its attempt had ended well; returns its
    /// name if it still runs.
    pub fn record_broken_answer(
        &mut self,
        index: ServerIndex,
        incarnation: model::Incarnation,
    ) -> Option<model::ServerId> {
        let server = self.servers.get_mut(&index)?;
        if server.entry.incarnation != incarnation {
            return None;
        }
        server.record_broken_answer();
        Some(server.entry.id.clone())
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
            self.record_departure(&server.entry, now);
            self.leave_group(index, &server.entry.service, &server.entry.data_centre);
        }
    }

    fn record_departure(&mut self, entry: &server::ServerEntry, now: model::Time) {
        let before = self.departed.get(&entry.id).copied();
        if before.is_none() && self.departed.len() >= MAX_DEPARTED {
            let first = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.departed.remove(&first);
            }
        }
        // What left may have been a late write of an earlier incarnation.
        let last = before.map_or(0, |(incarnation, _)| incarnation);
        let departure = (entry.incarnation.max(last), now);
        self.departed.insert(entry.id.clone(), departure);
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
