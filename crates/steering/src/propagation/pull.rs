//! Exchange of configurations between hosts.

use std::{net, sync};

use super::{message, start, state, timing};
use crate::{config, model};

/// A pull that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    version: model::Version,
    expires: model::Time,
}

impl state::Follower {
    pub(super) fn expire_pull(&mut self, now: model::Time) {
        let version = self.version();
        self.pull = self
            .pull
            .take()
            .filter(|p| now < p.expires && p.version > version);
    }

    /// Pulls from a host that reported a higher version, unless a pull for it is pending.
    pub(super) fn pull_from(
        &mut self,
        to: net::SocketAddr,
        version: model::Version,
        now: model::Time,
    ) {
        self.expire_pull(now);
        let is_pending = self.pull.as_ref().is_some_and(|p| p.version >= version);
        if version <= self.version() || is_pending {
            return;
        }
        let expires = now + timing::PULL_TIMEOUT;
        self.pull = Some(Pull { version, expires });
        let have = self.version();
        self.send(to, message::Body::Pull { have });
    }

    pub(super) fn handle_message(&mut self, message: message::Message, now: model::Time) {
        let from = message.peer_address;
        match message.body {
            message::Body::Announce => {}
            message::Body::Pull { have } => return self.on_pull(from, have),
            message::Body::Changes {
                base,
                changes,
                hash,
            } => self.on_changes(&message.sender, base, changes, hash, now),
            message::Body::Whole { stored } => self.adopt(stored),
        }
        self.record_peer_version(message.version, now);
        self.pull_from(from, message.version, now);
        self.compare_fingerprint(message.version, message.fingerprint, now);
    }

    fn on_pull(&mut self, from: net::SocketAddr, have: model::Version) {
        let body = match &self.current {
            Some(current) if current.version() > have => {
                self.changes_since(have)
                    .unwrap_or_else(|| message::Body::Whole {
                        stored: current.stored.clone(),
                    })
            }
            _ => message::Body::Announce,
        };
        self.send(from, body);
    }

    /// The changes since a version, if all of them are kept and they fit a push.
    pub(super) fn changes_since(&self, base: model::Version) -> Option<message::Body> {
        let current = self.current.as_ref()?;
        let missing = current.version().checked_sub(base)? as usize;
        let kept = &current.stored.changes;
        if base == 0 || missing == 0 || missing > kept.len() {
            return None;
        }
        let changes = kept[kept.len() - missing..].to_vec();
        let bytes = serde_json::to_vec(&changes).map_or(usize::MAX, |json| json.len());
        (bytes <= timing::MAX_PUSH_BYTES).then_some(message::Body::Changes {
            base,
            changes,
            hash: current.hash,
        })
    }

    fn on_changes(
        &mut self,
        sender: &str,
        base: model::Version,
        changes: Vec<config::Change>,
        hash: [u8; 32],
        now: model::Time,
    ) {
        let Some(current) = &self.current else {
            return;
        };
        let version = current.version();
        if base > version {
            return;
        }
        let mut stored = config::StoredConfig::clone(&current.stored);
        for change in changes.into_iter().filter(|c| c.version > version) {
            match stored.with_change(change) {
                Ok(next) => stored = next,
                Err(_) => return self.reject_changes(sender, now),
            }
        }
        if stored.document.version == version {
            return;
        }
        if stored.document.hash() != hash {
            return self.reject_changes(sender, now);
        }
        self.adopt(sync::Arc::new(stored));
    }

    /// Drops changes that do not fit the document in force, and schedules a read of the platform,
    /// whose document is authoritative.
    fn reject_changes(&mut self, sender: &str, now: model::Time) {
        self.schedule_check(now);
        self.notice(state::Notice::HashMismatch {
            host: sender.to_string(),
        });
    }

    fn compare_fingerprint(&mut self, version: model::Version, fingerprint: u64, now: model::Time) {
        let differs = self
            .current
            .as_ref()
            .is_some_and(|c| c.version() == version && c.fingerprint() != fingerprint);
        if differs {
            self.schedule_check(now);
        }
    }

    pub(super) fn send(&mut self, to: net::SocketAddr, body: message::Body) {
        let message = message::Message {
            deployment: self.deployment,
            sender: self.identity.host.clone(),
            peer_address: self.identity.peer_address,
            version: self.version(),
            fingerprint: self.current.as_ref().map_or(0, state::Current::fingerprint),
            body,
        };
        self.actions.push(state::Action::Send { to, message });
    }

    fn record_peer_version(&mut self, version: model::Version, now: model::Time) {
        if !self.start.is_done() {
            self.start.on_peer(start::PeerReply { version, at: now });
        }
    }
}
