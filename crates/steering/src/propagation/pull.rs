//! What hosts pass to each other.

use std::{net, sync};

use super::{message, start, state, timing};
use crate::{config, model};

/// A pull without an answer so far.
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

    /// Asks a host that told a higher version, unless an answer is on its way.
    pub(super) fn pull_from(
        &mut self,
        to: net::SocketAddr,
        version: model::Version,
        now: model::Time,
    ) {
        self.expire_pull(now);
        let asked = self.pull.as_ref().is_some_and(|p| p.version >= version);
        if version <= self.version() || asked {
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
        self.on_peer_told(message.version, now);
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

    /// The changes since a version, if they are kept and small.
    pub(super) fn changes_since(&self, base: model::Version) -> Option<message::Body> {
        let current = self.current.as_ref()?;
        let missing = current.version().checked_sub(base)? as usize;
        let kept = &current.stored.changes;
        if base == 0 || missing == 0 || missing > kept.len() {
            return None;
        }
        let changes = kept[kept.len() - missing..].to_vec();
        let bytes = serde_json::to_vec(&changes).map_or(usize::MAX, |json| json.len());
        (bytes <= timing::PUSH_BYTES).then_some(message::Body::Changes {
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
                Err(_) => return self.distrust(sender, now),
            }
        }
        if stored.document.version == version {
            return;
        }
        if stored.document.hash() != hash {
            return self.distrust(sender, now);
        }
        self.adopt(sync::Arc::new(stored));
    }

    /// Drops changes that do not fit the document in force; the platform decides.
    fn distrust(&mut self, sender: &str, now: model::Time) {
        self.doubt(now);
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
            self.doubt(now);
        }
    }

    pub(super) fn send(&mut self, to: net::SocketAddr, body: message::Body) {
        let message = message::Message {
            deployment: self.deployment,
            sender: self.me.host.clone(),
            peer_address: self.me.peer_address,
            version: self.version(),
            fingerprint: self.current.as_ref().map_or(0, state::Current::fingerprint),
            body,
        };
        self.actions.push(state::Action::Send { to, message });
    }

    fn on_peer_told(&mut self, version: model::Version, now: model::Time) {
        if !self.start.is_done() {
            self.start.on_peer(start::PeerAnswer { version, at: now });
        }
    }
}
