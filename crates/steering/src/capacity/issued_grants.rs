//! Grants that an owner has issued to hosts in other data centres.

use std::{collections, time};

use serde::Serialize;

use super::{divide, grant, local};
use crate::model;

/// Time constant of the moving average of local use.
const LOCAL_USE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(3);

/// Maximum share of a link that is granted to a rank and all less urgent ranks together.
const MAX_LINK_SHARES: [(model::Rank, f64); 2] =
    [(model::Rank::Late, 0.6), (model::Rank::Normal, 0.8)];

/// Sender of a [`grant::GrantRequest`], with the configured properties of the work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Requesting host.
    pub host: model::HostId,
    /// Its region, if it differs from the owner's.
    pub region: Option<model::RegionId>,
    /// Service that the work runs on.
    pub service: model::ServiceId,
    /// Rank of the work.
    pub rank: model::Rank,
}

/// A grant, as recorded by the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IssuedGrant {
    /// Identifier of the grant.
    pub id: grant::GrantId,
    /// Service that the work runs on.
    pub service: model::ServiceId,
    /// Rank of the work.
    pub rank: model::Rank,
    /// Region of the holder, if it differs from the owner's.
    pub region: Option<model::RegionId>,
    /// Slots granted, in thousandths.
    pub milli_slots: u32,
    /// Requests of the holder in progress.
    pub in_use: u32,
    /// Link bytes per second granted.
    pub bytes_per_s: u64,
    /// Link bytes per second that the holder may still be using.
    pub reserved_bytes_per_s: u64,
    /// Time at which the grant expires.
    pub expires: model::Time,
    wanted_milli_slots: u32,
    wanted_bytes_per_s: u64,
}

impl IssuedGrant {
    /// Thousandths of slots that cannot be granted to another holder.
    fn committed_milli_slots(&self, now: model::Time) -> u32 {
        match now < self.expires {
            true => self.milli_slots,
            false => 0,
        }
    }

    /// Link bytes per second that cannot be granted to another holder.
    fn committed_bytes_per_s(&self, now: model::Time) -> u64 {
        match now < self.expires {
            true => self.reserved_bytes_per_s.max(self.bytes_per_s),
            false => 0,
        }
    }
}

/// Capacity of a service on this host's servers, and its use by local requests.
#[derive(Clone, Copy, Debug, Default)]
struct LocalUse {
    capacity: local::Capacity,
    /// Time of the last update.
    updated: model::Time,
    /// Moving average of the slots that local requests use or wait for.
    mean_slots: f64,
}

/// Holder and kind of work of a grant.
type HolderKey = (model::HostId, model::WorkId);

/// Grants issued by an owner, and the capacity that it can still grant.
///
/// At the time of a grant, all unexpired grants and the owner's own use together never exceed its
/// capacity.  A capacity that has not been updated recently is treated as zero.
#[derive(Clone, Debug)]
pub struct IssuedGrants {
    incarnation: model::Incarnation,
    next_number: u64,
    grants: collections::BTreeMap<HolderKey, IssuedGrant>,
    pending: collections::BTreeMap<HolderKey, (Requester, grant::GrantRequest)>,
    local: collections::BTreeMap<model::ServiceId, LocalUse>,
}

impl IssuedGrants {
    /// Creates an empty set of grants.
    pub fn new(incarnation: model::Incarnation) -> IssuedGrants {
        IssuedGrants {
            incarnation,
            next_number: 1,
            grants: collections::BTreeMap::new(),
            pending: collections::BTreeMap::new(),
            local: collections::BTreeMap::new(),
        }
    }

    /// Updates the capacity and use of the servers that this host owns.
    pub fn set_capacity(&mut self, service: &str, capacity: local::Capacity, now: model::Time) {
        let remote = self.remote_in_use(service);
        let total = capacity.in_use.saturating_add(capacity.queued);
        let own = f64::from(total.saturating_sub(remote));
        let is_known = self.local.contains_key(service);
        let local = self.local.entry(service.to_string()).or_default();
        let elapsed = now.saturating_sub(local.updated).as_secs_f64();
        let weight = 1.0 - (-elapsed / LOCAL_USE_TIME_CONSTANT.as_secs_f64()).exp();
        local.mean_slots += if is_known { weight } else { 1.0 } * (own - local.mean_slots);
        local.capacity = capacity;
        local.updated = now;
    }

    /// Capacity of a service, if it is known and recent.
    pub fn capacity(&self, service: &str, now: model::Time) -> Option<local::Capacity> {
        self.local
            .get(service)
            .filter(|local| now.saturating_sub(local.updated) <= local::MAX_CAPACITY_AGE)
            .map(|local| local.capacity)
    }

    /// Queues a request for the next [`IssuedGrants::issue_queued`].
    pub fn enqueue(&mut self, requester: Requester, request: grant::GrantRequest) {
        let key = (requester.host.clone(), request.work.clone());
        let is_newer = self
            .pending
            .get(&key)
            .is_none_or(|(_, queued)| queued.number < request.number);
        if is_newer {
            self.pending.insert(key, (requester, request));
        }
    }

    /// Issues a grant for each queued request; `link_bytes_per_s` returns this owner's part of the
    /// link from a region.
    pub fn issue_queued(
        &mut self,
        link_bytes_per_s: impl Fn(&str) -> u64,
        now: model::Time,
    ) -> Vec<(model::HostId, grant::Grant)> {
        self.grants
            .retain(|_, issued| now < issued.expires || issued.in_use > 0);
        let pending = std::mem::take(&mut self.pending);
        let requests = pending
            .iter()
            .map(|(key, (requester, request))| {
                (
                    key.clone(),
                    self.update_request(key, requester, request, now),
                )
            })
            .collect::<Vec<_>>();
        requests
            .into_iter()
            .map(|(key, number)| {
                let grant = self.issue(&key, number, &link_bytes_per_s, now);
                (key.0, grant)
            })
            .collect()
    }

    /// Accepts a request of a holder if its grant covers one more; returns whether it was accepted.
    ///
    /// For each granted slot, up to `queue_per_slot` requests may wait; in addition,
    /// [`grant::BURST_REQUESTS`] may be in progress.  [`IssuedGrants::release`] must be called at
    /// the end of an accepted request.
    pub fn accept(
        &mut self,
        host: &str,
        work: &str,
        id: grant::GrantId,
        queue_per_slot: u32,
        now: model::Time,
    ) -> bool {
        let key = (host.to_string(), work.to_string());
        let Some(issued) = self.grants.get_mut(&key) else {
            return false;
        };
        let per_slot = u64::from(queue_per_slot) + 1;
        let max_in_use = (u64::from(issued.milli_slots) * per_slot).div_ceil(1000);
        let max_in_use = u32::try_from(max_in_use).unwrap_or(u32::MAX);
        let max_in_use = if max_in_use > 0 {
            max_in_use.saturating_add(grant::BURST_REQUESTS)
        } else {
            0
        };
        let accepted = issued.id == id && now < issued.expires && issued.in_use < max_in_use;
        issued.in_use += u32::from(accepted);
        accepted
    }

    /// Records the end of a request that [`IssuedGrants::accept`] accepted.
    pub fn release(&mut self, host: &str, work: &str) {
        let key = (host.to_string(), work.to_string());
        if let Some(issued) = self.grants.get_mut(&key) {
            issued.in_use = issued.in_use.saturating_sub(1);
        }
    }

    /// Region of a holder, if it differs from the owner's.
    pub fn region_of(&self, host: &str, work: &str) -> Option<model::RegionId> {
        let key = (host.to_string(), work.to_string());
        self.grants
            .get(&key)
            .and_then(|issued| issued.region.clone())
    }

    /// Issued grants, by holder and kind of work.
    pub fn grants(&self) -> &collections::BTreeMap<HolderKey, IssuedGrant> {
        &self.grants
    }

    /// Requests of all holders in progress on a service.
    fn remote_in_use(&self, service: &str) -> u32 {
        self.grants
            .values()
            .filter(|issued| issued.service == service)
            .map(|issued| issued.in_use)
            .sum()
    }

    /// Thousandths of slots of a service that may be granted in total: those that local traffic
    /// does not use on average.  Queues and the headroom above the target utilization absorb the
    /// variation of local use.
    fn grantable(&self, service: &str, now: model::Time) -> u32 {
        let Some(capacity) = self.capacity(service, now) else {
            return 0;
        };
        let own = (self.local[service].mean_slots * 1000.0).ceil() as u32;
        capacity.slots.saturating_mul(1000).saturating_sub(own)
    }

    /// Creates or updates the grant for a request, without assigning capacity; returns the
    /// request's number.
    fn update_request(
        &mut self,
        key: &HolderKey,
        requester: &Requester,
        request: &grant::GrantRequest,
        now: model::Time,
    ) -> u64 {
        let id = grant::GrantId {
            incarnation: self.incarnation,
            number: self.next_number,
        };
        self.next_number += 1;
        let issued = self
            .grants
            .entry(key.clone())
            .or_insert_with(|| IssuedGrant {
                id,
                service: requester.service.clone(),
                rank: requester.rank,
                region: requester.region.clone(),
                milli_slots: 0,
                in_use: 0,
                bytes_per_s: 0,
                reserved_bytes_per_s: 0,
                expires: now,
                wanted_milli_slots: 0,
                wanted_bytes_per_s: 0,
            });
        issued.rank = requester.rank;
        issued.service.clone_from(&requester.service);
        issued.wanted_milli_slots = request.milli_slots;
        issued.wanted_bytes_per_s = request.bytes_per_s;
        issued.reserved_bytes_per_s = match now < issued.expires {
            true => request
                .held_bytes_per_s
                .min(issued.committed_bytes_per_s(now)),
            false => 0,
        };
        request.number
    }

    /// Assigns capacity to a grant that [`IssuedGrants::update_request`] has recorded.
    fn issue(
        &mut self,
        key: &HolderKey,
        number: u64,
        link_bytes_per_s: &impl Fn(&str) -> u64,
        now: model::Time,
    ) -> grant::Grant {
        let slots = self.grantable_to(key, now);
        let bytes_per_s = self.link_bytes_for(key, link_bytes_per_s, now);
        let issued = self
            .grants
            .get_mut(key)
            .expect("update_request records the grant");
        let is_usable = slots > 0 && (issued.region.is_none() || bytes_per_s > 0);
        issued.milli_slots = if is_usable { slots } else { 0 };
        issued.bytes_per_s = if is_usable { bytes_per_s } else { 0 };
        issued.expires = now + grant::LEASE_DURATION;
        grant::Grant {
            work: key.1.clone(),
            number,
            id: issued.id,
            milli_slots: issued.milli_slots,
            bytes_per_s: issued.bytes_per_s,
        }
    }

    /// Fair part of the slots, limited to what is not committed to other holders; in thousandths.
    fn grantable_to(&self, key: &HolderKey, now: model::Time) -> u32 {
        let service = &self.grants[key].service;
        let amount = self.grantable(service, now);
        let competing = self
            .grants
            .iter()
            .filter(|(_, issued)| &issued.service == service)
            .collect::<Vec<_>>();
        let claims = competing
            .iter()
            .map(|(_, issued)| divide::Claim {
                rank: issued.rank,
                want: u64::from(issued.wanted_milli_slots),
            })
            .collect::<Vec<_>>();
        let parts = divide::divide(u64::from(amount), &claims);
        let position = competing.iter().position(|(k, _)| *k == key);
        let fair_part = position.map_or(0, |i| parts[i]) as u32;
        let committed = competing
            .iter()
            .filter(|(k, _)| *k != key)
            .map(|(_, issued)| issued.committed_milli_slots(now))
            .sum::<u32>();
        fair_part.min(amount.saturating_sub(committed))
    }

    /// Fair part of the link, limited to what is not committed to other holders, in bytes per
    /// second.
    fn link_bytes_for(
        &self,
        key: &HolderKey,
        link_bytes_per_s: &impl Fn(&str) -> u64,
        now: model::Time,
    ) -> u64 {
        let Some(region) = &self.grants[key].region else {
            return 0;
        };
        let amount = link_bytes_per_s(region);
        let competing = self
            .grants
            .iter()
            .filter(|(_, issued)| issued.region.as_ref() == Some(region))
            .collect::<Vec<_>>();
        let claims = competing
            .iter()
            .map(|(_, issued)| divide::Claim {
                rank: issued.rank,
                want: issued.wanted_bytes_per_s,
            })
            .collect::<Vec<_>>();
        let parts = divide::divide(amount, &claims);
        let position = competing.iter().position(|(k, _)| *k == key);
        let fair_part = position.map_or(0, |i| parts[i]);
        let others = competing.into_iter().filter(|(k, _)| *k != key);
        let committed = others
            .map(|(_, issued)| (issued.rank, issued.committed_bytes_per_s(now)))
            .collect::<Vec<_>>();
        fair_part.min(available_link_bytes(
            amount,
            self.grants[key].rank,
            &committed,
        ))
    }
}

/// Link bytes per second available to a rank.  Each share in [`MAX_LINK_SHARES`] limits the total
/// of its rank and all less urgent ranks.
fn available_link_bytes(amount: u64, rank: model::Rank, committed: &[(model::Rank, u64)]) -> u64 {
    let total = committed.iter().map(|(_, bytes)| bytes).sum::<u64>();
    MAX_LINK_SHARES
        .iter()
        .filter(|(limited_rank, _)| rank >= *limited_rank)
        .map(|(limited_rank, share)| {
            let limited = committed.iter().filter(|(r, _)| r >= limited_rank);
            let limit = (amount as f64 * share) as u64;
            limit.saturating_sub(limited.map(|(_, bytes)| bytes).sum())
        })
        .fold(amount.saturating_sub(total), u64::min)
}
