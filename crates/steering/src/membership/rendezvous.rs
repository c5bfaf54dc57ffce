//! Rendezvous hashing.

use xxhash_rust::xxh3;

/// Hash of a candidate's name, as [`score`] takes it.
pub fn candidate_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Rendezvous score of a candidate for a key; the candidate with the largest score owns the key.
pub fn score(key: u64, candidate: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Weighted rendezvous score of a candidate for a key: `-weight / ln(u)` with `u` in (0, 1).
///
/// With equal weights the order is that of [`score`].
pub fn weighted_score(key: u64, candidate: u64, weight: u16) -> f64 {
    let hash = score(key, candidate);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}

/// The `count` candidates with the largest scores for a key, the largest first.
pub fn top_candidates<T, S: PartialOrd>(
    candidates: impl Iterator<Item = T>,
    count: usize,
    score: impl Fn(&T) -> S,
) -> Vec<T> {
    let mut best: Vec<(S, T)> = Vec::with_capacity(count + 1);
    for candidate in candidates {
        let value = score(&candidate);
        let at = best.partition_point(|(other, _)| *other >= value);
        if at < count {
            best.insert(at, (value, candidate));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, candidate)| candidate).collect()
}
