//! Patches that operators submit at this host.

use std::sync;

use super::{backoff, call, platform, state, timing};
use crate::{config, model};

/// Number of a submission at this host.
pub type SubmissionId = u64;

/// Result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitResult {
    /// The patch led to a version, which is or will be in force everywhere.
    Accepted(model::Version),
    /// The base is not the current version, for example because another patch was accepted on it.
    Outdated {
        /// The current version.
        current: model::Version,
    },
    /// The patch is invalid.
    Invalid(config::PatchError),
    /// The document would be larger than the platform accepts.
    TooLarge {
        /// Size of the stored form in bytes.
        bytes: usize,
    },
    /// The platform could not be reached; the patch was not accepted.
    Unavailable,
    /// It is unknown whether the patch was accepted; it can be submitted again with the same id.
    Unknown,
    /// This host has no configuration yet.
    NotReady,
}

/// A submission without a result.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    patch: config::Patch,
    author: String,
    deadline: model::Time,
    /// Whether a write without a response may have taken effect.
    write_may_have_succeeded: bool,
    next_read: model::Time,
    backoff: backoff::Backoff,
    written: Option<sync::Arc<config::StoredConfig>>,
}

impl state::Follower {
    pub(super) fn begin_submission(
        &mut self,
        patch: config::Patch,
        author: String,
        now: model::Time,
    ) -> SubmissionId {
        let id = self.next_submission;
        self.next_submission += 1;
        let submission = Submission {
            patch,
            author,
            deadline: now + timing::SUBMIT_TIMEOUT,
            write_may_have_succeeded: false,
            next_read: now,
            backoff: backoff::Backoff::default(),
            written: None,
        };
        self.submissions.insert(id, submission);
        self.check_submission(id, now);
        id
    }

    /// Concludes the submission if the document in force decides it; otherwise the platform is
    /// read, then written.
    fn check_submission(&mut self, id: SubmissionId, now: model::Time) {
        let Some(current) = self.current.clone() else {
            return self.conclude(id, SubmitResult::NotReady);
        };
        let patch = &self.submissions[&id].patch;
        if let Some(version) = current.stored.version_of(&patch.id) {
            return self.conclude(id, SubmitResult::Accepted(version));
        }
        let version = current.version();
        if patch.base < version {
            return self.conclude(id, SubmitResult::Outdated { current: version });
        }
        if patch.base > version {
            return;
        }
        self.validate_patch(id, &current.stored, now);
    }

    /// Refuses an invalid patch without a call to the platform.
    fn validate_patch(
        &mut self,
        id: SubmissionId,
        stored: &config::StoredConfig,
        now: model::Time,
    ) {
        let submission = &self.submissions[&id];
        let author = submission.author.clone();
        if let Err(e) = stored.with_patch(submission.patch.clone(), author, now) {
            self.conclude(id, refusal(e));
        }
    }

    fn write(
        &mut self,
        id: SubmissionId,
        revision: Option<call::Revision>,
        base: &config::StoredConfig,
        now: model::Time,
    ) {
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        let author = submission.author.clone();
        let next = match base.with_patch(submission.patch.clone(), author, now) {
            Ok(next) => sync::Arc::new(next),
            Err(e) => return self.conclude(id, refusal(e)),
        };
        let bytes = serde_json::to_vec(&next).map_or(usize::MAX, |json| json.len());
        if bytes > timing::MAX_STORED_BYTES {
            return self.conclude(id, SubmitResult::TooLarge { bytes });
        }
        submission.written = Some(next.clone());
        let request = call::Request::PutIf {
            revision,
            stored: next,
        };
        self.call(platform::Purpose::Submission(id), request, now);
    }

    /// Reads the platform for submissions without an outstanding call, and concludes those whose
    /// deadline has passed.
    pub(super) fn advance_submissions(&mut self, now: model::Time) {
        let ids = self.submissions.keys().copied().collect::<Vec<_>>();
        for id in ids {
            let purpose = platform::Purpose::Submission(id);
            let submission = &self.submissions[&id];
            let known = self
                .stored()
                .and_then(|s| s.version_of(&submission.patch.id));
            if let Some(version) = known {
                self.conclude(id, SubmitResult::Accepted(version));
            } else if now >= submission.deadline {
                let unsure = submission.write_may_have_succeeded || submission.written.is_some();
                let result = match unsure {
                    true => SubmitResult::Unknown,
                    false => SubmitResult::Unavailable,
                };
                self.conclude(id, result);
            } else if now >= submission.next_read && !self.platform.is_outstanding(purpose) {
                self.call(purpose, call::Request::Get, now);
            }
        }
    }

    pub(super) fn on_submission_response(
        &mut self,
        id: SubmissionId,
        response: call::Response,
        now: model::Time,
    ) {
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        match response {
            call::Response::Object { revision, stored } => self.on_read(id, revision, &stored, now),
            call::Response::Written { revision } => self.on_written(id, revision),
            call::Response::Missing => {
                if let Some(current) = self.current.clone() {
                    self.write(id, None, &current.stored, now);
                }
            }
            call::Response::Conflict => {
                submission.written = None;
                submission.next_read = now;
            }
            call::Response::Unavailable | call::Response::Lost => {
                let wrote = submission.written.take().is_some();
                submission.write_may_have_succeeded |= wrote && response == call::Response::Lost;
                let pause = submission.backoff.fail(&mut self.rng);
                submission.next_read = now + pause;
            }
            call::Response::Unchanged => {}
        }
    }

    fn on_written(&mut self, id: SubmissionId, revision: call::Revision) {
        let written = self.submissions.get_mut(&id).and_then(|s| s.written.take());
        if let Some(stored) = written {
            let version = stored.document.version;
            self.platform.seen = Some((revision, version));
            self.adopt(stored);
            self.conclude(id, SubmitResult::Accepted(version));
        }
    }

    /// Concludes or writes the submission according to what the platform holds.
    fn on_read(
        &mut self,
        id: SubmissionId,
        revision: call::Revision,
        stored: &config::StoredConfig,
        now: model::Time,
    ) {
        let submission = &self.submissions[&id];
        let base = submission.patch.base;
        let version = stored.document.version;
        if let Some(version) = stored.version_of(&submission.patch.id) {
            return self.conclude(id, SubmitResult::Accepted(version));
        }
        // With more changes since the base than are kept, a lost write may be among them.
        let forgotten = version > base + config::KEPT_CHANGE_COUNT as u64;
        if submission.write_may_have_succeeded && forgotten {
            return self.conclude(id, SubmitResult::Unknown);
        }
        let Some(current) = self.current.clone() else {
            return;
        };
        if base == current.version() && version <= base {
            self.write(id, Some(revision), &current.stored, now);
        } else {
            let current = current.version();
            self.conclude(id, SubmitResult::Outdated { current });
        }
    }

    fn conclude(&mut self, submission: SubmissionId, result: SubmitResult) {
        self.submissions.remove(&submission);
        let action = state::Action::Submitted { submission, result };
        self.actions.push(action);
    }
}

fn refusal(e: config::PatchError) -> SubmitResult {
    match e {
        config::PatchError::Outdated { current, .. } => SubmitResult::Outdated { current },
        e => SubmitResult::Invalid(e),
    }
}
