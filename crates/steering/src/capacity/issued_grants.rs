//! What an owner has granted to hosts of other data centres.

use std::{collections, time};

use serde::Serialize;

use super::{divide, grant, local};
use crate::model;

/// Time over which local use is averaged.
const LOCAL_TIME: time::Duration = time::Duration::from_secs(3);

/// Largest part of a link that late work is granted, and normal and late work together.
const LINK_PARTS: [(model::Rank, f64); 2] = [(model::Rank::Late, 0.6), (model::Rank::Normal, 0.8)];

/// Where a [`grant::GrantRequest`] comes from and what the document says of its work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Asking host.
    pub host: model::HostId,
    /// Its region, if it is another one than the owner's.
    pub region: Option<model::RegionId>,
    /// Service that runs the work.
    pub service: model::ServiceId,
    /// Rank of the work.
    pub rank: model::Rank,
}

/// A grant as the owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IssuedGrant {
    /// Number of the grant.
    pub id: grant::GrantId,
    /// Service that runs the work.
    pub service: model::ServiceId,
    /// Rank of the work.
    pub rank: model::Rank,
    /// Region of the holder, if it is another one than the owner's.
    pub region: Option<model::RegionId>,
    /// Slots granted, in thousandths.
    pub milli_slots: u32,
    /// Requests of the holder that are in progress.
    pub in_use: u32,
    /// Bytes per second granted.
    pub bytes_per_s: u64,
    /// Bytes per second that the holder may still be using.
    pub reserved_bytes_per_s: u64,
    /// When it ends.
    pub expires: model::Time,
    wanted_milli_slots: u32,
    wanted_bytes_per_s: u64,
}

impl IssuedGrant {
    /// Thousandths of slots that cannot be given to another holder.
    fn taken(&self, now: model::Time) -> u32 {
        match now < self.expires {
            true => self.milli_slots,
            false => 0,
        }
    }

    fn taken_bytes(&self, now: model::Time) -> u64 {
        match now < self.expires {
            true => self.reserved_bytes_per_s.max(self.bytes_per_s),
            false => 0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Local {
    capacity: local::Capacity,
    at: model::Time,
    mean: f64,
}

type HolderKey = (model::HostId, model::WorkId);

/// Grants given, and what is left to give.
///
/// Unexpired grants and the owner's own use never add up to more than its capacity at the time
/// of a grant; an old capacity counts as none.
#[derive(Clone, Debug)]
pub struct IssuedGrants {
    incarnation: model::Incarnation,
    next_number: u64,
    given: collections::BTreeMap<HolderKey, IssuedGrant>,
    pending: collections::BTreeMap<HolderKey, (Requester, grant::GrantRequest)>,
    local: collections::BTreeMap<model::ServiceId, Local>,
}

impl IssuedGrants {
    /// No grants issued.
    pub fn new(incarnation: model::Incarnation) -> IssuedGrants {
        IssuedGrants {
            incarnation,
            next_number: 1,
            given: collections::BTreeMap::new(),
            pending: collections::BTreeMap::new(),
            local: collections::BTreeMap::new(),
        }
    }

    /// Takes in the use of the servers that this host owns.
    pub fn set_capacity(&mut self, service: &str, capacity: local::Capacity, now: model::Time) {
        let remote = self.remote_in_use(service);
        let used = capacity.in_use + capacity.queued;
        let own = f64::from(used.saturating_sub(remote));
        let known = self.local.contains_key(service);
        let local = self.local.entry(service.to_string()).or_default();
        let elapsed = now.saturating_sub(local.at).as_secs_f64();
        let weight = 1.0 - (-elapsed / LOCAL_TIME.as_secs_f64()).exp();
        local.mean += if known { weight } else { 1.0 } * (own - local.mean);
        local.capacity = capacity;
        local.at = now;
    }

    /// Capacity of a service, if it is known and not too old.
    pub fn capacity(&self, service: &str, now: model::Time) -> Option<local::Capacity> {
        self.local
            .get(service)
            .filter(|local| now.saturating_sub(local.at) <= local::MAX_CAPACITY_AGE)
            .map(|local| local.capacity)
    }

    /// Queues a request for the next [`IssuedGrants::decide`].
    pub fn enqueue(&mut self, asker: Requester, ask: grant::GrantRequest) {
        let key = (asker.host.clone(), ask.work.clone());
        let newer = self
            .pending
            .get(&key)
            .is_none_or(|(_, queued)| queued.number < ask.number);
        if newer {
            self.pending.insert(key, (asker, ask));
        }
    }

    /// Answers the queued requests; `link_bytes_per_s` is this owner's part of the link from a
    /// region.
    pub fn decide(
        &mut self,
        link_bytes_per_s: impl Fn(&str) -> u64,
        now: model::Time,
    ) -> Vec<(model::HostId, grant::Grant)> {
        self.given
            .retain(|_, given| now < given.expires || given.in_use > 0);
        let pending = std::mem::take(&mut self.pending);
        let answers = pending
            .iter()
            .map(|(key, (asker, ask))| (key.clone(), self.open(key, asker, ask, now)))
            .collect::<Vec<_>>();
        answers
            .into_iter()
            .map(|(key, number)| {
                let answer = self.settle(&key, number, &link_bytes_per_s, now);
                (key.0, answer)
            })
            .collect()
    }

    /// Takes a request of a holder, if its grant covers one more; the caller reports its end
    /// with [`IssuedGrants::release`].  For each slot, as many requests may wait as `queue_per_slot`.
    pub fn accept(
        &mut self,
        host: &str,
        work: &str,
        id: grant::GrantId,
        queue_per_slot: u32,
        now: model::Time,
    ) -> bool {
        let key = (host.to_string(), work.to_string());
        let Some(given) = self.given.get_mut(&key) else {
            return false;
        };
        let per_slot = u64::from(queue_per_slot) + 1;
        let most = (u64::from(given.milli_slots) * per_slot).div_ceil(1000) as u32;
        let most = if most > 0 {
            most + grant::BURST_REQUESTS
        } else {
            0
        };
        let valid = given.id == id && now < given.expires && given.in_use < most;
        given.in_use += u32::from(valid);
        valid
    }

    /// Ends a request that [`IssuedGrants::accept`] took.
    pub fn release(&mut self, host: &str, work: &str) {
        let key = (host.to_string(), work.to_string());
        if let Some(given) = self.given.get_mut(&key) {
            given.in_use = given.in_use.saturating_sub(1);
        }
    }

    /// Region of a holder, if it is another one than the owner's.
    pub fn region_of(&self, host: &str, work: &str) -> Option<model::RegionId> {
        let key = (host.to_string(), work.to_string());
        self.given.get(&key).and_then(|given| given.region.clone())
    }

    /// Grants given, by holder and kind of work.
    pub fn grants(&self) -> &collections::BTreeMap<HolderKey, IssuedGrant> {
        &self.given
    }

    fn remote_in_use(&self, service: &str) -> u32 {
        self.given
            .values()
            .filter(|given| given.service == service)
            .map(|given| given.in_use)
            .sum()
    }

    /// Thousandths of slots of a service that grants may take together: those that local traffic does not need
    /// on average.  Its variation is taken by the queues and the headroom above the target use.
    fn grantable(&self, service: &str, now: model::Time) -> u32 {
        let Some(capacity) = self.capacity(service, now) else {
            return 0;
        };
        let own = (self.local[service].mean * 1000.0).ceil() as u32;
        (capacity.slots * 1000).saturating_sub(own)
    }

    fn open(
        &mut self,
        key: &HolderKey,
        asker: &Requester,
        ask: &grant::GrantRequest,
        now: model::Time,
    ) -> u64 {
        let id = grant::GrantId {
            incarnation: self.incarnation,
            number: self.next_number,
        };
        self.next_number += 1;
        let given = self
            .given
            .entry(key.clone())
            .or_insert_with(|| IssuedGrant {
                id,
                service: asker.service.clone(),
                rank: asker.rank,
                region: asker.region.clone(),
                milli_slots: 0,
                in_use: 0,
                bytes_per_s: 0,
                reserved_bytes_per_s: 0,
                expires: now,
                wanted_milli_slots: 0,
                wanted_bytes_per_s: 0,
            });
        given.rank = asker.rank;
        given.service.clone_from(&asker.service);
        given.wanted_milli_slots = ask.milli_slots;
        given.wanted_bytes_per_s = ask.bytes_per_s;
        given.reserved_bytes_per_s = match now < given.expires {
            true => ask.held_bytes_per_s.min(given.taken_bytes(now)),
            false => 0,
        };
        ask.number
    }

    fn settle(
        &mut self,
        key: &HolderKey,
        number: u64,
        link_bytes_per_s: &impl Fn(&str) -> u64,
        now: model::Time,
    ) -> grant::Grant {
        let slots = self.slots_for(key, now);
        let bytes_per_s = self.bytes_for(key, link_bytes_per_s, now);
        let given = self.given.get_mut(key).expect("the grant was opened");
        let usable = slots > 0 && (given.region.is_none() || bytes_per_s > 0);
        given.milli_slots = if usable { slots } else { 0 };
        given.bytes_per_s = if usable { bytes_per_s } else { 0 };
        given.expires = now + grant::LEASE_DURATION;
        grant::Grant {
            work: key.1.clone(),
            number,
            id: given.id,
            milli_slots: given.milli_slots,
            bytes_per_s: given.bytes_per_s,
        }
    }

    /// Fair part of the slots, as far as others have not taken them.
    fn slots_for(&self, key: &HolderKey, now: model::Time) -> u32 {
        let service = &self.given[key].service;
        let amount = self.grantable(service, now);
        let rivals = self
            .given
            .iter()
            .filter(|(_, given)| &given.service == service)
            .collect::<Vec<_>>();
        let claims = rivals
            .iter()
            .map(|(_, given)| divide::Claim {
                rank: given.rank,
                want: u64::from(given.wanted_milli_slots),
            })
            .collect::<Vec<_>>();
        let parts = divide::divide(u64::from(amount), &claims);
        let position = rivals.iter().position(|(k, _)| *k == key);
        let fair = position.map_or(0, |i| parts[i]) as u32;
        let taken = rivals
            .iter()
            .filter(|(k, _)| *k != key)
            .map(|(_, given)| given.taken(now))
            .sum::<u32>();
        fair.min(amount.saturating_sub(taken))
    }

    /// Fair part of the link, as far as others have not taken it.
    fn bytes_for(
        &self,
        key: &HolderKey,
        link_bytes_per_s: &impl Fn(&str) -> u64,
        now: model::Time,
    ) -> u64 {
        let Some(region) = &self.given[key].region else {
            return 0;
        };
        let amount = link_bytes_per_s(region);
        let rivals = self
            .given
            .iter()
            .filter(|(_, given)| given.region.as_ref() == Some(region))
            .collect::<Vec<_>>();
        let claims = rivals
            .iter()
            .map(|(_, given)| divide::Claim {
                rank: given.rank,
                want: given.wanted_bytes_per_s,
            })
            .collect::<Vec<_>>();
        let parts = divide::divide(amount, &claims);
        let position = rivals.iter().position(|(k, _)| *k == key);
        let fair = position.map_or(0, |i| parts[i]);
        let others = rivals.into_iter().filter(|(k, _)| *k != key);
        let taken = others
            .map(|(_, given)| (given.rank, given.taken_bytes(now)))
            .collect::<Vec<_>>();
        fair.min(link_left(amount, self.given[key].rank, &taken))
    }
}

/// Bytes per second left for a rank: the parts of [`LINK_PARTS`] hold for what ranks at and below
/// it take together.
fn link_left(amount: u64, rank: model::Rank, taken: &[(model::Rank, u64)]) -> u64 {
    let total = taken.iter().map(|(_, bytes)| bytes).sum::<u64>();
    LINK_PARTS
        .iter()
        .filter(|(limited, _)| rank >= *limited)
        .map(|(limited, part)| {
            let below = taken.iter().filter(|(r, _)| r >= limited);
            let limit = (amount as f64 * part) as u64;
            limit.saturating_sub(below.map(|(_, bytes)| bytes).sum())
        })
        .fold(amount.saturating_sub(total), u64::min)
}
