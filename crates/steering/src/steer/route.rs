//! Routing decision for each request.

use std::time;

use rand::Rng;

use super::{flow, router};
use crate::{capacity, model, shift};

/// Routing decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// The pool of this host runs the request; a request that stays in the data centre may also be
    /// [`Route::Remote`].
    Local,
    /// Another host, which owns backend servers, runs the request.
    Remote {
        /// Receiving host.
        host: model::HostId,
        /// Data centre of the receiving host.
        data_centre: model::DataCentreId,
        /// Grant to present; none for a request from this data centre that stays in it.
        grant: Option<capacity::GrantId>,
    },
    /// The request is refused and was not run.
    NotRun(model::NotRunReason),
}

/// How a routed or accepted request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Time for which the request occupied a slot of a backend server, if it was run.
    pub slot_time: Option<time::Duration>,
    /// Size of the response in bytes.
    pub response_bytes: u64,
}

/// A request that this host routed and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct RoutedRequest {
    pub(super) work: model::WorkId,
    pub(super) grant: Option<(capacity::GrantKey, model::HostId)>,
}

/// A request that this host accepted from another host or, on a grant issued to itself, from
/// itself.
#[derive(Clone, Debug)]
pub(super) struct AcceptedRequest {
    pub(super) work: model::WorkId,
    pub(super) granted_to: Option<model::HostId>,
    pub(super) region: Option<model::RegionId>,
    pub(super) reserved_bytes: u64,
}

impl router::Router {
    /// Routes a request.  Unless the result is [`Route::NotRun`], the user of the state machine has
    /// to report its end with [`router::Router::finished`].
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
            // No data centre can serve work or callers that the document does not have.
            return Err(model::NotRunReason::NoCapacity);
        }
        let data_centre = self.select_data_centre(req, now)?;
        let latency = self.doc.latency_between(&self.data_centre, &data_centre);
        if now + latency * 2 >= req.deadline {
            return Err(model::NotRunReason::Deadline);
        }
        match data_centre == self.data_centre && req.origin == self.data_centre {
            true => self.route_within_data_centre(req, now),
            false => self.route_with_grant(req, data_centre, now),
        }
    }

    fn select_data_centre(
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
        flow.record_arrival(req.body_bytes, now);
        let cell = shift::cell_of(req.affinity);
        let data_centre = flow.shares.data_centre_of(cell).clone();
        let is_displaced = data_centre != req.origin && req.origin != self.data_centre;
        if is_displaced && !flow.displaced_ramp.admit(&cap, now) {
            return Err(model::NotRunReason::ShiftCap);
        }
        match self.exclusion_cause(&req.work, &data_centre, now) {
            // Policies and drains take effect in capped steps.  A cell that has not been moved yet
            // is still served.
            None | Some(super::Cause::Drain | super::Cause::Policy) => Ok(data_centre),
            // The cells of a lost data centre have no destination until capped steps move them.
            Some(_) => Err(model::NotRunReason::ShiftCap),
        }
    }

    /// Selects an owner in this data centre: the less utilized of two random choices weighted by
    /// slots.
    fn route_within_data_centre(
        &mut self,
        req: &model::RequestMeta,
        now: model::Time,
    ) -> Result<Route, model::NotRunReason> {
        let work_slots = self.topology.work_slots(&req.work, &self.data_centre);
        let owners = work_slots.map_or(&[][..], |work_slots| &work_slots.owners);
        let total = owners.iter().map(|(_, slots)| slots).sum::<u32>();
        if total == 0 {
            return Err(model::NotRunReason::NoCapacity);
        }
        let mut draw = || owner_at(owners, self.rng.random_range(0..total));
        let (a, b) = (draw(), draw());
        let service = &self.doc.work[&req.work].service;
        let utilization = |host: &str| self.utilization(host, service, now);
        let host = match utilization(a) <= utilization(b) {
            true => a.clone(),
            false => b.clone(),
        };
        self.routed_requests.insert(
            req.id,
            RoutedRequest {
                work: req.work.clone(),
                grant: None,
            },
        );
        if host == self.host {
            return Ok(Route::Local);
        }
        *self.sent_since_report.entry(host.clone()).or_default() += 1;
        Ok(Route::Remote {
            host,
            data_centre: self.data_centre.clone(),
            grant: None,
        })
    }

    fn route_with_grant(
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
        if host == self.host && !self.accept_from_self(req, id, now) {
            self.held_grants.release(&key, &host);
            return Err(model::NotRunReason::NoCapacity);
        }
        self.routed_requests.insert(
            req.id,
            RoutedRequest {
                work: req.work.clone(),
                grant: Some((key, host.clone())),
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

    /// Requests in flight per slot: one in service, those queued, and those in transit.
    fn in_flight_per_slot(&self, (work, data_centre): &capacity::GrantKey) -> f64 {
        let latency = self.doc.latency_between(&self.data_centre, data_centre);
        let slot_time = self.slot_times.get(work).copied().unwrap_or_default();
        let in_transit = 2.0 * latency.as_secs_f64() / slot_time.mean_s().max(0.001);
        f64::from(self.queue_per_slot(work)) + 1.0 + in_transit
    }

    fn accept_from_self(
        &mut self,
        req: &model::RequestMeta,
        id: capacity::GrantId,
        now: model::Time,
    ) -> bool {
        let host = self.host.clone();
        self.accept_remote(req, &host, Some(id), now).is_ok()
    }

    /// Decides on the receiving host whether to accept a request from another host, of this or
    /// another data centre.  The user of the state machine has to report the end of an accepted
    /// request with [`router::Router::finished`].
    pub fn accept_remote(
        &mut self,
        req: &model::RequestMeta,
        from: &str,
        grant: Option<capacity::GrantId>,
        now: model::Time,
    ) -> Result<(), model::NotRunReason> {
        let is_from_own_data_centre = from == self.host
            || self.peers.data_centre_of(from).map(String::as_str) == Some(&self.data_centre);
        let mut accepted = AcceptedRequest {
            work: req.work.clone(),
            granted_to: None,
            region: None,
            reserved_bytes: 0,
        };
        if let Some(id) = grant {
            let queue_per_slot = self.queue_per_slot(&req.work);
            if !self
                .issued_grants
                .accept(from, &req.work, id, queue_per_slot, now)
            {
                return Err(model::NotRunReason::NoCapacity);
            }
            accepted.granted_to = Some(from.to_string());
            accepted.region = self.issued_grants.region_of(from, &req.work);
            if !self.reserve_response_bytes(&mut accepted, now) {
                self.issued_grants.release(from, &req.work);
                return Err(model::NotRunReason::LinkFull);
            }
        } else if !is_from_own_data_centre || req.origin != self.data_centre {
            return Err(model::NotRunReason::NoCapacity);
        }
        self.accepted_requests.insert(req.id, accepted);
        Ok(())
    }

    /// Records the end of a request that was routed or accepted.
    pub fn finished(&mut self, id: model::RequestId, completion: Completion, now: model::Time) {
        if let Some(accepted) = self.accepted_requests.remove(&id) {
            self.end_accepted(&accepted, completion, now);
        }
        if let Some(routed) = self.routed_requests.remove(&id) {
            self.end_routed(routed, completion);
        }
    }

    fn end_accepted(
        &mut self,
        accepted: &AcceptedRequest,
        completion: Completion,
        now: model::Time,
    ) {
        if let Some(holder) = &accepted.granted_to {
            self.issued_grants.release(holder, &accepted.work);
        }
        if let Some(region) = &accepted.region {
            let estimate = self
                .response_bytes
                .entry(accepted.work.clone())
                .or_default();
            estimate.record(completion.response_bytes);
            let unreserved = completion
                .response_bytes
                .saturating_sub(accepted.reserved_bytes);
            let window = self.response_windows.entry(region.clone()).or_default();
            let rank = self.doc.work.get(&accepted.work).map(|work| work.rank);
            window.add(unreserved, rank.unwrap_or_default(), now);
        }
    }

    fn end_routed(&mut self, routed: RoutedRequest, completion: Completion) {
        if let Some(slot_time) = completion.slot_time {
            let mean = self.slot_times.entry(routed.work).or_default();
            mean.record(slot_time);
        }
        if let Some((key, host)) = routed.grant {
            self.held_grants.release(&key, &host);
        }
    }

    /// Reserves bytes for the response on the link back, by the estimated size of responses of this
    /// work.
    fn reserve_response_bytes(&mut self, accepted: &mut AcceptedRequest, now: model::Time) -> bool {
        let Some(region) = &accepted.region else {
            return true;
        };
        let Some(work) = self.doc.work.get(&accepted.work) else {
            return false;
        };
        let estimate = self.response_bytes.get(&accepted.work);
        accepted.reserved_bytes = estimate.copied().unwrap_or_default().bytes();
        let (rank, limit) = (work.rank, self.link_rate());
        let window = self.response_windows.entry(region.clone()).or_default();
        window.try_add(accepted.reserved_bytes, rank, limit, now)
    }
}

/// Owner of the slot number `position`, counted over all owners.
fn owner_at(owners: &[(model::HostId, u32)], mut position: u32) -> &model::HostId {
    for (host, slots) in owners {
        if position < *slots {
            return host;
        }
        position -= slots;
    }
    &owners[owners.len() - 1].0
}
