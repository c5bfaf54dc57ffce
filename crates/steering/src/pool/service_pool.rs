//! Backend servers and kinds of work of one service.

use std::collections;

use rand::Rng;

use super::{capacity, drain, snapshot, work_state};
use crate::{admission, config, model, routing};

/// Largest share of the owned backend servers that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A kind of work that may start its next request, and the slots that the request may use.
#[derive(Clone, Debug)]
pub struct DispatchCandidate {
    /// Kind of work.
    pub work: model::WorkId,
    /// Limits on the slots that may be used, the preferred first.
    pub slot_limits: &'static [routing::SlotLimit],
}

/// Backend servers and requests of one service.
#[derive(Clone, Debug)]
pub struct ServicePool {
    limits: routing::Limits,
    last_tick: model::Time,
    /// Backend servers that this host owns or has owned.
    pub servers: collections::BTreeMap<model::ServerId, routing::Server>,
    /// Kinds of work.
    pub work: collections::BTreeMap<model::WorkId, work_state::WorkState>,
}

impl ServicePool {
    /// Creates a service without backend servers and work.
    pub fn new(service: &config::Service) -> ServicePool {
        ServicePool {
            limits: routing::Limits::new(service),
            last_tick: model::Time::ZERO,
            servers: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
        }
    }

    /// Applies limits, drains, owned servers and work from the document.  Returns the waiting
    /// requests that can no longer be served: those of work that the service no longer has, and all
    /// of them if the host owns no server any more.
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
        let mut unserved = self.configure_work(doc, id);
        if !self.owns_any() {
            let queues = self.work.values_mut();
            unserved.extend(queues.flat_map(|work| work.queue.clear()));
        }
        unserved
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
        // The state of a server is kept in case this host owns it again.
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
                    work.excluded_servers = excluded.clone();
                })
                .or_insert_with(|| work_state::WorkState::new(cfg.clone(), excluded.clone()));
        }
        let is_removed = |name: &str| doc.work.get(name).is_none_or(|cfg| cfg.service != id);
        let unserved = self
            .work
            .iter_mut()
            .filter(|(name, _)| is_removed(name))
            .flat_map(|(_, work)| work.queue.clear())
            .collect();
        self.work
            .retain(|name, work| !is_removed(name) || work.in_use > 0);
        unserved
    }

    /// Updates the state that depends only on time.
    pub fn tick(&mut self, now: model::Time) {
        if now == self.last_tick {
            return;
        }
        self.last_tick = now;
        self.servers.values_mut().for_each(|s| s.tick(now));
        let usable_slots = self.usable_slots(now);
        for work in self.work.values_mut() {
            let slots = work.guaranteed_slots(usable_slots);
            let service_s = work.service_time.mean_s();
            work.guarantee_account
                .advance(slots, work.in_use, service_s, now);
        }
    }

    /// Slots that may be in use on average now.
    pub fn usable_slots(&self, now: model::Time) -> f64 {
        self.servers.values().map(|s| s.usable_slots(now)).sum()
    }

    /// Slots of the servers that a kind of work may use, now or once a single request
    /// has found that they take work again.
    pub fn slots_for(&self, work: &work_state::WorkState, now: model::Time) -> u32 {
        self.servers
            .iter()
            .filter(|(id, _)| !work.excluded_servers.contains(*id))
            .map(|(_, s)| s.slots(now))
            .sum()
    }

    /// Whether a kind of work may use a server that accepts requests, or one that a single
    /// request may probe now.
    pub fn accepts_requests(&self, work: &work_state::WorkState, now: model::Time) -> bool {
        self.servers
            .iter()
            .filter(|(id, _)| !work.excluded_servers.contains(*id))
            .any(|(_, s)| {
                s.accepts_requests(now) || s.has_free_slot(routing::SlotLimit::Target, 0.0, now)
            })
    }

    /// Whether requests wait for a slot.
    pub fn has_waiting(&self) -> bool {
        self.work.values().any(|work| !work.queue.is_empty())
    }

    /// Kinds of work with waiting requests that may use a slot now, in the order in which they get
    /// free slots.
    pub fn dispatch_candidates(&self, now: model::Time) -> Vec<DispatchCandidate> {
        let usable_slots = self.usable_slots(now);
        let contenders = self
            .work
            .iter()
            .filter(|(_, work)| !work.queue.is_empty())
            .map(|(id, work)| admission::Contender {
                work: id,
                claim: work.claim(usable_slots),
                rank: work.cfg.rank,
                slots_per_weight: f64::from(work.in_use) / work.cfg.guaranteed_share.max(0.01),
            })
            .collect();
        admission::sort_contenders(contenders)
            .into_iter()
            .filter_map(|c| self.dispatch_candidate(c.work, c.claim, usable_slots, now))
            .collect()
    }

    fn dispatch_candidate(
        &self,
        id: &model::WorkId,
        claim: admission::ClaimBasis,
        usable_slots: f64,
        now: model::Time,
    ) -> Option<DispatchCandidate> {
        const TARGET: &[routing::SlotLimit] = &[routing::SlotLimit::Target];
        const BURST: &[routing::SlotLimit] =
            &[routing::SlotLimit::Target, routing::SlotLimit::Burst];
        let work = &self.work[id];
        let guaranteed = claim == admission::ClaimBasis::Guaranteed;
        if !guaranteed && !self.leaves_reserve(id, usable_slots, now) {
            return None;
        }
        // While other work uses more than its guaranteed share, this work may use slots above the
        // target use until those slots are free again.
        let has_lent_slots = self.work.iter().any(|(other, state)| {
            let is_less_urgent = state.cfg.rank > work.cfg.rank;
            other != id && (guaranteed || is_less_urgent) && state.exceeds_guarantee(usable_slots)
        });
        let slot_limits = if has_lent_slots { BURST } else { TARGET };
        let work = id.clone();
        Some(DispatchCandidate { work, slot_limits })
    }

    /// Whether enough slots stay free for other work if `id` takes one.
    fn leaves_reserve(&self, id: &model::WorkId, usable_slots: f64, now: model::Time) -> bool {
        let cfg = &self.work[id].cfg;
        let reserved = self
            .work
            .iter()
            .filter(|(other, _)| *other != id)
            .map(|(_, other)| other.reserved_slots(cfg, usable_slots, now))
            .sum::<u32>();
        let free = self
            .servers
            .values()
            .map(|s| s.free_slots(now))
            .sum::<u32>();
        free > reserved
    }

    /// Selects the backend server for a request of `work`, excluding those in `tried`.
    pub fn select_server(
        &self,
        work: &str,
        tried: &[model::ServerId],
        slot_limits: &[routing::SlotLimit],
        rng: &mut rand_pcg::Pcg64Mcg,
        now: model::Time,
    ) -> Option<model::ServerId> {
        let work = self.work.get(work)?;
        let seconds = work.service_time.mean_s();
        let allowed =
            |id: &model::ServerId| !work.excluded_servers.contains(id) && !tried.contains(id);
        slot_limits.iter().find_map(|limit| {
            let candidates = self
                .servers
                .iter()
                .filter(|(id, s)| allowed(id) && s.has_free_slot(*limit, seconds, now))
                .map(|(id, s)| (id, s.score(work.budget.has_token(), now)));
            lowest_score(candidates, rng).cloned()
        })
    }

    /// Ejects outliers, up to the largest share of servers that may be ejected.
    pub fn eject_outliers(&mut self, now: model::Time) {
        let owned = self.servers.values().filter(|s| s.is_owned()).count();
        let max_ejected = (owned as f64 * MAX_EJECTED_SHARE).floor() as usize;
        let mut ejected = self.servers.values().filter(|s| s.is_ejected()).count();
        for server in self.servers.values_mut().filter(|s| s.is_outlier()) {
            if ejected < max_ejected {
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
            usable_slots: self.usable_slots(now),
            slots: self.servers.values().map(|s| s.slots(now)).sum(),
            in_use: self.servers.values().map(|s| s.in_flight()).sum(),
            queued: by_work(|work| work.queue.len() as u32),
            in_use_by_work: by_work(|work| work.in_use),
        }
    }

    /// State of the service, for operators.
    pub fn snapshot(&self, now: model::Time) -> snapshot::ServiceSnapshot {
        let usable_slots = self.usable_slots(now);
        let work = |work: &work_state::WorkState| snapshot::WorkSnapshot {
            in_use: work.in_use,
            queued: work.queue.len() as u32,
            guaranteed_slots: work.guaranteed_slots(usable_slots),
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

/// The candidate with the lowest score; ties are broken at random.
fn lowest_score<'a>(
    candidates: impl Iterator<Item = (&'a model::ServerId, f64)>,
    rng: &mut rand_pcg::Pcg64Mcg,
) -> Option<&'a model::ServerId> {
    let mut best = None::<(&model::ServerId, f64)>;
    let mut equal = 0;
    for (id, score) in candidates {
        let order = best.map(|(_, lowest)| score.total_cmp(&lowest));
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
