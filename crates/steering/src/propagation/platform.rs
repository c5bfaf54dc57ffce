//! Calls of the platform: the watch, reads on behalf of others, and what an old copy there means.

use std::{collections, sync};

use rand::Rng;

use super::{backoff, call, state, submit, timing};
use crate::{config, model};

/// Why a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Start,
    Watch,
    Restore,
    Submission(submit::SubmissionId),
}

#[derive(Clone, Debug)]
struct Outstanding {
    purpose: Purpose,
    expires: model::Time,
}

/// What is known of the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Platform {
    next_call: call::CallId,
    outstanding: collections::BTreeMap<call::CallId, Outstanding>,
    /// Latest revision seen, with the version that it holds.
    pub seen: Option<(call::Revision, model::Version)>,
    backoff: backoff::Backoff,
    next_watch: model::Time,
    next_audit: Option<model::Time>,
    /// Whether a read is wanted because a peer has another document of the same version.
    doubtful: bool,
}

impl Platform {
    pub(super) fn is_outstanding(&self, purpose: Purpose) -> bool {
        self.outstanding.values().any(|o| o.purpose == purpose)
    }
}

impl state::Follower {
    pub(super) fn call(&mut self, purpose: Purpose, request: call::Request, now: model::Time) {
        let timeout = match request {
            call::Request::Watch { .. } => timing::WATCH_TIMEOUT,
            _ => timing::CALL_TIMEOUT,
        };
        self.platform.next_call += 1;
        let call = self.platform.next_call;
        let expires = now + timeout;
        let outstanding = Outstanding { purpose, expires };
        self.platform.outstanding.insert(call, outstanding);
        self.actions.push(state::Action::Platform { call, request });
    }

    /// Takes calls without an answer in time as lost.
    pub(super) fn expire_calls(&mut self, now: model::Time) {
        let expired = self
            .platform
            .outstanding
            .iter()
            .filter(|(_, o)| now >= o.expires)
            .map(|(call, _)| *call)
            .collect::<Vec<_>>();
        for call in expired {
            self.handle_answer(call, call::Response::Lost, now);
        }
    }

    /// Keeps a watch open while this host watches for its data centre.
    pub(super) fn watch(&mut self, now: model::Time) {
        let busy = self.platform.is_outstanding(Purpose::Watch)
            || self.platform.is_outstanding(Purpose::Start);
        // Until it is ready, a host may know too few others to tell who watches.
        let wanted = self.start.is_done() && (self.watcher || self.platform.doubtful);
        if !wanted || busy || now < self.platform.next_watch {
            return;
        }
        let audit = *self
            .platform
            .next_audit
            .get_or_insert(now + timing::AUDIT_INTERVAL);
        let request = match self.platform.seen {
            Some((after, _)) if !self.platform.doubtful && now < audit => {
                call::Request::Watch { after }
            }
            _ => call::Request::Get,
        };
        if request == call::Request::Get {
            self.platform.next_audit = Some(now + timing::AUDIT_INTERVAL);
            self.platform.doubtful = false;
        }
        self.call(Purpose::Watch, request, now);
    }

    pub(super) fn handle_answer(
        &mut self,
        call: call::CallId,
        answer: call::Response,
        now: model::Time,
    ) {
        // A late answer still tells what the platform holds.
        let purpose = self.platform.outstanding.remove(&call).map(|o| o.purpose);
        match &answer {
            call::Response::Object { revision, stored } => {
                self.on_object(*revision, stored.clone(), now)
            }
            call::Response::Missing => self.on_missing(now),
            _ => {}
        }
        let Some(purpose) = purpose else {
            return;
        };
        self.pace(&answer, now);
        match purpose {
            Purpose::Start => self.on_start_answer(&answer, now),
            Purpose::Submission(id) => self.on_submission_answer(id, answer, now),
            Purpose::Restore => self.on_restore_answer(&answer),
            Purpose::Watch => {}
        }
    }

    /// Wants a read, after a random delay, because a peer's document contradicts the one in force.
    pub(super) fn doubt(&mut self, now: model::Time) {
        if !self.platform.doubtful {
            self.platform.doubtful = true;
            let delay = timing::DOUBT_JITTER.mul_f64(self.rng.random());
            self.platform.next_watch = self.platform.next_watch.max(now + delay);
        }
    }

    /// Slows calls down after failures.
    fn pace(&mut self, answer: &call::Response, now: model::Time) {
        match answer {
            call::Response::Unavailable | call::Response::Lost | call::Response::Missing => {
                let pause = self.platform.backoff.fail(&mut self.rng);
                self.platform.next_watch = now + pause;
                self.notice(state::Notice::PlatformFailed);
            }
            _ => self.platform.backoff.reset(),
        }
    }

    fn on_object(
        &mut self,
        revision: call::Revision,
        stored: sync::Arc<config::StoredConfig>,
        now: model::Time,
    ) {
        if stored.document.deployment != self.me.deployment {
            self.notice(state::Notice::OtherDeployment);
            return;
        }
        let version = stored.document.version;
        self.platform.seen = Some((revision, version));
        match version.cmp(&self.version()) {
            std::cmp::Ordering::Greater => self.adopt(stored),
            std::cmp::Ordering::Equal => self.compare(stored),
            std::cmp::Ordering::Less => self.restore(Some(revision), version, now),
        }
    }

    /// Takes the platform's document where it differs from the one in force at the same version.
    fn compare(&mut self, stored: sync::Arc<config::StoredConfig>) {
        let hash = stored.document.hash();
        if self.current.as_ref().is_some_and(|c| c.hash != hash) {
            let version = stored.document.version;
            self.notice(state::Notice::Diverged { version });
            self.put_in_force(stored);
            self.spread(version);
        }
    }

    fn on_missing(&mut self, now: model::Time) {
        self.platform.seen = None;
        if self.current.is_some() {
            self.restore(None, 0, now);
        }
    }

    /// Writes the document in force back to a platform that holds an older one.
    fn restore(
        &mut self,
        revision: Option<call::Revision>,
        stored: model::Version,
        now: model::Time,
    ) {
        let Some(current) = self.current.clone() else {
            return;
        };
        let behind = state::Notice::StoreBehind {
            stored,
            current: current.version(),
        };
        self.notice(behind);
        if self.watcher && !self.platform.is_outstanding(Purpose::Restore) {
            let request = call::Request::PutIf {
                revision,
                stored: current.stored,
            };
            self.call(Purpose::Restore, request, now);
        }
    }

    fn on_restore_answer(&mut self, answer: &call::Response) {
        // The next read shows what the platform holds now.
        self.platform.seen = None;
        if let call::Response::Written { revision } = answer {
            self.platform.seen = Some((*revision, self.version()));
        }
    }
}
