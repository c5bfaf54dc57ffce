//! Backend servers and kinds of work of one service.

use std::collections;

use rand::Rng;

use super::{capacity, drain, snapshot, work_state};
use crate::{admission, config, model, routing};

/// Part of the backend servers that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A kind of work that may start its next request, and the slots that it may use.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Kind of work.
    pub work: model::WorkId,
    /// Slots that it may use, the preferred first.
    pub rooms: &'static [routing::SlotLimit],
}

/// One service.
#[derive(Clone, Debug)]
pub struct ServicePool {
    limits: routing::Limits,
    ticked: model::Time,
    /// Backend servers that are or were owned.
    pub servers: collections::BTreeMap<model::ServerId, routing::Server>,
    /// Kinds of work.
    pub work: collections::BTreeMap<model::WorkId, work_state::WorkState>,
}

impl ServicePool {
    /// A service without backend servers and work.
    pub fn new(service: &config::Service) -> ServicePool {
        ServicePool {
            limits: routing::Limits::new(service),
            ticked: model::Time::ZERO,
            servers: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
        }
    }

    /// Takes over limits, drains, owned servers and work; returns the waiting requests of work
    /// that the service no longer has, and all of them where the host owns no server any more.
    pub fn configure(
        &mut self,
        doc: &config::Document,
        id: &str,
        owned: &collections::BTreeSet<model::ServerId>,
        now: model::Time,
    ) -> Vec<model::RequestId> {
        if let Some(service) = doc.services.get(id) {
            self.limits = routing::Limits::new(service);
        }
        self.configure_servers(doc, id, owned, now);
        let mut orphans = self.configure_work(doc, id);
        if !self.owns_any() {
            let queues = self.work.values_mut();
            orphans.extend(queues.flat_map(|work| work.queue.clear()));
        }
        orphans
    }

    /// Whether this host owns a server of the service.
    pub fn owns_any(&self) -> bool {
        self.servers.values().any(routing::Server::is_owned)
    }

    fn configure_servers(
        &mut self,
        doc: &config::Document,
        id: &str,
        owned: &collections::BTreeSet<model::ServerId>,
        now: model::Time,
    ) {
        let present = |server: &str| doc.servers.get(server).is_some_and(|s| s.service == id);
        for server in owned.iter().filter(|server| present(server)) {
            self.servers
                .entry(server.clone())
                .or_insert_with(|| routing::Server::new(self.limits.clone(), now));
        }
        for (name, server) in &mut self.servers {
            server.configure(self.limits.clone(), drain::drain_start(doc, name));
            server.set_owned(owned.contains(name) && present(name), now);
        }
        // What is known of a server is kept for when this host owns it again.
        self.servers
            .retain(|name, server| present(name) || server.in_flight() > 0);
    }

    fn configure_work(&mut self, doc: &config::Document, id: &str) -> Vec<model::RequestId> {
        for (name, cfg) in doc.work.iter().filter(|(_, cfg)| cfg.service == id) {
            let policy = doc.policy_of(name).map(|(_, policy)| policy);
            let mut excluded = collections::BTreeSet::new();
            excluded.extend(policy.iter().flat_map(|p| p.excluded_servers.clone()));
            self.work
                .entry(name.clone())
                .and_modify(|work| {
                    work.cfg = cfg.clone();
                    work.excluded = excluded.clone();
                })
                .or_insert_with(|| work_state::WorkState::new(cfg.clone(), excluded.clone()));
        }
        let gone = |name: &str| doc.work.get(name).is_none_or(|cfg| cfg.service != id);
        let orphans = self
            .work
            .iter_mut()
            .filter(|(name, _)| gone(name))
            .flat_map(|(_, work)| work.queue.clear())
            .collect();
        self.work
            .retain(|name, work| !gone(name) || work.in_use > 0);
        orphans
    }

    /// Advances everything that depends on time only.
    pub fn tick(&mut self, now: model::Time) {
        if now == self.ticked {
            return;
        }
        self.ticked = now;
        self.servers.values_mut().for_each(|s| s.tick(now));
        let usable = self.usable(now);
        for work in self.work.values_mut() {
            let slots = work.guaranteed(usable);
            let service_s = work.service_time.mean_s();
            work.guarantee.advance(slots, work.in_use, service_s, now);
        }
    }

    /// Slots that may be in use on average now.
    pub fn usable(&self, now: model::Time) -> f64 {
        self.servers.values().map(|s| s.usable_slots(now)).sum()
    }

    /// Slots of the servers that a kind of work may use, now or after a check.
    pub fn slots_for(&self, work: &work_state::WorkState, now: model::Time) -> u32 {
        self.servers
            .iter()
            .filter(|(id, _)| !work.excluded.contains(*id))
            .map(|(_, s)| s.slots(now))
            .sum()
    }

    /// Whether a kind of work has a server that takes work, or one that it may check now.
    pub fn takes_work(&self, work: &work_state::WorkState, now: model::Time) -> bool {
        self.servers
            .iter()
            .filter(|(id, _)| !work.excluded.contains(*id))
            .any(|(_, s)| {
                s.accepts_requests(now) || s.has_free_slot(routing::SlotLimit::Target, 0.0, now)
            })
    }

    /// Whether requests wait.
    pub fn is_overloaded(&self) -> bool {
        self.work.values().any(|work| !work.queue.is_empty())
    }

    /// Kinds of work with waiting requests, in the order in which they get free slots.
    pub fn turns(&self, now: model::Time) -> Vec<Turn> {
        let usable = self.usable(now);
        let contenders = self
            .work
            .iter()
            .filter(|(_, work)| !work.queue.is_empty())
            .map(|(id, work)| admission::Contender {
                work: id,
                claim: work.claim(usable),
                rank: work.cfg.rank,
                slots_per_weight: f64::from(work.in_use) / work.cfg.guaranteed_share.max(0.01),
            })
            .collect();
        admission::sort_contenders(contenders)
            .into_iter()
            .filter_map(|c| self.turn(c.work, c.claim, usable, now))
            .collect()
    }

    fn turn(
        &self,
        id: &model::WorkId,
        claim: admission::Claim,
        usable: f64,
        now: model::Time,
    ) -> Option<Turn> {
        const TARGET: &[routing::SlotLimit] = &[routing::SlotLimit::Target];
        const BURST: &[routing::SlotLimit] =
            &[routing::SlotLimit::Target, routing::SlotLimit::Burst];
        let work = &self.work[id];
        let guaranteed = claim == admission::Claim::Guaranteed;
        if !guaranteed && !self.leaves_reserve(id, usable, now) {
            return None;
        }
        // Slots above the target bridge the time until slots that were lent come back.
        let lent = self.work.iter().any(|(other, state)| {
            let lower = state.cfg.rank > work.cfg.rank;
            other != id && (guaranteed || lower) && state.borrows(usable)
        });
        let rooms = if lent { BURST } else { TARGET };
        let work = id.clone();
        Some(Turn { work, rooms })
    }

    /// Whether enough slots stay free for other work when `id` takes one.
    fn leaves_reserve(&self, id: &model::WorkId, usable: f64, now: model::Time) -> bool {
        let cfg = &self.work[id].cfg;
        let reserve = self
            .work
            .iter()
            .filter(|(other, _)| *other != id)
            .map(|(_, other)| other.reserve(cfg, usable, now))
            .sum::<u32>();
        let free = self
            .servers
            .values()
            .map(|s| s.free_slots(now))
            .sum::<u32>();
        free > reserve
    }

    /// Picks the backend server for a request of `work`, none in `tried`.
    pub fn choose(
        &self,
        work: &str,
        tried: &[model::ServerId],
        rooms: &[routing::SlotLimit],
        rng: &mut rand_pcg::Pcg64Mcg,
        now: model::Time,
    ) -> Option<model::ServerId> {
        let work = self.work.get(work)?;
        let seconds = work.service_time.mean_s();
        let allowed = |id: &model::ServerId| !work.excluded.contains(id) && !tried.contains(id);
        rooms.iter().find_map(|room| {
            let candidates = self
                .servers
                .iter()
                .filter(|(id, s)| allowed(id) && s.has_free_slot(*room, seconds, now))
                .map(|(id, s)| (id, s.score(work.budget.has_token(), now)));
            least(candidates, rng).cloned()
        })
    }

    /// Ejects outliers, as far as the limit allows.
    pub fn eject_outliers(&mut self, now: model::Time) {
        let owned = self.servers.values().filter(|s| s.is_owned()).count();
        let most = (owned as f64 * MAX_EJECTED_SHARE).floor() as usize;
        let mut ejected = self.servers.values().filter(|s| s.is_ejected()).count();
        for server in self.servers.values_mut().filter(|s| s.is_outlier()) {
            if ejected < most {
                server.eject(now);
                ejected += 1;
            }
        }
    }

    /// Capacity of the service.
    pub fn capacity(&self, now: model::Time) -> capacity::Capacity {
        let by_work = |count: fn(&work_state::WorkState) -> u32| {
            let entry = |(id, work): (&model::WorkId, &_)| (id.clone(), count(work));
            self.work.iter().map(entry).collect()
        };
        capacity::Capacity {
            usable_slots: self.usable(now),
            slots: self.servers.values().map(|s| s.slots(now)).sum(),
            in_use: self.servers.values().map(|s| s.in_flight()).sum(),
            queued: by_work(|work| work.queue.len() as u32),
            in_use_by_work: by_work(|work| work.in_use),
        }
    }

    /// State of the service.
    pub fn snapshot(&self, now: model::Time) -> snapshot::ServiceSnapshot {
        let usable = self.usable(now);
        let work = |work: &work_state::WorkState| snapshot::WorkSnapshot {
            in_use: work.in_use,
            queued: work.queue.len() as u32,
            guaranteed_slots: work.guaranteed(usable),
            offered_slots: work.demand.load_slots(now),
            retry_tokens: work.budget.tokens(),
            service_time: work.service_time.mean(),
        };
        snapshot::ServiceSnapshot {
            capacity: self.capacity(now),
            servers: self
                .servers
                .iter()
                .filter(|(_, server)| server.is_owned() || server.in_flight() > 0)
                .map(|(id, server)| (id.clone(), server.snapshot(now)))
                .collect(),
            work: self
                .work
                .iter()
                .map(|(id, state)| (id.clone(), work(state)))
                .collect(),
        }
    }
}

/// The candidate with the least score; equal ones are picked at random.
fn least<'a>(
    candidates: impl Iterator<Item = (&'a model::ServerId, f64)>,
    rng: &mut rand_pcg::Pcg64Mcg,
) -> Option<&'a model::ServerId> {
    let mut best = None::<(&model::ServerId, f64)>;
    let mut equal = 0;
    for (id, score) in candidates {
        let order = best.map(|(_, least)| score.total_cmp(&least));
        match order {
            Some(std::cmp::Ordering::Greater) => (),
            Some(std::cmp::Ordering::Equal) => {
                equal += 1;
                if rng.random_range(0..equal) == 0 {
                    best = Some((id, score));
                }
            }
            _ => {
                best = Some((id, score));
                equal = 1;
            }
        }
    }
    best.map(|(id, _)| id)
}
