//! What a starting host asks before it is ready.

use rand::{Rng, seq::IteratorRandom};

use super::{backoff, call, message, platform, state, timing};
use crate::model;

/// A peer's word of its version.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAnswer {
    pub version: model::Version,
    pub at: model::Time,
}

/// Progress of a start.
#[derive(Clone, Debug)]
pub(super) struct Start {
    done: bool,
    began: model::Time,
    next_get: model::Time,
    backoff: backoff::Backoff,
    platform_asked: bool,
    next_pull: model::Time,
    peer_answer: Option<PeerAnswer>,
}

impl Start {
    pub(super) fn new(rng: &mut impl Rng, now: model::Time) -> Start {
        Start {
            done: false,
            began: now,
            next_get: now + timing::START_JITTER.mul_f64(rng.random()),
            backoff: backoff::Backoff::default(),
            platform_asked: false,
            next_pull: now,
            peer_answer: None,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.done
    }

    pub(super) fn on_peer(&mut self, answer: PeerAnswer) {
        let better = self
            .peer_answer
            .is_none_or(|known| answer.version > known.version);
        if better {
            self.peer_answer = Some(answer);
        }
    }
}

impl state::Follower {
    /// Asks peers and platform, and ends the start when both were asked.
    pub(super) fn start(&mut self, now: model::Time) {
        if self.start.done {
            return;
        }
        self.ask_peers(now);
        self.ask_platform(now);
        if self.heard_peers(now) && self.start.platform_asked && self.current.is_some() {
            self.start.done = true;
            self.actions.push(state::Action::Ready);
        }
    }

    /// Whether a peer answered and its version is in force, or none answered in time.
    fn heard_peers(&self, now: model::Time) -> bool {
        let timed_out = now >= self.start.began + timing::START_PEER_TIMEOUT;
        match self.start.peer_answer {
            Some(answer) if answer.version <= self.version() => true,
            Some(answer) => now >= answer.at + timing::START_PEER_TIMEOUT,
            None => timed_out,
        }
    }

    fn ask_peers(&mut self, now: model::Time) {
        if now < self.start.next_pull || self.peers.is_empty() {
            return;
        }
        self.start.next_pull = now + timing::START_PULL_INTERVAL;
        let local = self
            .peers
            .iter()
            .any(|p| p.data_centre == self.me.data_centre);
        let asked = self
            .peers
            .iter()
            .filter(|p| !local || p.data_centre == self.me.data_centre)
            .map(|p| p.peer_address)
            .choose_multiple(&mut self.rng, timing::START_PULL_DEGREE);
        let have = self.version();
        for to in asked {
            self.send(to, message::Body::Pull { have });
        }
    }

    fn ask_platform(&mut self, now: model::Time) {
        let busy = self.platform.is_outstanding(platform::Purpose::Start);
        let needed = !self.start.platform_asked || self.current.is_none();
        if needed && !busy && now >= self.start.next_get {
            self.call(platform::Purpose::Start, call::Request::Get, now);
        }
    }

    pub(super) fn on_start_answer(&mut self, answer: &call::Response, now: model::Time) {
        self.start.platform_asked = true;
        if !matches!(answer, call::Response::Object { .. }) {
            let pause = self.start.backoff.fail(&mut self.rng);
            self.start.next_get = now + pause;
        }
    }
}
