//! Recognition of batches that arrive twice.

use std::collections;

use yuccatide_steering::model;

/// Sequence numbers below the highest one that are still told apart.
const WINDOW: u64 = 128;

/// Senders that are remembered.
const MAX_SENDERS: usize = 4096;

/// Sequence numbers seen from each sender.
#[derive(Debug, Default)]
pub struct Replay {
    senders: collections::HashMap<model::HostId, Seen>,
}

#[derive(Debug)]
struct Seen {
    incarnation: model::Incarnation,
    highest: u64,
    /// Bit `i` stands for `highest - i`.
    bits: u128,
}

impl Replay {
    /// A memory without senders.
    pub fn new() -> Replay {
        Replay::default()
    }

    /// Whether a batch is new.  Batches of an older process of the sender are not.
    pub fn is_new(&mut self, from: &str, incarnation: model::Incarnation, sequence: u64) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(from) {
            self.senders.clear();
        }
        let seen = self.senders.entry(from.to_string()).or_insert(Seen {
            incarnation,
            highest: 0,
            bits: 0,
        });
        if incarnation < seen.incarnation {
            return false;
        }
        if incarnation > seen.incarnation {
            *seen = Seen {
                incarnation,
                highest: 0,
                bits: 0,
            };
        }
        seen.insert(sequence)
    }
}

impl Seen {
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.bits = if ahead >= WINDOW {
                0
            } else {
                self.bits << ahead
            };
            self.bits |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.bits & (1 << behind) != 0 {
            return false;
        }
        self.bits |= 1 << behind;
        true
    }
}
