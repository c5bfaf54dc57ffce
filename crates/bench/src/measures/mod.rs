//! The measures.

mod added_latency;
mod cold_start;
mod compare;
mod config;
mod control_cost;
mod drain;
mod drain_shift;
mod floods;
mod headroom;
mod hosts;
mod links;
mod lookup;
mod membership;
mod outcomes;
mod overload;
mod patch;
mod placement;
mod quota;
mod region_loss;
mod shift;

use crate::figure;

/// A measure: a name, what it measures, and the function that runs it with a seed.
pub struct Measure {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(u64) -> Vec<figure::Figure>,
}

impl Measure {
    /// Whether the figures depend on what else the machine does.
    pub fn is_wall_clock(&self) -> bool {
        self.about.contains("wall clock")
    }
}

/// All measures.
pub const ALL: &[Measure] = &[
    hosts::MEASURE,
    added_latency::MEASURE,
    outcomes::MEASURE,
    membership::MEASURE,
    config::MEASURE,
    lookup::MEASURE,
    control_cost::MEASURE,
    patch::MEASURE,
    floods::LOW,
    floods::URGENT,
    shift::MEASURE,
    overload::MEASURE,
    region_loss::MEASURE,
    links::MEASURE,
    drain_shift::MEASURE,
    cold_start::MEASURE,
    drain::MEASURE,
    headroom::MEASURE,
    placement::MEASURE,
    quota::MEASURE,
];
