//! Status of the steering of one host, as shown to operators.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{plan, router};
use crate::{model, shift};

/// Shares of one kind of work for the callers of one data centre.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowStatus {
    /// Kind of work.
    pub work: model::WorkId,
    /// Home data centre of the callers.
    pub origin: model::DataCentreId,
    /// Share of each data centre, 0 to 1.
    pub shares: collections::BTreeMap<model::DataCentreId, f64>,
    /// Why traffic is being moved; none if none has to move.
    pub cause: Option<plan::Cause>,
    /// Share still to be moved, 0 to 1.
    pub left: f64,
    /// Time since the last step, in milliseconds.
    #[serde(rename = "last_step_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub last_step: Option<time::Duration>,
    /// Arrivals per second.
    pub rate_per_s: f64,
}

/// Grants held for one kind of work in one data centre.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldGrantStatus {
    /// Kind of work.
    pub work: model::WorkId,
    /// Data centre that issued the grants.
    pub data_centre: model::DataCentreId,
    /// Slots granted; they limit the mean number of requests in service.
    pub slots: f64,
    /// Requests in progress on the grants, not slots.
    pub in_use: u32,
    /// Bytes per second granted on the link.
    pub bytes_per_s: u64,
    /// Time until the first of the grants expires, in milliseconds.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub expires_in: Option<time::Duration>,
}

/// A grant issued to another host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IssuedGrantStatus {
    /// Host that holds the grant.
    pub holder: model::HostId,
    /// Kind of work.
    pub work: model::WorkId,
    /// Slots granted; they limit the mean number of requests in service.
    pub slots: f64,
    /// Requests in progress on the grant, not slots.
    pub in_use: u32,
    /// Bytes per second granted on the link.
    pub bytes_per_s: u64,
    /// Time until the grant expires, in milliseconds.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expires_in: time::Duration,
}

/// A drain; times are those of the deployment's clock, in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Begin of the drain.
    #[serde(rename = "begin_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub begin: model::Time,
    /// Latest end of the drain, provided that there is capacity elsewhere.
    #[serde(rename = "end_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub end: model::Time,
    /// Whether the drain ends after the requested time.
    pub late: bool,
}

/// Status of the steering of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the host routes requests.
    pub ready: bool,
    /// Flows.
    pub flows: Vec<FlowStatus>,
    /// Grants held.
    pub held: Vec<HeldGrantStatus>,
    /// Grants issued.
    pub given: Vec<IssuedGrantStatus>,
    /// Drains by name.
    pub drains: collections::BTreeMap<String, DrainStatus>,
    /// Share of the demand of this data centre's callers that stays in it, by service, 0 to 1.
    pub kept: collections::BTreeMap<model::ServiceId, f64>,
    /// Bytes per second on the link with each other region: at most so many of requests to this
    /// host, by its grants, and as many of the responses that it sends.
    pub link_bytes_per_s: u64,
}

impl router::Router {
    /// Current status, for operators.
    pub fn status(&self, now: model::Time) -> Status {
        Status {
            ready: self.is_ready(),
            flows: self.flow_statuses(now),
            held: self.held_statuses(now),
            given: self.issued_statuses(now),
            drains: self.drain_statuses(),
            kept: self
                .spillover
                .iter()
                .map(|(service, spillover)| (service.clone(), spillover.local_share()))
                .collect(),
            link_bytes_per_s: self.link_rate(),
        }
    }

    fn flow_statuses(&self, now: model::Time) -> Vec<FlowStatus> {
        let share = |cells: u32| f64::from(cells) / f64::from(shift::CELL_COUNT);
        self.flows
            .iter()
            .map(|((work, home), flow)| FlowStatus {
                work: work.clone(),
                origin: home.clone(),
                shares: flow
                    .shares
                    .cells()
                    .into_iter()
                    .map(|(dc, cells)| (dc, share(cells)))
                    .collect(),
                cause: flow.pending_moves.map(|(cause, _)| cause),
                left: share(flow.pending_moves.map_or(0, |(_, cells)| cells)),
                last_step: flow
                    .move_log
                    .last_move_at()
                    .map(|at| now.saturating_sub(at)),
                rate_per_s: flow.arrivals_per_s,
            })
            .collect()
    }

    fn held_statuses(&self, now: model::Time) -> Vec<HeldGrantStatus> {
        self.held_grants
            .totals(now)
            .into_iter()
            .map(|((work, data_centre), totals)| HeldGrantStatus {
                work,
                data_centre,
                slots: f64::from(totals.milli_slots) / 1000.0,
                in_use: totals.in_use,
                bytes_per_s: totals.bytes_per_s,
                expires_in: totals.expires.map(|at| at.saturating_sub(now)),
            })
            .collect()
    }

    fn issued_statuses(&self, now: model::Time) -> Vec<IssuedGrantStatus> {
        self.issued_grants
            .grants()
            .iter()
            .map(|((holder, work), grant)| IssuedGrantStatus {
                holder: holder.clone(),
                work: work.clone(),
                slots: f64::from(grant.milli_slots) / 1000.0,
                in_use: grant.in_use,
                bytes_per_s: grant.bytes_per_s,
                expires_in: grant.expires.saturating_sub(now),
            })
            .collect()
    }

    fn drain_statuses(&self) -> collections::BTreeMap<String, DrainStatus> {
        self.drains
            .iter()
            .map(|(name, (_, plan))| {
                let status = DrainStatus {
                    begin: plan.begin,
                    end: plan.end,
                    late: plan.late,
                };
                (name.clone(), status)
            })
            .collect()
    }
}
