//! Propagation of a new version to other hosts.

use rand::seq::IteratorRandom;

use super::{message, state, timing};
use crate::model;

impl state::Follower {
    /// Propagates the version in force: sends the changes to a few hosts of the data centre and to
    /// its watchers. A watcher also announces the version to the watchers of other data centres.
    pub(super) fn propagate(&mut self, base: model::Version) {
        let body = self.changes_since(base).unwrap_or(message::Body::Announce);
        let own = &self.identity.data_centre;
        let random = self
            .peers
            .iter()
            .filter(|p| p.data_centre == *own && !p.watcher)
            .map(|p| p.peer_address)
            .choose_multiple(&mut self.rng, timing::PUSH_TARGET_COUNT);
        let watchers = self
            .peers
            .iter()
            .filter(|p| p.data_centre == *own && p.watcher)
            .map(|p| p.peer_address);
        let local = random.into_iter().chain(watchers).collect::<Vec<_>>();
        for to in local {
            self.send(to, body.clone());
        }
        if self.watcher {
            self.announce_to_other_data_centres();
        }
    }

    fn announce_to_other_data_centres(&mut self) {
        let others = self
            .peers
            .iter()
            .filter(|p| p.watcher && p.data_centre != self.identity.data_centre)
            .map(|p| p.peer_address)
            .collect::<Vec<_>>();
        for to in others {
            self.send(to, message::Body::Announce);
        }
    }
}
