//! Bounded table of idempotency keys.

use std::collections;

use sha2::Digest as _;

use super::limits;
use crate::model;

/// First half of the SHA-256 of a key's text; used in place of the key to save memory.
type Digest = u128;

/// Expiry of a record before [`KeyTable::set_expiry`] is called.
const NO_EXPIRY_MS: u64 = u64::MAX;

/// Result of looking up a key.
#[derive(Debug)]
pub(super) enum FindResult<'a, T> {
    /// The key has a record.
    Record(&'a mut T),
    /// The key was refused for this reason, permanently.
    Refused(model::NotRunReason),
    /// The key has no record or refusal; its mint time is at or before the horizon, so one may have
    /// been evicted.
    Forgotten,
    /// The mint time is too far ahead of the clock.
    ClockAhead,
    /// The key has no record or refusal; its mint time is after the horizon, so none can have been
    /// evicted.
    Absent,
}

#[derive(Debug)]
struct Entry<T> {
    value: T,
    minted_unix_ms: u64,
    expires_at_ms: u64,
    bytes: u32,
}

#[derive(Debug)]
struct Refusal {
    minted_unix_ms: u64,
    reason: model::NotRunReason,
}

/// Records and refusals by key, bounded in number and bytes.
///
/// A record is evicted only after its retention.  Each eviction raises the horizon: an unseen key
/// with a mint time at or before it can't be distinguished from an evicted one.
#[derive(Debug)]
pub(super) struct KeyTable<T> {
    records: collections::BTreeMap<Digest, Entry<T>>,
    expiry: collections::BTreeSet<(u64, Digest)>,
    refusals: collections::BTreeMap<Digest, Refusal>,
    refusals_by_mint_time: collections::BTreeSet<(u64, Digest)>,
    horizon_unix_ms: u64,
    bytes: usize,
    limits: limits::Limits,
}

impl<T> KeyTable<T> {
    /// An empty table.
    pub(super) fn new(limits: limits::Limits) -> KeyTable<T> {
        KeyTable {
            records: collections::BTreeMap::new(),
            expiry: collections::BTreeSet::new(),
            refusals: collections::BTreeMap::new(),
            refusals_by_mint_time: collections::BTreeSet::new(),
            horizon_unix_ms: 0,
            bytes: 0,
            limits,
        }
    }

    /// Looks up a key.
    pub(super) fn find(
        &mut self,
        key: &model::IdempotencyKey,
        now: model::Time,
    ) -> FindResult<'_, T> {
        let digest = digest(key);
        if let Some(refusal) = self.refusals.get(&digest) {
            return FindResult::Refused(refusal.reason);
        }
        let ahead = key.minted_unix_ms > to_millis(now + self.limits.clock_lead);
        let behind = key.minted_unix_ms <= self.horizon_unix_ms;
        match self.records.get_mut(&digest) {
            Some(entry) => FindResult::Record(&mut entry.value),
            None if ahead => FindResult::ClockAhead,
            None if behind => FindResult::Forgotten,
            None => FindResult::Absent,
        }
    }

    /// Mutable record of a key.
    pub(super) fn get_mut(&mut self, key: &model::IdempotencyKey) -> Option<&mut T> {
        let entry = self.records.get_mut(&digest(key));
        entry.map(|entry| &mut entry.value)
    }

    /// Record of a key.
    pub(super) fn get(&self, key: &model::IdempotencyKey) -> Option<&T> {
        let entry = self.records.get(&digest(key));
        entry.map(|entry| &entry.value)
    }

    /// Whether the maximum number of records is reached.
    pub(super) fn is_full(&self) -> bool {
        self.records.len() >= self.limits.keys
    }

    /// Adds a record that does not expire until [`KeyTable::set_expiry`] is called.
    pub(super) fn insert(&mut self, key: &model::IdempotencyKey, value: T) {
        let entry = Entry {
            value,
            minted_unix_ms: key.minted_unix_ms,
            expires_at_ms: NO_EXPIRY_MS,
            bytes: 0,
        };
        self.records.insert(digest(key), entry);
    }

    /// Sets the time after which a record may be evicted.
    pub(super) fn set_expiry(&mut self, key: &model::IdempotencyKey, until: model::Time) {
        let digest = digest(key);
        if let Some(entry) = self.records.get_mut(&digest) {
            self.expiry.remove(&(entry.expires_at_ms, digest));
            entry.expires_at_ms = to_millis(until) + 1;
            self.expiry.insert((entry.expires_at_ms, digest));
        }
    }

    /// Reserves memory for the result of a record; returns false if a limit would be exceeded.
    pub(super) fn reserve_bytes(&mut self, key: &model::IdempotencyKey, bytes: usize) -> bool {
        let fits = bytes <= self.limits.result_bytes_each
            && self.bytes + bytes <= self.limits.result_bytes;
        let Some(entry) = self.records.get_mut(&digest(key)) else {
            return false;
        };
        match u32::try_from(bytes) {
            Ok(new) if fits => {
                self.bytes = self.bytes - entry.bytes as usize + bytes;
                entry.bytes = new;
                true
            }
            _ => false,
        }
    }

    /// Replaces the record of a key, if any, with a refusal.
    pub(super) fn refuse(&mut self, key: &model::IdempotencyKey, reason: model::NotRunReason) {
        let digest = digest(key);
        let minted_unix_ms = key.minted_unix_ms;
        self.remove(digest);
        self.refusals_by_mint_time.insert((minted_unix_ms, digest));
        let refusal = Refusal {
            minted_unix_ms,
            reason,
        };
        self.refusals.insert(digest, refusal);
        while self.refusals.len() > self.limits.refusals {
            self.evict_oldest_refusal();
        }
    }

    /// Evicts records past their expiry and refusals with a mint time before the retention; returns
    /// true if any record was evicted.
    pub(super) fn expire(&mut self, now: model::Time) -> bool {
        let before = self.records.len();
        while let Some((until, digest)) = self.expiry.first().copied()
            && until < to_millis(now)
        {
            if let Some(entry) = self.remove(digest) {
                self.raise_horizon(entry.minted_unix_ms);
            }
        }
        let oldest = to_millis(now.saturating_sub(self.limits.refusal_retention));
        while let Some((minted, _)) = self.refusals_by_mint_time.first()
            && *minted < oldest
        {
            self.evict_oldest_refusal();
        }
        self.records.len() < before
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of refusals.
    pub(super) fn refusal_count(&self) -> usize {
        self.refusals.len()
    }

    /// Total size of the stored results, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Mint time up to which keys may have been evicted, in milliseconds since the Unix epoch.
    pub(super) fn horizon_unix_ms(&self) -> u64 {
        self.horizon_unix_ms
    }

    fn remove(&mut self, digest: Digest) -> Option<Entry<T>> {
        let entry = self.records.remove(&digest)?;
        self.bytes -= entry.bytes as usize;
        self.expiry.remove(&(entry.expires_at_ms, digest));
        Some(entry)
    }

    fn evict_oldest_refusal(&mut self) {
        if let Some((_, digest)) = self.refusals_by_mint_time.pop_first()
            && let Some(refusal) = self.refusals.remove(&digest)
        {
            self.raise_horizon(refusal.minted_unix_ms);
        }
    }

    fn raise_horizon(&mut self, minted_unix_ms: u64) {
        self.horizon_unix_ms = self.horizon_unix_ms.max(minted_unix_ms);
    }
}

fn digest(key: &model::IdempotencyKey) -> Digest {
    let hash = sha2::Sha256::digest(key.to_string());
    let half = hash.first_chunk().expect("a SHA-256 has 32 bytes");
    Digest::from_be_bytes(*half)
}

fn to_millis(time: model::Time) -> u64 {
    time.as_millis() as u64
}
