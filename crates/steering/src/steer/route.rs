//! Where a request goes.

use std::time;

use rand::Rng;

use super::{flow, router};
use crate::{capacity, model, shift};

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the pool of this host.
    Local,
    /// To another host, which owns backend servers.
    Remote {
        /// Receiving host.
        host: model::HostId,
        /// Its data centre.
        data_centre: model::DataCentreId,
        /// Grant to show; none for local callers within their data centre.
        grant: Option<capacity::GrantId>,
    },
    /// Nowhere; the request was not run.
    NotRun(model::NotRunReason),
}

/// How a routed or accepted request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Time for which it held a slot of a backend server, if it was run.
    pub slot_time: Option<time::Duration>,
    /// Bytes of the answer.
    pub response_bytes: u64,
}

/// A request that this host routed and whose end is open.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) work: model::WorkId,
    pub(super) spent: Option<(capacity::GrantKey, model::HostId)>,
}

/// A request that this host took from another one or, on a grant of its own, from itself.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    pub(super) work: model::WorkId,
    pub(super) granted_to: Option<model::HostId>,
    pub(super) region: Option<model::RegionId>,
    pub(super) reserved_bytes: u64,
}

impl router::Router {
    /// Decides where a request goes.  Unless the answer is [`Route::NotRun`], its end has to be
    /// told with [`router::Router::finished`].
    pub fn route(&mut self, req: &model::RequestMeta, now: model::Time) -> Route {
        match self.try_route(req, now) {
            Ok(route) => route,
            Err(reason) => Route::NotRun(reason),
        }
    }

    fn try_route(
        &mut self,
        req: &model::RequestMeta,
        now: model::Time,
    ) -> Result<Route, model::NotRunReason> {
        if !self.is_ready() {
            return Err(model::NotRunReason::NotReady);
        }
        if !self.doc.work.contains_key(&req.work) || self.doc.region_of(&req.origin).is_none() {
            return Err(model::NotRunReason::NoCapacity);
        }
        let data_centre = self.pick_data_centre(req, now)?;
        let latency = self.doc.latency_between(&self.data_centre, &data_centre);
        if now + latency * 2 >= req.deadline {
            return Err(model::NotRunReason::Deadline);
        }
        match data_centre == self.data_centre && req.origin == self.data_centre {
            true => self.route_within(req, now),
            false => self.route_on_grant(req, data_centre, now),
        }
    }

    fn pick_data_centre(
        &mut self,
        req: &model::RequestMeta,
        now: model::Time,
    ) -> Result<model::DataCentreId, model::NotRunReason> {
        let cap = self.doc.shift_cap(&req.work);
        let key = (req.work.clone(), req.origin.clone());
        let flow = self
            .flows
            .entry(key)
            .or_insert_with(|| flow::Flow::new(&req.origin, now));
        flow.count(req.body_bytes, now);
        let cell = shift::cell_of(req.affinity);
        let data_centre = flow.shares.data_centre_of(cell).clone();
        let moved = data_centre != req.origin && req.origin != self.data_centre;
        if moved && !flow.ramp.admit(&cap, now) {
            return Err(model::NotRunReason::ShiftCap);
        }
        match self.barred(&req.work, &data_centre, now) {
            // Policies and drains take effect in steps; until its step a cell stays served.
            None | Some(super::Cause::Drain | super::Cause::Policy) => Ok(data_centre),
            Some(_) => Err(model::NotRunReason::ShiftCap),
        }
    }

    /// Picks an owner in this data centre: the less used of two drawn by slots.
    fn route_within(
        &mut self,
        req: &model::RequestMeta,
        now: model::Time,
    ) -> Result<Route, model::NotRunReason> {
        let site = self.topology.site(&req.work, &self.data_centre);
        let owners = site.map_or(&[][..], |site| &site.owners);
        let total = owners.iter().map(|(_, slots)| slots).sum::<u32>();
        if total == 0 {
            return Err(model::NotRunReason::NoCapacity);
        }
        let mut draw = || pick(owners, self.rng.random_range(0..total));
        let (a, b) = (draw(), draw());
        let service = &self.doc.work[&req.work].service;
        let use_of = |host: &str| self.use_of(host, service, now);
        let host = match use_of(a) <= use_of(b) {
            true => a.clone(),
            false => b.clone(),
        };
        self.sent.insert(
            req.id,
            Sent {
                work: req.work.clone(),
                spent: None,
            },
        );
        if host == self.host {
            return Ok(Route::Local);
        }
        *self.sent_to.entry(host.clone()).or_default() += 1;
        Ok(Route::Remote {
            host,
            data_centre: self.data_centre.clone(),
            grant: None,
        })
    }

    fn route_on_grant(
        &mut self,
        req: &model::RequestMeta,
        data_centre: model::DataCentreId,
        now: model::Time,
    ) -> Result<Route, model::NotRunReason> {
        let regions = [&data_centre, &self.data_centre].map(|dc| self.doc.region_of(dc));
        let bytes = match regions[0] == regions[1] {
            true => 0,
            false => req.body_bytes.max(1),
        };
        let key = (req.work.clone(), data_centre.clone());
        let per_slot = self.in_flight_per_slot(&key);
        let (host, id) = self.held_grants.acquire(&key, bytes, per_slot, now)?;
        if host == self.host && !self.accept_own(req, id, now) {
            self.held_grants.release(&key, &host);
            return Err(model::NotRunReason::NoCapacity);
        }
        self.sent.insert(
            req.id,
            Sent {
                work: req.work.clone(),
                spent: Some((key, host.clone())),
            },
        );
        Ok(match host == self.host {
            true => Route::Local,
            false => Route::Remote {
                host,
                data_centre,
                grant: Some(id),
            },
        })
    }

    fn queue_per_slot(&self, work: &str) -> u32 {
        self.doc
            .work
            .get(work)
            .map_or(0, |work| work.queue_per_slot)
    }

    /// Requests in flight for each slot: one in service, those waiting, and those on their way.
    fn in_flight_per_slot(&self, (work, data_centre): &capacity::GrantKey) -> f64 {
        let latency = self.doc.latency_between(&self.data_centre, data_centre);
        let slot_time = self.slot_times.get(work).copied().unwrap_or_default();
        let on_their_way = 2.0 * latency.as_secs_f64() / slot_time.mean_s().max(0.001);
        f64::from(self.queue_per_slot(work)) + 1.0 + on_their_way
    }

    fn accept_own(
        &mut self,
        req: &model::RequestMeta,
        id: capacity::GrantId,
        now: model::Time,
    ) -> bool {
        let host = self.host.clone();
        self.accept_remote(req, &host, Some(id), now).is_ok()
    }

    /// Checks a request from another host, on the receiving side.  Its end has to be told with
    /// [`router::Router::finished`] if it was taken.
    pub fn accept_remote(
        &mut self,
        req: &model::RequestMeta,
        from: &str,
        grant: Option<capacity::GrantId>,
        now: model::Time,
    ) -> Result<(), model::NotRunReason> {
        let near = from == self.host
            || self.peers.data_centre_of(from).map(String::as_str) == Some(&self.data_centre);
        let mut accepted = Accepted {
            work: req.work.clone(),
            granted_to: None,
            region: None,
            reserved_bytes: 0,
        };
        if let Some(id) = grant {
            let waiting = self.queue_per_slot(&req.work);
            if !self.issued_grants.accept(from, &req.work, id, waiting, now) {
                return Err(model::NotRunReason::NoCapacity);
            }
            accepted.granted_to = Some(from.to_string());
            accepted.region = self.issued_grants.region_of(from, &req.work);
            if !self.reserve_answer(&mut accepted, now) {
                self.issued_grants.release(from, &req.work);
                return Err(model::NotRunReason::LinkFull);
            }
        } else if !near || req.origin != self.data_centre {
            return Err(model::NotRunReason::NoCapacity);
        }
        self.accepted.insert(req.id, accepted);
        Ok(())
    }

    /// Ends a request that was routed or accepted.
    pub fn finished(&mut self, id: model::RequestId, completion: Completion, now: model::Time) {
        if let Some(accepted) = self.accepted.remove(&id) {
            self.end_accepted(&accepted, completion, now);
        }
        if let Some(sent) = self.sent.remove(&id) {
            self.end_sent(sent, completion);
        }
    }

    fn end_accepted(&mut self, accepted: &Accepted, completion: Completion, now: model::Time) {
        if let Some(holder) = &accepted.granted_to {
            self.issued_grants.release(holder, &accepted.work);
        }
        if let Some(region) = &accepted.region {
            let estimate = self
                .response_bytes
                .entry(accepted.work.clone())
                .or_default();
            estimate.count(completion.response_bytes);
            let more = completion
                .response_bytes
                .saturating_sub(accepted.reserved_bytes);
            let window = self.answers.entry(region.clone()).or_default();
            let rank = self.doc.work.get(&accepted.work).map(|work| work.rank);
            window.add(more, rank.unwrap_or_default(), now);
        }
    }

    fn end_sent(&mut self, sent: Sent, completion: Completion) {
        if let Some(slot_time) = completion.slot_time {
            let mean = self.slot_times.entry(sent.work).or_default();
            mean.count(slot_time);
        }
        if let Some((key, host)) = sent.spent {
            self.held_grants.release(&key, &host);
        }
    }

    /// Reserves room for the answer on the link back, by what answers of this work took lately.
    fn reserve_answer(&mut self, accepted: &mut Accepted, now: model::Time) -> bool {
        let Some(region) = &accepted.region else {
            return true;
        };
        let Some(work) = self.doc.work.get(&accepted.work) else {
            return false;
        };
        let estimate = self.response_bytes.get(&accepted.work);
        accepted.reserved_bytes = estimate.copied().unwrap_or_default().bytes();
        let (rank, limit) = (work.rank, self.link_part());
        let window = self.answers.entry(region.clone()).or_default();
        window.try_add(accepted.reserved_bytes, rank, limit, now)
    }
}

fn pick(owners: &[(model::HostId, u32)], mut position: u32) -> &model::HostId {
    for (host, slots) in owners {
        if position < *slots {
            return host;
        }
        position -= slots;
    }
    &owners[owners.len() - 1].0
}
