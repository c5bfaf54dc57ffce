//! Sliding window shared by ranks.

use super::window;
use crate::model;

/// Maximum share of the limit that each rank may use together with the lower ranks, the most
/// urgent rank first.
const RANK_LIMIT_SHARES: [f64; 3] = [1.0, 0.9, 0.8];

/// Bytes sent over a sliding window, with capacity reserved for what higher ranks requested in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankedWindow {
    /// Bytes that each rank sent.
    sent: [window::Window; 3],
    /// Bytes that each rank requested to send, whether or not they fitted.
    requested: [window::Window; 3],
}

impl RankedWindow {
    /// Adds bytes of a rank if the window stays within the limit for that rank.
    pub fn try_add(
        &mut self,
        bytes: u64,
        rank: model::Rank,
        limit_bytes: u64,
        now: model::Time,
    ) -> bool {
        let i = rank.index();
        self.requested[i].add(bytes, now);
        let rank_limit = (limit_bytes as f64 * RANK_LIMIT_SHARES[i]) as u64;
        let higher_requested = total(&mut self.requested[..i], now);
        let lower_sent = total(&mut self.sent[i..], now);
        let total_sent = total(&mut self.sent, now);
        let fits = total_sent + bytes <= limit_bytes
            && lower_sent + bytes <= rank_limit.saturating_sub(higher_requested);
        if fits {
            self.sent[i].add(bytes, now);
        }
        fits
    }

    /// Adds bytes that were sent in addition to those that [`RankedWindow::try_add`] accepted, also
    /// if they exceed the limit.
    pub fn add(&mut self, bytes: u64, rank: model::Rank, now: model::Time) {
        self.sent[rank.index()].add(bytes, now);
    }
}

fn total(windows: &mut [window::Window], now: model::Time) -> u64 {
    windows.iter_mut().map(|w| w.total(now)).sum()
}
