//! Order in which kinds of work compete for the next free slot.

use crate::model;

/// Basis on which a kind of work claims a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClaimBasis {
    /// Its guaranteed share, which is not used up.
    Guaranteed,
    /// Its rank, as its guaranteed share is used up.
    Ranked,
}

/// A kind of work with waiting requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Contender<T> {
    /// Identifier of the work, passed through unchanged.
    pub work: T,
    /// Basis on which it claims a slot.
    pub claim: ClaimBasis,
    /// Its rank.
    pub rank: model::Rank,
    /// Slots in use, divided by its weight.
    pub slots_per_weight: f64,
}

/// Sorts contenders: guaranteed claims first, then by rank, then by slots per weight, ascending.
pub fn sort_contenders<T>(mut contenders: Vec<Contender<T>>) -> Vec<Contender<T>> {
    contenders.sort_by(|a, b| {
        (a.claim, a.rank)
            .cmp(&(b.claim, b.rank))
            .then(a.slots_per_weight.total_cmp(&b.slots_per_weight))
    });
    contenders
}
