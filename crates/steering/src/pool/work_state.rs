//! State of a kind of work in a pool.

use std::{collections, time};

use crate::{admission, config, model, retry};

/// State of a kind of work.
#[derive(Clone, Debug)]
pub struct WorkState {
    /// Configuration.
    pub cfg: config::Work,
    /// Backend servers that the policy excludes.
    pub excluded_servers: collections::BTreeSet<model::ServerId>,
    /// Waiting requests.
    pub queue: admission::Queue,
    /// Slots in use: one per running attempt.
    pub in_use: u32,
    /// Account of the slots used against the guaranteed share.
    pub guarantee_account: admission::Guarantee,
    /// Demand in slots.
    pub demand: admission::Demand,
    /// Estimate of the service time.
    pub service_time: admission::ServiceTime,
    /// Budget for retries and hedged attempts.
    pub budget: retry::Budget,
}

impl WorkState {
    /// Creates the state of a kind of work without requests.
    pub fn new(
        cfg: config::Work,
        excluded_servers: collections::BTreeSet<model::ServerId>,
    ) -> WorkState {
        WorkState {
            cfg,
            excluded_servers,
            queue: admission::Queue::default(),
            in_use: 0,
            guarantee_account: admission::Guarantee::default(),
            demand: admission::Demand::default(),
            service_time: admission::ServiceTime::default(),
            budget: retry::Budget::default(),
        }
    }

    /// Guaranteed slots out of `usable_slots`.
    pub fn guaranteed_slots(&self, usable_slots: f64) -> f64 {
        self.cfg.guaranteed_share * usable_slots
    }

    /// Claim of the work to a slot out of `usable_slots`.
    pub fn claim(&self, usable_slots: f64) -> admission::ClaimBasis {
        let slots = self.guaranteed_slots(usable_slots);
        let service_s = self.service_time.mean_s();
        match self.guarantee_account.covers(slots, self.in_use, service_s) {
            true => admission::ClaimBasis::Guaranteed,
            false => admission::ClaimBasis::Ranked,
        }
    }

    /// Whether the work uses more than its guaranteed share of `usable_slots`, rounded up.
    pub fn exceeds_guarantee(&self, usable_slots: f64) -> bool {
        f64::from(self.in_use) > self.guaranteed_slots(usable_slots).ceil()
    }

    /// Slots to keep free for this work when `other` takes a slot beyond its guaranteed share.
    pub fn reserved_slots(&self, other: &config::Work, usable_slots: f64, now: model::Time) -> u32 {
        if self.cfg.rank > other.rank {
            return 0;
        }
        let likely_slots = self.demand.likely_slots(now);
        let needed_slots = match self.cfg.rank == other.rank {
            true => likely_slots.min(self.guaranteed_slots(usable_slots).floor() as u32),
            false => likely_slots,
        };
        needed_slots.saturating_sub(self.in_use)
    }

    /// Time by which a request has to start so that it is likely to end before its deadline.
    pub fn latest_start(&self, deadline: model::Time, now: model::Time) -> model::Time {
        // Limited to half of the time left: otherwise an estimate that is too large would refuse all
        // requests and never be corrected.
        let time_left = deadline.saturating_sub(now);
        deadline.saturating_sub(self.service_time.likely().min(time_left / 2))
    }

    /// Estimated time that a new request would wait in the queue, with `usable_slots` in all.
    pub fn queue_wait(&self, usable_slots: f64) -> time::Duration {
        let slots = self
            .guaranteed_slots(usable_slots)
            .max(f64::from(self.in_use))
            .max(0.1);
        let rounds = self.queue.len() as f64 / slots;
        time::Duration::from_secs_f64(rounds * self.service_time.mean_s())
    }
}
