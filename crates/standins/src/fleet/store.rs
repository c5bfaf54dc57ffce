//! The platform's configuration object in virtual time.

use std::{collections, sync, time};

use yuccatide_steering::{config, propagation};

/// Time after which a watch without a change ends.
const WATCH_DURATION: time::Duration = time::Duration::from_secs(30);

/// A watch that waits: host, its start, call, known revision, end.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub host: usize,
    pub start: u64,
    pub call: propagation::CallId,
    pub after: propagation::Revision,
    pub ends: time::Duration,
}

/// The object with its revision, and the calls that it got.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub(super) object: Option<(propagation::Revision, sync::Arc<config::StoredConfig>)>,
    pub(super) waiting: Vec<Waiting>,
    next_revision: propagation::Revision,
    /// Version and size in bytes of the value measured last.
    measured: (u64, usize),
    /// Reads and watches begun, by second.
    pub reads: collections::BTreeMap<u64, u64>,
    /// Writes tried, by second.
    pub writes: collections::BTreeMap<u64, u64>,
}

impl Store {
    /// Holds a document.
    pub fn with_document(document: config::Document) -> Store {
        let mut store = Store::default();
        store.set(sync::Arc::new(config::StoredConfig::new(document)));
        store
    }

    /// What it holds.
    pub fn stored(&self) -> Option<&sync::Arc<config::StoredConfig>> {
        self.object.as_ref().map(|(_, stored)| stored)
    }

    /// A copy of the object.
    pub fn copy(&self) -> Option<(propagation::Revision, sync::Arc<config::StoredConfig>)> {
        self.object.clone()
    }

    /// Puts a copy back with its old revision, from which later ones are counted.
    pub fn restore(
        &mut self,
        copy: Option<(propagation::Revision, sync::Arc<config::StoredConfig>)>,
    ) {
        self.next_revision = copy.as_ref().map_or(0, |(revision, _)| *revision);
        self.object = copy;
    }

    fn set(&mut self, stored: sync::Arc<config::StoredConfig>) {
        self.next_revision += 1;
        self.object = Some((self.next_revision, stored));
    }

    /// Size of a value in JSON, in bytes.
    pub(super) fn size(&mut self, stored: &config::StoredConfig) -> usize {
        if self.measured.0 != stored.document.version {
            let bytes = serde_json::to_vec(stored).map_or(0, |json| json.len());
            self.measured = (stored.document.version, bytes);
        }
        self.measured.1
    }

    pub(super) fn count(&mut self, request: &propagation::Request, now: time::Duration) {
        let calls = match request {
            propagation::Request::PutIf { .. } => &mut self.writes,
            _ => &mut self.reads,
        };
        *calls.entry(now.as_secs()).or_default() += 1;
    }

    /// Carries a call out; a watch that has to wait gets no answer yet.
    pub(super) fn call(
        &mut self,
        waiting: Waiting,
        request: propagation::Request,
    ) -> Option<propagation::Response> {
        match request {
            propagation::Request::Get => Some(self.read()),
            propagation::Request::Watch { after } if self.revision() <= Some(after) => {
                self.waiting.push(Waiting { after, ..waiting });
                None
            }
            propagation::Request::Watch { .. } => Some(self.read()),
            propagation::Request::PutIf { revision, stored } => Some(self.put(revision, stored)),
        }
    }

    /// Watches that can be answered by now.
    pub(super) fn due(&mut self, now: time::Duration) -> Vec<(Waiting, propagation::Response)> {
        let revision = self.revision();
        let due = self
            .waiting
            .extract_if(.., |w| revision > Some(w.after) || now >= w.ends)
            .collect::<Vec<_>>();
        due.into_iter()
            .map(|w| {
                let answer = match revision > Some(w.after) {
                    true => self.read(),
                    false => propagation::Response::Unchanged,
                };
                (w, answer)
            })
            .collect()
    }

    pub(super) fn end_of_watch(now: time::Duration) -> time::Duration {
        now + WATCH_DURATION
    }

    fn revision(&self) -> Option<propagation::Revision> {
        self.object.as_ref().map(|(revision, _)| *revision)
    }

    fn read(&self) -> propagation::Response {
        match &self.object {
            Some((revision, stored)) => propagation::Response::Object {
                revision: *revision,
                stored: stored.clone(),
            },
            None => propagation::Response::Missing,
        }
    }

    fn put(
        &mut self,
        revision: Option<propagation::Revision>,
        stored: sync::Arc<config::StoredConfig>,
    ) -> propagation::Response {
        if self.revision() != revision {
            return propagation::Response::Conflict;
        }
        self.set(stored);
        propagation::Response::Written {
            revision: self.next_revision,
        }
    }
}
