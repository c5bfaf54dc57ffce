//! An entry host: the steering under test, and a plain pool in place of the real one.

use std::{collections, time};

use yuccatide_steering::{capacity, config, model, steer};

use super::{server, workload};

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Job {
    /// Description.
    pub meta: model::RequestMeta,
    /// Host that the caller sent it to.
    pub entry: model::HostId,
    /// When it arrived there.
    pub arrived: model::Time,
    /// Whether it came on a grant.
    pub from_elsewhere: bool,
}

/// An entry host.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name.
    pub host: model::HostId,
    /// Data centre.
    pub data_centre: model::DataCentreId,
    /// Process start.
    pub incarnation: model::Incarnation,
    /// The decisions under test.
    pub steer: steer::Router,
    /// Requests waiting for a slot, by service and rank.
    pub queues: collections::BTreeMap<(model::ServiceId, model::Rank), collections::VecDeque<Job>>,
    /// Servers that it owns by the list that it has.
    pub owned: collections::BTreeSet<model::ServerId>,
}

impl Node {
    /// Whether callers of a data centre's hosts may use it.
    pub fn serves(&self, data_centre: &str) -> bool {
        self.data_centre == data_centre && self.steer.is_ready()
    }

    /// Requests waiting for a service.
    pub fn queued(&self, service: &str) -> usize {
        self.queues
            .iter()
            .filter(|((s, _), _)| s == service)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// Whether the queue of a kind of work takes one more request.
    pub fn has_room(&self, doc: &config::Document, work: &config::Work) -> bool {
        let slots = self.slots(doc, &work.service);
        let key = (work.service.clone(), work.rank);
        let queued = self.queues.get(&key).map_or(0, |queue| queue.len());
        queued < (work.queue_per_slot * slots) as usize
    }

    /// Adds a request to its queue.
    pub fn enqueue(&mut self, work: &config::Work, job: Job) {
        let key = (work.service.clone(), work.rank);
        self.queues.entry(key).or_default().push_back(job);
    }

    /// The next request of a service, by rank.
    pub fn dequeue(&mut self, service: &str) -> Option<Job> {
        self.queues
            .iter_mut()
            .filter(|((s, _), queue)| s == service && !queue.is_empty())
            .find_map(|(_, queue)| queue.pop_front())
    }

    /// The least used of the servers that it owns, if one has a slot.
    pub fn pick(
        &self,
        service: &str,
        servers: &collections::BTreeMap<model::ServerId, server::Server>,
    ) -> Option<model::ServerId> {
        let open = self.owned.iter().filter(|id| {
            let s = &servers[*id];
            s.service == service && s.live && s.in_flight < s.usable
        });
        open.min_by_key(|id| servers[*id].in_flight).cloned()
    }

    /// Capacities as the pool knows them.
    pub fn capacities(
        &self,
        doc: &config::Document,
        servers: &collections::BTreeMap<model::ServerId, server::Server>,
        known_live: impl Fn(&str) -> bool,
    ) -> steer::Capacities {
        let one = |service: &model::ServiceId| {
            let owned = || {
                let ids = self.owned.iter().filter(|id| known_live(id));
                ids.map(|id| &servers[id]).filter(|s| &s.service == service)
            };
            let capacity = capacity::Capacity {
                slots: owned().map(|s| s.usable).sum(),
                in_use: owned().map(|s| s.in_flight).sum(),
                queued: self.queued(service) as u32,
            };
            (service.clone(), capacity)
        };
        doc.services.keys().map(one).collect()
    }

    fn slots(&self, doc: &config::Document, service: &str) -> u32 {
        let owned = self.owned.iter().filter(|id| {
            let known = doc.servers.get(*id);
            known.is_some_and(|s| s.service == service)
        });
        owned.count() as u32 * workload::usable(&doc.services[service])
    }
}

/// Time of a hop within a data centre.
pub const HOP: time::Duration = time::Duration::from_micros(100);
