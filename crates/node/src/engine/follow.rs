//! The configuration.

use std::{sync, time};

use bytes::Bytes;
use tokio::sync::oneshot;
use yuccatide_steering::{config, dedup, model, pool, propagation, steer};

use super::{control, engine, state};
use crate::{platform, telemetry::traces};

/// Kind of the object that holds the configuration.
const KIND: &str = "config";

/// Longest wait of one watch at the platform.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(30);

impl engine::Engine {
    /// Submits an operator's patch and waits for its result.
    pub async fn submit(
        self: &sync::Arc<engine::Engine>,
        patch: config::Patch,
        author: String,
    ) -> propagation::SubmitResult {
        let (tx, rx) = oneshot::channel();
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            let (submission, actions) = state.follower.submit(patch, author, now);
            state.submissions.insert(submission, tx);
            actions
        };
        self.carry_out_propagation(actions);
        rx.await.unwrap_or(propagation::SubmitResult::Unknown)
    }

    /// Document in force with its latest changes.
    pub fn stored(&self) -> Option<sync::Arc<config::StoredConfig>> {
        self.lock().follower.stored().cloned()
    }

    pub(super) fn carry_out_propagation(&self, actions: Vec<propagation::Action>) {
        for action in actions {
            match action {
                propagation::Action::Platform { call, request } => self.call(call, request),
                propagation::Action::Send { to, message } => {
                    self.deliver(to, &control::Control::Propagation(message));
                }
                propagation::Action::Apply(stored) => self.apply(&stored),
                propagation::Action::Ready => self.set_ready(),
                propagation::Action::Submitted { submission, result } => {
                    let tx = self.lock().submissions.remove(&submission);
                    if let Some(tx) = tx {
                        // The operator may have gone away.
                        let _ = tx.send(result);
                    }
                }
                propagation::Action::Notice(notice) => {
                    log::warn!(notice:? = notice; "configuration");
                }
            }
        }
    }

    /// Puts a document in force.
    fn apply(&self, stored: &config::StoredConfig) {
        let now = self.now();
        let doc = sync::Arc::new(stored.document.clone());
        let version = doc.version;
        let mut state = self.lock();
        if state
            .active
            .as_ref()
            .is_some_and(|a| a.doc.version > version)
        {
            return;
        }
        match &mut state.active {
            Some(active) => {
                active.doc = sync::Arc::clone(&doc);
                active.dedup.set_document(sync::Arc::clone(&doc));
                active.steer.set_document(sync::Arc::clone(&doc), now);
                state.with_pool(|pool| pool.set_document(doc, now));
            }
            None => state.active = Some(self.activate(doc, &state.limits, now)),
        }
        state.loader.set_expected(&stored.document.blocks);
        self.chunks_wanted.notify_one();
        state.membership.set_config_version(version);
        drop(state);
        self.update_members();
        log::info!(version = version; "a configuration is in force");
    }

    fn activate(
        &self,
        doc: sync::Arc<config::Document>,
        limits: &dedup::Limits,
        now: model::Time,
    ) -> state::Active {
        let me = dedup::Peer {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            leaving: false,
        };
        state::Active {
            steer: steer::Router::new(
                sync::Arc::clone(&doc),
                &self.me.host,
                &self.me.data_centre,
                self.me.incarnation,
                self.seed,
                now,
            ),
            pool: pool::Pool::new(sync::Arc::clone(&doc), &self.me.host, self.seed, now),
            budgets: Default::default(),
            dedup: dedup::Dedup::new(sync::Arc::clone(&doc), me, limits.clone()),
            doc,
        }
    }

    /// The configuration is known; what is missing are the shares of the peers.
    fn set_ready(&self) {
        self.lock().configured = true;
        self.update_members();
    }

    /// Calls the platform and hands its answer in.
    fn call(&self, call: propagation::CallId, request: propagation::Request) {
        let Some(engine) = self.myself.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            let answer = engine.ask_platform(request).await;
            let up = !matches!(
                answer,
                propagation::Response::Unavailable | propagation::Response::Lost
            );
            engine.meter.set_platform_up(up);
            let now = engine.now();
            engine.meter.timed(|| {
                let actions = engine.lock().follower.on_response(call, answer, now);
                engine.carry_out_propagation(actions);
            });
        });
    }

    async fn ask_platform(&self, request: propagation::Request) -> propagation::Response {
        let name = &self.me.deployment;
        let kind = match &request {
            propagation::Request::Get => "get",
            propagation::Request::Watch { .. } => "watch",
            propagation::Request::PutIf { .. } => "put",
        };
        let _span = traces::span("platform", None).with_property(|| ("kind", kind));
        self.metrics.platform_call(kind);
        match request {
            propagation::Request::Get => match self.platform.get(KIND, name).await {
                Ok(Some(object)) => answer_object(&object),
                Ok(None) => propagation::Response::Missing,
                Err(e) => answer_error(&e),
            },
            propagation::Request::Watch { after } => {
                match self.platform.watch(KIND, name, after, WATCH_WAIT).await {
                    Ok(platform::Watched::Changed(object)) => answer_object(&object),
                    Ok(platform::Watched::Unchanged) => propagation::Response::Unchanged,
                    Ok(platform::Watched::Absent) => propagation::Response::Missing,
                    Err(e) => answer_error(&e),
                }
            }
            propagation::Request::PutIf { revision, stored } => {
                let Ok(body) = serde_json::to_vec(stored.as_ref()) else {
                    return propagation::Response::Unavailable;
                };
                let body = Bytes::from(body);
                let written = match revision {
                    Some(revision) => self.platform.put_if(KIND, name, revision, body).await,
                    None => self.platform.create(KIND, name, body).await,
                };
                match written {
                    Ok(revision) => propagation::Response::Written { revision },
                    Err(e) => answer_error(&e),
                }
            }
        }
    }
}

fn answer_object(object: &platform::Object) -> propagation::Response {
    let stored: Result<config::StoredConfig, _> = serde_json::from_slice(&object.body);
    match stored {
        Ok(stored) => match config::check(&stored.document).first() {
            None => propagation::Response::Object {
                revision: object.version,
                stored: sync::Arc::new(stored),
            },
            Some(problem) => {
                log::error!(problem:%; "the platform's configuration can't be used");
                propagation::Response::Unavailable
            }
        },
        Err(e) => {
            log::error!(error:% = e; "the platform's configuration is malformed");
            propagation::Response::Unavailable
        }
    }
}

fn answer_error(e: &platform::Error) -> propagation::Response {
    log::debug!(error:% = e; "a call to the platform failed");
    match e {
        platform::Error::Conflict => propagation::Response::Conflict,
        platform::Error::Ambiguous(_) | platform::Error::NoAnswer(_) => propagation::Response::Lost,
        _ => propagation::Response::Unavailable,
    }
}
