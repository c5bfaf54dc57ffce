//! Max-min fair division of a limited amount between claims.

use crate::model;

/// A claim on a part of an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Rank; more urgent ranks are satisfied first.
    pub rank: model::Rank,
    /// Amount wanted.
    pub want: u64,
}

/// Divides an amount between claims by rank, and max-min fairly within a rank.
///
/// Returns a part for each claim, in the order of the claims.  The sum of the parts never exceeds
/// the amount.
pub fn divide(amount: u64, claims: &[Claim]) -> Vec<u64> {
    let mut order = (0..claims.len()).collect::<Vec<_>>();
    order.sort_by_key(|i| (claims[*i].rank, claims[*i].want, *i));
    let mut parts = vec![0; claims.len()];
    let mut remaining = amount;
    for group in order.chunk_by(|a, b| claims[*a].rank == claims[*b].rank) {
        for (served, i) in group.iter().enumerate() {
            let unserved = (group.len() - served) as u64;
            parts[*i] = claims[*i].want.min(remaining / unserved);
            remaining -= parts[*i];
        }
    }
    parts
}
