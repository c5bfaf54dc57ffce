//! What operators see of the steering of one host.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{plan, router};
use crate::{model, shift};

/// Shares of one kind of work for callers of one data centre.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowStatus {
    /// Kind of work.
    pub work: model::WorkId,
    /// Home data centre of the callers.
    pub origin: model::DataCentreId,
    /// Share of each data centre, 0 to 1.
    pub shares: collections::BTreeMap<model::DataCentreId, f64>,
    /// Why a part of the traffic is being moved; none while it is where it should be.
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
pub struct HeldStatus {
    /// Kind of work.
    pub work: model::WorkId,
    /// Data centre that granted.
    pub data_centre: model::DataCentreId,
    /// Slots granted: the mean number of requests in service.
    pub slots: f64,
    /// Requests in flight on them.
    pub in_use: u32,
    /// Bytes per second granted on the link.
    pub bytes_per_s: u64,
    /// Time until the first of them ends, in milliseconds.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub expires_in: Option<time::Duration>,
}

/// A grant given to another host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GivenStatus {
    /// Host that holds it.
    pub holder: model::HostId,
    /// Kind of work.
    pub work: model::WorkId,
    /// Slots granted: the mean number of requests in service.
    pub slots: f64,
    /// Requests of the holder in progress.
    pub in_use: u32,
    /// Bytes per second granted on the link.
    pub bytes_per_s: u64,
    /// Time until it ends, in milliseconds.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expires_in: time::Duration,
}

/// A planned stop; times are the deployment's clock in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// When it begins.
    #[serde(rename = "begin_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub begin: model::Time,
    /// When it is over at the latest, if there is room elsewhere.
    #[serde(rename = "end_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub end: model::Time,
    /// Whether it ends after the time asked for.
    pub late: bool,
}

/// Snapshot of the steering of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether requests are routed.
    pub ready: bool,
    /// Flows.
    pub flows: Vec<FlowStatus>,
    /// Grants held.
    pub held: Vec<HeldStatus>,
    /// Grants given.
    pub given: Vec<GivenStatus>,
    /// Planned stops by name.
    pub drains: collections::BTreeMap<String, DrainStatus>,
    /// Part of the local demand kept in the data centre, by service, 0 to 1.
    pub kept: collections::BTreeMap<model::ServiceId, f64>,
    /// Bytes per second that this host may let through on a link, each way, for requests and for
    /// answers.
    pub link_bytes_per_s: u64,
}

impl router::Router {
    /// What operators see.
    pub fn status(&self, now: model::Time) -> Status {
        Status {
            ready: self.is_ready(),
            flows: self.flow_status(now),
            held: self.held_status(now),
            given: self.given_status(now),
            drains: self.drain_status(),
            kept: self
                .heat
                .iter()
                .map(|(service, heat)| (service.clone(), heat.kept()))
                .collect(),
            link_bytes_per_s: self.link_part(),
        }
    }

    fn flow_status(&self, now: model::Time) -> Vec<FlowStatus> {
        let share = |cells: u32| f64::from(cells) / f64::from(shift::CELL_COUNT);
        self.flows
            .iter()
            .map(|((work, origin), flow)| FlowStatus {
                work: work.clone(),
                origin: origin.clone(),
                shares: flow
                    .shares
                    .cells()
                    .into_iter()
                    .map(|(dc, cells)| (dc, share(cells)))
                    .collect(),
                cause: flow.moving.map(|(cause, _)| cause),
                left: share(flow.moving.map_or(0, |(_, cells)| cells)),
                last_step: flow.log.last().map(|at| now.saturating_sub(at)),
                rate_per_s: flow.rate,
            })
            .collect()
    }

    fn held_status(&self, now: model::Time) -> Vec<HeldStatus> {
        self.held_grants
            .totals(now)
            .into_iter()
            .map(|((work, data_centre), holding)| HeldStatus {
                work,
                data_centre,
                slots: f64::from(holding.milli_slots) / 1000.0,
                in_use: holding.in_use,
                bytes_per_s: holding.bytes_per_s,
                expires_in: holding.expires.map(|at| at.saturating_sub(now)),
            })
            .collect()
    }

    fn given_status(&self, now: model::Time) -> Vec<GivenStatus> {
        self.issued_grants
            .grants()
            .iter()
            .map(|((holder, work), given)| GivenStatus {
                holder: holder.clone(),
                work: work.clone(),
                slots: f64::from(given.milli_slots) / 1000.0,
                in_use: given.in_use,
                bytes_per_s: given.bytes_per_s,
                expires_in: given.expires.saturating_sub(now),
            })
            .collect()
    }

    fn drain_status(&self) -> collections::BTreeMap<String, DrainStatus> {
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
