//! Grants that a host holds from owners in other data centres.

use std::{collections, time};

use rand::seq::SliceRandom;

use super::grant;
use crate::{link, model};

/// Owners that a host asks for one kind of work and data centre.
const OWNERS: usize = 2;

/// A grant as its holder sees it.
#[derive(Clone, Debug)]
struct Held {
    host: model::HostId,
    grant: Option<grant::Grant>,
    in_use: u32,
    window: link::Window,
    /// Number and time of the last request.
    asked: Option<(u64, model::Time)>,
    /// When the grant ends for this host.
    expires: model::Time,
    answered: bool,
}

impl Held {
    fn new(host: &str) -> Held {
        Held {
            host: host.to_string(),
            grant: None,
            in_use: 0,
            window: link::Window::default(),
            asked: None,
            expires: model::Time::ZERO,
            answered: false,
        }
    }

    fn live(&self, now: model::Time) -> Option<&grant::Grant> {
        self.grant.as_ref().filter(|_| now < self.expires)
    }

    fn milli_slots(&self, now: model::Time) -> u32 {
        self.live(now).map_or(0, |grant| grant.milli_slots)
    }

    fn due(&self, now: model::Time) -> bool {
        self.asked
            .is_none_or(|(_, at)| now >= at + grant::RENEWAL_INTERVAL)
    }
}

/// What a host needs of a data centre for one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredCapacity {
    /// Mean number of requests in service, in thousandths.
    pub milli_slots: u32,
    /// Bytes per second of requests on the link; zero within a region.
    pub bytes_per_s: u64,
}

/// Totals of the grants for one kind of work and data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantTotals {
    /// Slots granted, in thousandths.
    pub milli_slots: u32,
    /// Requests in flight on them.
    pub in_use: u32,
    /// Bytes per second granted.
    pub bytes_per_s: u64,
    /// When the first grant ends.
    pub expires: Option<model::Time>,
}

/// Kind of work and data centre that a grant is for.
pub type GrantKey = (model::WorkId, model::DataCentreId);

/// Grants for one kind of work and data centre.
#[derive(Clone, Debug, Default)]
struct Account {
    held: Vec<Held>,
    need: RequiredCapacity,
    /// Since when, and when last, the owners gave less than the need.
    short: Option<(model::Time, model::Time)>,
}

impl Account {
    fn milli_slots(&self, now: model::Time) -> u32 {
        self.held.iter().map(|h| h.milli_slots(now)).sum()
    }

    fn holding(&self, now: model::Time) -> GrantTotals {
        let live = || self.held.iter().filter(|h| h.live(now).is_some());
        GrantTotals {
            milli_slots: self.milli_slots(now),
            in_use: self.held.iter().map(|h| h.in_use).sum(),
            bytes_per_s: live()
                .filter_map(|h| h.live(now))
                .map(|grant| grant.bytes_per_s)
                .sum(),
            expires: live().map(|h| h.expires).min(),
        }
    }
}

/// Grants held, by kind of work and data centre.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    accounts: collections::BTreeMap<GrantKey, Account>,
    next_number: u64,
}

impl HeldGrants {
    /// Requests that are due for a need, to a constant number of owners.
    pub fn due_requests(
        &mut self,
        key: &GrantKey,
        need: RequiredCapacity,
        owners: &[model::HostId],
        rng: &mut impl rand::Rng,
        now: model::Time,
    ) -> Vec<(model::HostId, grant::GrantRequest)> {
        let account = self.accounts.entry(key.clone()).or_default();
        account.need = need;
        choose(&mut account.held, owners, OWNERS, rng, now);
        let total = account.milli_slots(now);
        let part = need.milli_slots.div_ceil(account.held.len().max(1) as u32);
        let answered = account.held.iter().all(|h| h.answered);
        let due = account
            .held
            .iter_mut()
            .filter(|h| h.due(now) && owners.contains(&h.host));
        let mut asks = Vec::new();
        for h in due {
            let others = total - h.milli_slots(now);
            let rest = need.milli_slots.saturating_sub(others);
            self.next_number += 1;
            h.asked = Some((self.next_number, now));
            let rate = h.live(now).map_or(0, |grant| grant.bytes_per_s);
            let ask = grant::GrantRequest {
                work: key.0.clone(),
                number: self.next_number,
                milli_slots: if answered { part.max(rest) } else { part },
                bytes_per_s: need.bytes_per_s,
                held_bytes_per_s: rate.max(h.window.total(now)),
            };
            asks.push((h.host.clone(), ask));
        }
        asks
    }

    /// Takes in an answer; one to an older request is ignored.
    pub fn on_grant(
        &mut self,
        data_centre: &str,
        from: &str,
        answer: grant::Grant,
        now: model::Time,
    ) {
        let key = (answer.work.clone(), data_centre.to_string());
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        for h in account.held.iter_mut().filter(|h| h.host == from) {
            if let Some((number, at)) = h.asked
                && number == answer.number
            {
                h.expires = at + grant::HOLD_DURATION;
                h.answered = true;
                h.grant = (answer.milli_slots > 0).then(|| answer.clone());
            }
        }
        let enough = account.milli_slots(now) >= account.need.milli_slots;
        let pending = account.held.iter().any(|h| !h.answered);
        if enough {
            account.short = None;
        } else if !pending {
            let since = account.short.map_or(now, |(since, _)| since);
            account.short = Some((since, now));
        }
    }

    /// Takes a slot and the request's bytes from a grant, the one with the most room first.
    ///
    /// `in_flight_per_slot` requests may be on their way, in service or waiting for each slot;
    /// the owner refuses what it has no room for.
    pub fn acquire(
        &mut self,
        key: &GrantKey,
        bytes: u64,
        in_flight_per_slot: f64,
        now: model::Time,
    ) -> Result<(model::HostId, grant::GrantId), model::NotRunReason> {
        let held = self
            .accounts
            .get_mut(key)
            .map_or(&mut [][..], |account| &mut account.held);
        let mut order = (0..held.len())
            .filter(|i| {
                let slots = f64::from(held[*i].milli_slots(now)) / 1000.0;
                let most = slots * in_flight_per_slot + f64::from(grant::BURST_REQUESTS);
                slots > 0.0 && f64::from(held[*i].in_use) < most
            })
            .collect::<Vec<_>>();
        if order.is_empty() {
            return Err(model::NotRunReason::NoCapacity);
        }
        order.sort_by_key(|i| held[*i].in_use * 1_000_000 / held[*i].milli_slots(now));
        for i in order {
            let h = &mut held[i];
            let grant = h.live(now).cloned().expect("a grant with slots is live");
            if bytes == 0 || h.window.try_add(bytes, grant.bytes_per_s, now) {
                h.in_use += 1;
                return Ok((h.host.clone(), grant.id));
            }
        }
        Err(model::NotRunReason::LinkFull)
    }

    /// Ends a request that [`HeldGrants::acquire`] took a slot for.
    pub fn release(&mut self, key: &GrantKey, host: &str) {
        self.held_mut(key, host)
            .for_each(|h| h.in_use = h.in_use.saturating_sub(1));
    }

    /// Slots usable now, in thousandths.
    pub fn milli_slots(&self, key: &GrantKey, now: model::Time) -> u32 {
        self.accounts.get(key).map_or(0, |a| a.milli_slots(now))
    }

    /// For how long the owners asked have given less than was needed, up to now.
    pub fn shortage_duration(&self, key: &GrantKey, now: model::Time) -> Option<time::Duration> {
        let (since, last) = self.accounts.get(key)?.short?;
        (now < last + grant::LEASE_DURATION).then(|| now.saturating_sub(since))
    }

    /// Totals of the grants held.
    pub fn totals(&self, now: model::Time) -> collections::BTreeMap<GrantKey, GrantTotals> {
        self.accounts
            .iter()
            .map(|(key, account)| (key.clone(), account.holding(now)))
            .filter(|(_, holding)| holding.milli_slots > 0 || holding.in_use > 0)
            .collect()
    }

    fn held_mut(&mut self, key: &GrantKey, host: &str) -> impl Iterator<Item = &mut Held> {
        self.accounts
            .get_mut(key)
            .into_iter()
            .flat_map(|account| &mut account.held)
            .filter(move |h| h.host == host)
    }
}

/// Keeps the owners asked at a number: lets go of those that are gone, and replaces those that
/// gave nothing by others at random.
fn choose(
    held: &mut Vec<Held>,
    owners: &[model::HostId],
    count: usize,
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
        let refused = h.answered && h.in_use == 0 && h.milli_slots(now) == 0 && h.due(now);
        if refused && let Some(other) = others.pop() {
            *h = Held::new(&other);
        }
    }
    while held.len() < count
        && let Some(other) = others.pop()
    {
        held.push(Held::new(&other));
    }
    // Surplus grants end by themselves.
    while held.len() > count.max(1)
        && let Some(i) = held.iter().rposition(|h| h.in_use == 0 && h.due(now))
    {
        held.remove(i);
    }
}
