//! Order in which kinds of work get the next free slot.

use crate::model;

/// By what right a kind of work gets a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// Its guaranteed share is not used up.
    Guaranteed,
    /// Its rank, beyond its guaranteed share.
    Ranked,
}

/// A kind of work with waiting requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Contender<T> {
    /// What the caller knows it by.
    pub work: T,
    /// By what right it gets a slot.
    pub claim: Claim,
    /// Its rank.
    pub rank: model::Rank,
    /// Slots that it uses for each part of its weight.
    pub slots_per_weight: f64,
}

/// Sorts contenders: guaranteed shares first, then by rank, then the smallest use by weight.
pub fn sort_contenders<T>(mut contenders: Vec<Contender<T>>) -> Vec<Contender<T>> {
    contenders.sort_by(|a, b| {
        (a.claim, a.rank)
            .cmp(&(b.claim, b.rank))
            .then(a.slots_per_weight.total_cmp(&b.slots_per_weight))
    });
    contenders
}
