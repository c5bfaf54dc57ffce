//! Start of a host: it reads the configuration from peers and platform before it is ready.

use rand::{Rng, seq::IteratorRandom};

use super::{backoff, call, message, platform, state, timing};
use crate::model;

/// Version that a peer reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerReply {
    pub version: model::Version,
    pub at: model::Time,
}

/// Progress of the start of a host.
#[derive(Clone, Debug)]
pub(super) struct Start {
    done: bool,
    started_at: model::Time,
    next_get: model::Time,
    backoff: backoff::Backoff,
    platform_read: bool,
    next_pull: model::Time,
    peer_reply: Option<PeerReply>,
}

impl Start {
    pub(super) fn new(rng: &mut impl Rng, now: model::Time) -> Start {
        Start {
            done: false,
            started_at: now,
            next_get: now + timing::MAX_START_DELAY.mul_f64(rng.random()),
            backoff: backoff::Backoff::default(),
            platform_read: false,
            next_pull: now,
            peer_reply: None,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.done
    }

    pub(super) fn on_peer(&mut self, reply: PeerReply) {
        let better = self
            .peer_reply
            .is_none_or(|known| reply.version > known.version);
        if better {
            self.peer_reply = Some(reply);
        }
    }
}

impl state::Follower {
    /// Pulls from peers and reads the platform; ends the start when both are done and a
    /// configuration is in force.
    pub(super) fn advance_start(&mut self, now: model::Time) {
        if self.start.done {
            return;
        }
        self.pull_from_peers(now);
        self.read_platform(now);
        if self.are_peers_checked(now) && self.start.platform_read && self.current.is_some() {
            self.start.done = true;
            self.actions.push(state::Action::Ready);
        }
    }

    /// Whether a peer replied and its version is in force, or the time to wait for it is over.
    fn are_peers_checked(&self, now: model::Time) -> bool {
        let timed_out = now >= self.start.started_at + timing::START_PEER_TIMEOUT;
        match self.start.peer_reply {
            Some(reply) if reply.version <= self.version() => true,
            Some(reply) => now >= reply.at + timing::START_PEER_TIMEOUT,
            None => timed_out,
        }
    }

    fn pull_from_peers(&mut self, now: model::Time) {
        if now < self.start.next_pull || self.peers.is_empty() {
            return;
        }
        self.start.next_pull = now + timing::START_PULL_INTERVAL;
        let local = self
            .peers
            .iter()
            .any(|p| p.data_centre == self.identity.data_centre);
        let asked = self
            .peers
            .iter()
            .filter(|p| !local || p.data_centre == self.identity.data_centre)
            .map(|p| p.peer_address)
            .choose_multiple(&mut self.rng, timing::START_PULL_COUNT);
        let have = self.version();
        for to in asked {
            self.send(to, message::Body::Pull { have });
        }
    }

    fn read_platform(&mut self, now: model::Time) {
        let busy = self.platform.is_outstanding(platform::Purpose::Start);
        let needed = !self.start.platform_read || self.current.is_none();
        if needed && !busy && now >= self.start.next_get {
            self.call(platform::Purpose::Start, call::Request::Get, now);
        }
    }

    pub(super) fn on_start_response(&mut self, response: &call::Response, now: model::Time) {
        self.start.platform_read = true;
        if !matches!(response, call::Response::Object { .. }) {
            let pause = self.start.backoff.fail(&mut self.rng);
            self.start.next_get = now + pause;
        }
    }
}
