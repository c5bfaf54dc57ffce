//! Checks of the numbers in messages of other hosts.

use super::{messages, signal_book, store_revision, store_view};
use crate::{numbers, quota};

/// Largest number of slots that a message may name as demand.
const MAX_SLOTS: f64 = u32::MAX as f64;

/// Largest era and revision of the store that a message may name, the largest integer that all readers
/// of JSON hold exactly.  No later position would be newer than one at the end of the type.
const MAX_POSITION: u64 = 1 << 53;

impl messages::Message {
    /// Drops the parts whose numbers lie outside the bounds of what calculates with them, and returns
    /// how many these were.  The others hold.
    pub fn drop_unusable(&mut self) -> usize {
        match self {
            messages::Message::Heartbeat(heartbeat) => {
                retain(&mut heartbeat.in_flight, |(_, count)| {
                    *count <= numbers::MAX_REQUESTS
                }) + retain(&mut heartbeat.loads, is_usable_load)
                    + retain(&mut heartbeat.shares, is_usable_share)
                    + retain(&mut heartbeat.limits, is_usable_limit)
                    + drop_positions(&mut heartbeat.store, &mut heartbeat.store_checks)
            }
            messages::Message::Summary { summary, .. } => {
                retain(&mut summary.loads, is_usable_load)
                    + retain(&mut summary.shares, is_usable_share)
                    + retain(&mut summary.limits, is_usable_limit)
                    + drop_positions(&mut summary.store, &mut Default::default())
            }
            messages::Message::StoreReport { progress, checks } => drop_positions(progress, checks),
            messages::Message::Quota(quota::Message::Grant(grant)) => {
                retain(&mut grant.granted, is_usable_grant)
            }
            // What can't be granted of it is answered so.
            messages::Message::Quota(quota::Message::Ask(_))
            | messages::Message::Introduction(_)
            | messages::Message::Contacts(_) => 0,
        }
    }
}

fn retain<T>(parts: &mut Vec<T>, is_usable: impl Fn(&T) -> bool) -> usize {
    let all = parts.len();
    parts.retain(is_usable);
    all - parts.len()
}

/// Drops positions of the store that are out of bounds; with the era all that belongs to it.
fn drop_positions(
    progress: &mut store_revision::StoreProgress,
    checks: &mut store_view::StoreChecks,
) -> usize {
    if progress.era > MAX_POSITION {
        *progress = store_revision::StoreProgress::default();
        *checks = store_view::StoreChecks::default();
        return 1;
    }
    let all = progress.revisions.len() + checks.read.len();
    progress.revisions.retain(|_, at| *at <= MAX_POSITION);
    checks.read.retain(|_, at| *at <= MAX_POSITION);
    all - progress.revisions.len() - checks.read.len()
}

fn is_usable_load(load: &messages::Load) -> bool {
    (0.0..=MAX_SLOTS).contains(&load.slots)
}

/// Shares of which none is above zero can't be scaled to a sum of one.
fn is_usable_share(shares: &messages::LookupShares) -> bool {
    shares.shares.iter().any(|(_, share)| *share > 0)
}

fn is_usable_limit(news: &signal_book::SignalNews<f64>) -> bool {
    news.value
        .is_none_or(|limit| limit.is_finite() && limit >= 0.0)
}

fn is_usable_grant(granted: &quota::Granted) -> bool {
    let is_pause_usable = match granted.rest {
        quota::Rest::NoneFor(pause) => pause <= numbers::MAX_DURATION,
        quota::Rest::Some | quota::Rest::NothingHeld => true,
    };
    is_pause_usable && granted.tokens.is_finite() && granted.tokens >= 0.0
}
