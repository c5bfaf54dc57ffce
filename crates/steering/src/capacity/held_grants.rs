//! Grants that a host holds from owners in other data centres.

use std::{collections, time};

use rand::seq::SliceRandom;

use super::grant;
use crate::{link, model};

/// Number of owners from which a host requests capacity, per kind of work and data centre.
const OWNER_COUNT: usize = 2;

/// The grant of one owner, as recorded by its holder.
#[derive(Clone, Debug)]
struct HeldGrant {
    /// Owner that issues the grant.
    host: model::HostId,
    grant: Option<grant::Grant>,
    in_use: u32,
    window: link::Window,
    /// Number and time of the last request for capacity.
    last_request: Option<(u64, model::Time)>,
    /// Time from which this host no longer uses the grant.
    expires: model::Time,
    /// Whether the owner has replied to at least one request for capacity.
    has_reply: bool,
}

impl HeldGrant {
    fn new(host: &str) -> HeldGrant {
        HeldGrant {
            host: host.to_string(),
            grant: None,
            in_use: 0,
            window: link::Window::default(),
            last_request: None,
            expires: model::Time::ZERO,
            has_reply: false,
        }
    }

    /// The grant, unless it has expired.
    fn active(&self, now: model::Time) -> Option<&grant::Grant> {
        self.grant.as_ref().filter(|_| now < self.expires)
    }

    fn milli_slots(&self, now: model::Time) -> u32 {
        self.active(now).map_or(0, |grant| grant.milli_slots)
    }

    /// Whether the next request for capacity is due.
    fn is_due(&self, now: model::Time) -> bool {
        self.last_request
            .is_none_or(|(_, at)| now >= at + grant::RENEWAL_INTERVAL)
    }
}

/// Capacity that a host needs in a data centre for one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredCapacity {
    /// Mean number of requests in service, in thousandths.
    pub milli_slots: u32,
    /// Link bytes per second for requests; zero within a region.
    pub bytes_per_s: u64,
}

/// Totals of the grants for one kind of work and data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantTotals {
    /// Slots granted, in thousandths.
    pub milli_slots: u32,
    /// Requests in flight that use the grants.
    pub in_use: u32,
    /// Link bytes per second granted.
    pub bytes_per_s: u64,
    /// Earliest expiry of the grants.
    pub expires: Option<model::Time>,
}

/// Kind of work and data centre that a grant is for.
pub type GrantKey = (model::WorkId, model::DataCentreId);

/// Grants for one kind of work and data centre.
#[derive(Clone, Debug, Default)]
struct GrantSet {
    grants: Vec<HeldGrant>,
    required: RequiredCapacity,
    /// First and last time at which the owners granted less than required, while the shortage
    /// lasts.
    shortage: Option<(model::Time, model::Time)>,
}

impl GrantSet {
    fn milli_slots(&self, now: model::Time) -> u32 {
        let grants = self.grants.iter().map(|h| h.milli_slots(now));
        grants.fold(0, u32::saturating_add)
    }

    fn totals(&self, now: model::Time) -> GrantTotals {
        let active = || self.grants.iter().filter(|h| h.active(now).is_some());
        GrantTotals {
            milli_slots: self.milli_slots(now),
            in_use: self.grants.iter().map(|h| h.in_use).sum(),
            bytes_per_s: active()
                .filter_map(|h| h.active(now))
                .map(|grant| grant.bytes_per_s)
                .sum(),
            expires: active().map(|h| h.expires).min(),
        }
    }
}

/// Grants held, by kind of work and data centre.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    sets: collections::BTreeMap<GrantKey, GrantSet>,
    next_number: u64,
}

impl HeldGrants {
    /// Records the required capacity and returns the due requests for it, addressed to a fixed
    /// number of owners.
    pub fn take_due_requests(
        &mut self,
        key: &GrantKey,
        required: RequiredCapacity,
        owners: &[model::HostId],
        rng: &mut impl rand::Rng,
        now: model::Time,
    ) -> Vec<(model::HostId, grant::GrantRequest)> {
        let set = self.sets.entry(key.clone()).or_default();
        set.required = required;
        select_owners(&mut set.grants, owners, OWNER_COUNT, rng, now);
        let total = set.milli_slots(now);
        let part = required
            .milli_slots
            .div_ceil(set.grants.len().max(1) as u32);
        let all_replied = set.grants.iter().all(|h| h.has_reply);
        let due = set
            .grants
            .iter_mut()
            .filter(|h| h.is_due(now) && owners.contains(&h.host));
        let mut requests = Vec::new();
        for h in due {
            let granted_by_others = total - h.milli_slots(now);
            let missing = required.milli_slots.saturating_sub(granted_by_others);
            self.next_number += 1;
            h.last_request = Some((self.next_number, now));
            let rate = h.active(now).map_or(0, |grant| grant.bytes_per_s);
            let request = grant::GrantRequest {
                work: key.0.clone(),
                number: self.next_number,
                milli_slots: if all_replied { part.max(missing) } else { part },
                bytes_per_s: required.bytes_per_s,
                held_bytes_per_s: rate.max(h.window.total(now)),
            };
            requests.push((h.host.clone(), request));
        }
        requests
    }

    /// Records an owner's reply; a reply to an outdated request is ignored.
    pub fn on_grant(
        &mut self,
        data_centre: &str,
        from: &str,
        reply: grant::Grant,
        now: model::Time,
    ) {
        let key = (reply.work.clone(), data_centre.to_string());
        let Some(set) = self.sets.get_mut(&key) else {
            return;
        };
        for h in set.grants.iter_mut().filter(|h| h.host == from) {
            if let Some((number, at)) = h.last_request
                && number == reply.number
            {
                h.expires = at + grant::HOLD_DURATION;
                h.has_reply = true;
                h.grant = (reply.milli_slots > 0).then(|| reply.clone());
            }
        }
        let is_met = set.milli_slots(now) >= set.required.milli_slots;
        let is_pending = set.grants.iter().any(|h| !h.has_reply);
        if is_met {
            set.shortage = None;
        } else if !is_pending {
            let since = set.shortage.map_or(now, |(since, _)| since);
            set.shortage = Some((since, now));
        }
    }

    /// Reserves a slot and the link bytes for a request, preferring the least used grant.
    ///
    /// For each slot, up to `in_flight_per_slot` requests may be in transit, in service or waiting,
    /// and [`grant::BURST_REQUESTS`] in addition; the owner does not run those for which it has no
    /// capacity.
    pub fn acquire(
        &mut self,
        key: &GrantKey,
        bytes: u64,
        in_flight_per_slot: f64,
        now: model::Time,
    ) -> Result<(model::HostId, grant::GrantId), model::NotRunReason> {
        let held = self
            .sets
            .get_mut(key)
            .map_or(&mut [][..], |set| &mut set.grants);
        let mut candidates = (0..held.len())
            .filter(|i| {
                let slots = f64::from(held[*i].milli_slots(now)) / 1000.0;
                let max_in_use = slots * in_flight_per_slot + f64::from(grant::BURST_REQUESTS);
                slots > 0.0 && f64::from(held[*i].in_use) < max_in_use
            })
            .collect::<Vec<_>>();
        if candidates.is_empty() {
            return Err(model::NotRunReason::NoCapacity);
        }
        candidates.sort_by_key(|i| {
            u64::from(held[*i].in_use) * 1_000_000 / u64::from(held[*i].milli_slots(now))
        });
        for i in candidates {
            let h = &mut held[i];
            let grant = h
                .active(now)
                .cloned()
                .expect("a grant with slots has not expired");
            if bytes == 0 || h.window.try_add(bytes, grant.bytes_per_s, now) {
                h.in_use += 1;
                return Ok((h.host.clone(), grant.id));
            }
        }
        Err(model::NotRunReason::LinkFull)
    }

    /// Releases a slot that [`HeldGrants::acquire`] reserved.
    pub fn release(&mut self, key: &GrantKey, host: &str) {
        self.grants_mut(key, host)
            .for_each(|h| h.in_use = h.in_use.saturating_sub(1));
    }

    /// Currently usable slots, in thousandths.
    pub fn milli_slots(&self, key: &GrantKey, now: model::Time) -> u32 {
        self.sets.get(key).map_or(0, |a| a.milli_slots(now))
    }

    /// How long the owners have granted less than required, if the shortage still lasts.
    pub fn shortage_duration(&self, key: &GrantKey, now: model::Time) -> Option<time::Duration> {
        let (since, last) = self.sets.get(key)?.shortage?;
        (now < last + grant::LEASE_DURATION).then(|| now.saturating_sub(since))
    }

    /// Totals of the held grants, by kind of work and data centre.
    pub fn totals(&self, now: model::Time) -> collections::BTreeMap<GrantKey, GrantTotals> {
        self.sets
            .iter()
            .map(|(key, set)| (key.clone(), set.totals(now)))
            .filter(|(_, totals)| totals.milli_slots > 0 || totals.in_use > 0)
            .collect()
    }

    /// Grants of one owner.
    fn grants_mut(&mut self, key: &GrantKey, host: &str) -> impl Iterator<Item = &mut HeldGrant> {
        self.sets
            .get_mut(key)
            .into_iter()
            .flat_map(|set| &mut set.grants)
            .filter(move |h| h.host == host)
    }
}

/// Keeps the number of owners at `max_owners`: removes owners that are gone, and replaces owners
/// that granted nothing by random others.
fn select_owners(
    held: &mut Vec<HeldGrant>,
    owners: &[model::HostId],
    max_owners: usize,
    rng: &mut impl rand::Rng,
    now: model::Time,
) {
    let mut others = owners
        .iter()
        .filter(|owner| held.iter().all(|h| &h.host != *owner))
        .cloned()
        .collect::<Vec<_>>();
    others.shuffle(rng);
    held.retain(|h| h.in_use > 0 || owners.contains(&h.host));
    for h in held.iter_mut() {
        let refused = h.has_reply && h.in_use == 0 && h.milli_slots(now) == 0 && h.is_due(now);
        if refused && let Some(other) = others.pop() {
            *h = HeldGrant::new(&other);
        }
    }
    while held.len() < max_owners
        && let Some(other) = others.pop()
    {
        held.push(HeldGrant::new(&other));
    }
    // Surplus grants need no release; they expire at the owner.
    while held.len() > max_owners.max(1)
        && let Some(i) = held.iter().rposition(|h| h.in_use == 0 && h.is_due(now))
    {
        held.remove(i);
    }
}
