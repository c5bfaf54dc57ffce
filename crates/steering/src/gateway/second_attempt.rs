//! Placement of a second attempt beside the first one.

use std::{collections, time};

use super::{dispatcher, placement, request, server, server_set};
use crate::{hedging, model, numbers};

/// A second attempt that was begun.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondAttempt {
    /// Identifies it, as [`dispatcher::Dispatcher::submit`] would.
    pub ticket: dispatcher::Ticket,
    /// Backend server that it goes to.
    pub server: server_set::ServerIndex,
    /// Its entry.
    pub entry: server::ServerEntry,
    /// Expected service time.
    pub expected: time::Duration,
}

impl dispatcher::Dispatcher {
    /// Begins a second attempt of a request whose first one is in progress at the last of its tried
    /// servers.  Returns `None` unless another backend server has room for it now, no request waits
    /// for the service, and both the allowance of extra work and the retry budget cover it.
    pub fn begin_second_attempt(
        &mut self,
        req: request::Request,
        hedger: &mut hedging::Hedger,
        host_count: usize,
        now: model::Time,
    ) -> Option<SecondAttempt> {
        if self.has_waiting_for(&req.service) {
            return None;
        }
        let cx = placement::PlacementContext {
            servers: &self.servers,
            times: &self.times,
            data_centre: &self.data_centre,
            regions: &self.regions,
            shares: &self.shares,
            remote_in_flight: &self.remote_in_flight,
            queued_ahead: &collections::HashMap::new(),
        };
        let choice = placement::choose(&cx, &req, now)?;
        let server = self.servers.get(choice.server)?;
        let remote = self.remote_in_flight.at(server.name_hash);
        let remote = server.remote_in_flight(remote, now);
        let in_use = server.in_flight().saturating_add(remote);
        let has_room = choice.wait_seconds <= 0.0
            && !choice.is_paused
            && !server.is_cold(now)
            && hedging::Hedger::has_room(in_use, server.entry.slots);
        let expected = numbers::saturating_duration(choice.service_seconds);
        if !has_room || now + expected > req.deadline || !hedger.try_spend(&req.service, expected) {
            return None;
        }
        if !self.try_retry(&req.service, host_count, now) {
            hedger.refund(&req.service, expected);
            return None;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let entry = self.start_attempt(ticket, req, choice, now)?;
        Some(SecondAttempt {
            ticket,
            server: choice.server,
            entry,
            expected,
        })
    }
}
