//! Alignment of shares between the hosts of a data centre.
//!
//! A caller that changes its entry host should get the same routing decision.  Within the shift
//! cap, each host therefore follows the shares of hosts of its data centre with smaller names.

use std::{collections, time};

use super::{flow, message};
use crate::{model, shift};

/// Age above which the shares reported by another host are no longer followed.
const MAX_AGE: time::Duration = time::Duration::from_secs(30);

/// Shares of other hosts to follow, by flow.
#[derive(Clone, Debug, Default)]
pub struct Alignment {
    followed: collections::BTreeMap<flow::FlowKey, FollowedShares>,
}

#[derive(Clone, Debug)]
struct FollowedShares {
    host: model::HostId,
    shares: shift::Shares,
    received: model::Time,
}

impl Alignment {
    /// Records shares reported by a host of this data centre.  Of several reporters, the one with
    /// the smallest name is followed.
    pub fn on_shares(
        &mut self,
        own_host: &str,
        host: &str,
        reported: message::FlowShares,
        now: model::Time,
    ) {
        let key = (reported.work, reported.origin);
        let current = self
            .followed
            .get(&key)
            .filter(|shares| is_fresh(shares, now));
        let takes_precedence = current.is_none_or(|shares| host <= shares.host.as_str());
        if host < own_host && takes_precedence && reported.shares.is_valid() {
            let followed = FollowedShares {
                host: host.to_string(),
                shares: reported.shares,
                received: now,
            };
            self.followed.insert(key, followed);
        }
    }

    /// Shares to follow for a flow, if there are fresh ones.
    pub fn followed_shares(&self, key: &flow::FlowKey, now: model::Time) -> Option<&shift::Shares> {
        let followed = self
            .followed
            .get(key)
            .filter(|shares| is_fresh(shares, now))?;
        Some(&followed.shares)
    }
}

fn is_fresh(followed: &FollowedShares, now: model::Time) -> bool {
    now.saturating_sub(followed.received) <= MAX_AGE
}
