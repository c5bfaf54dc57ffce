//! Calls to the platform: watching it, checking it, and restoring a newer document to it.

use std::{collections, sync};

use rand::Rng;

use super::{backoff, call, state, submit, timing};
use crate::{config, model};

/// Purpose of a call.
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

/// State of the exchange with the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Platform {
    next_call: call::CallId,
    outstanding: collections::BTreeMap<call::CallId, Outstanding>,
    /// Latest revision seen, with the version that it holds.
    pub seen: Option<(call::Revision, model::Version)>,
    backoff: backoff::Backoff,
    next_watch: model::Time,
    next_audit: Option<model::Time>,
    /// Whether a read is needed because a peer's document contradicts the one in force.
    needs_check: bool,
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

    /// Handles calls that got no response in time as lost.
    pub(super) fn expire_calls(&mut self, now: model::Time) {
        let expired = self
            .platform
            .outstanding
            .iter()
            .filter(|(_, o)| now >= o.expires)
            .map(|(call, _)| *call)
            .collect::<Vec<_>>();
        for call in expired {
            self.handle_response(call, call::Response::Lost, now);
        }
    }

    /// Keeps a watch open while this host watches for its data centre.
    pub(super) fn watch(&mut self, now: model::Time) {
        let busy = self.platform.is_outstanding(Purpose::Watch)
            || self.platform.is_outstanding(Purpose::Start);
        // Until it is ready, a host may know too few others to determine the watchers.
        let wanted = self.start.is_done() && (self.watcher || self.platform.needs_check);
        if !wanted || busy || now < self.platform.next_watch {
            return;
        }
        let audit = *self
            .platform
            .next_audit
            .get_or_insert(now + timing::AUDIT_INTERVAL);
        let request = match self.platform.seen {
            Some((after, _)) if !self.platform.needs_check && now < audit => {
                call::Request::Watch { after }
            }
            _ => call::Request::Get,
        };
        if request == call::Request::Get {
            self.platform.next_audit = Some(now + timing::AUDIT_INTERVAL);
            self.platform.needs_check = false;
        }
        self.call(Purpose::Watch, request, now);
    }

    pub(super) fn handle_response(
        &mut self,
        call: call::CallId,
        response: call::Response,
        now: model::Time,
    ) {
        // A late response still shows what the platform holds.
        let purpose = self.platform.outstanding.remove(&call).map(|o| o.purpose);
        match &response {
            call::Response::Object { revision, stored } => {
                self.on_object(*revision, stored.clone(), now)
            }
            call::Response::Missing => self.on_missing(now),
            _ => {}
        }
        let Some(purpose) = purpose else {
            return;
        };
        self.update_backoff(&response, now);
        match purpose {
            Purpose::Start => self.on_start_response(&response, now),
            Purpose::Submission(id) => self.on_submission_response(id, response, now),
            Purpose::Restore => self.on_restore_response(&response),
            Purpose::Watch => {}
        }
    }

    /// Schedules a read after a random delay, when a peer's document contradicts the one in
    /// force.
    pub(super) fn schedule_check(&mut self, now: model::Time) {
        if !self.platform.needs_check {
            self.platform.needs_check = true;
            let delay = timing::MAX_CHECK_DELAY.mul_f64(self.rng.random());
            self.platform.next_watch = self.platform.next_watch.max(now + delay);
        }
    }

    /// Delays further calls after a failure, and ends the delays after a success.
    fn update_backoff(&mut self, response: &call::Response, now: model::Time) {
        match response {
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
        if stored.document.deployment != self.identity.deployment {
            self.notice(state::Notice::OtherDeployment);
            return;
        }
        let version = stored.document.version;
        self.platform.seen = Some((revision, version));
        match version.cmp(&self.version()) {
            std::cmp::Ordering::Greater => self.adopt(stored),
            std::cmp::Ordering::Equal => self.compare_document(stored),
            std::cmp::Ordering::Less => self.restore(Some(revision), version, now),
        }
    }

    /// Replaces the document in force by the platform's if they differ at the same version.
    fn compare_document(&mut self, stored: sync::Arc<config::StoredConfig>) {
        let hash = stored.document.hash();
        if self.current.as_ref().is_some_and(|c| c.hash != hash) {
            let version = stored.document.version;
            self.notice(state::Notice::Diverged { version });
            self.put_in_force(stored);
            self.propagate(version);
        }
    }

    fn on_missing(&mut self, now: model::Time) {
        self.platform.seen = None;
        if self.current.is_some() {
            self.restore(None, 0, now);
        }
    }

    /// Writes the document in force to a platform that holds an older one or none.
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

    fn on_restore_response(&mut self, response: &call::Response) {
        // The next read shows what the platform holds now.
        self.platform.seen = None;
        if let call::Response::Written { revision } = response {
            self.platform.seen = Some((*revision, self.version()));
        }
    }
}
