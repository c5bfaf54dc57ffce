//! Non-idempotent requests: run at most once for each key.

use std::sync;

use bytes::Bytes;
use tokio::sync::mpsc;
use yuccatide_steering::{dedup, model};

use super::{control, engine};
use crate::{peer, request};

impl engine::Engine {
    /// Carries a request with an idempotency key to its answer.
    ///
    /// What has begun to run goes on when the caller gives up, so that its result is kept for
    /// repetitions.
    pub(super) async fn run_once(
        self: &sync::Arc<engine::Engine>,
        job: request::Job,
    ) -> request::Answer {
        let Some(mut waiter) = self.request(&job) else {
            return request::Answer::unknown(model::NotRunReason::NotReady.as_str());
        };
        while let Some(action) = waiter.rx.recv().await {
            match action {
                dedup::Action::Run { .. } => self.spawn_run(job.clone()),
                dedup::Action::Forward { to, .. } => {
                    // The outcome may be known from the witness while the home is silent.
                    tokio::select! {
                        answer = self.forward_home(&job, &to) => {
                            if let Some(answer) = answer {
                                return answer;
                            }
                        }
                        Some(action) = waiter.rx.recv() => {
                            if let dedup::Action::Respond { response, .. } = action {
                                return to_answer(response);
                            }
                        }
                    }
                }
                dedup::Action::Respond { response, .. } => return to_answer(response),
                dedup::Action::Send { .. } => {}
            }
        }
        request::Answer::unknown("server")
    }

    pub(super) fn carry_out_dedup(&self, actions: Vec<dedup::Action>) {
        for action in actions {
            let id = match &action {
                dedup::Action::Send { to, message } => {
                    let message = control::Control::Dedup(message.clone());
                    self.deliver_to_host(to, &message);
                    continue;
                }
                dedup::Action::Run { id }
                | dedup::Action::Forward { id, .. }
                | dedup::Action::Respond { id, .. } => *id,
            };
            let tx = self.lock().keys.get(&id).cloned();
            let run = matches!(action, dedup::Action::Run { .. });
            let taken = tx.is_some_and(|tx| tx.send(action).is_ok());
            if run && !taken {
                // The caller went away in this moment; nobody runs the request.
                self.ended(
                    id,
                    dedup::RunOutcome::NotRun(model::NotRunReason::Cancelled),
                );
            }
        }
    }

    /// Reports the end of a run.
    fn ended(&self, id: model::RequestId, end: dedup::RunOutcome) {
        let now = self.now();
        let actions = self
            .lock()
            .active
            .as_mut()
            .map(|active| active.dedup.on_run_ended(id, end, now));
        self.carry_out_dedup(actions.unwrap_or_default());
    }

    fn request(&self, job: &request::Job) -> Option<Waiter<'_>> {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = self.now();
        let id = job.meta.id;
        let actions = {
            let mut state = self.lock();
            let active = state.active.as_mut()?;
            let actions = active
                .dedup
                .on_request(job.meta.clone(), job.fingerprint, now);
            state.keys.insert(id, tx);
            actions
        };
        self.carry_out_dedup(actions);
        Some(Waiter {
            engine: self,
            id,
            rx,
        })
    }

    /// Runs a request in a task of its own and reports its end.
    fn spawn_run(self: &sync::Arc<engine::Engine>, job: request::Job) {
        let engine = sync::Arc::clone(self);
        tokio::spawn(async move {
            let id = job.meta.id;
            let answer = engine.run_steered(job).await;
            engine.ended(id, to_end(answer));
        });
    }

    /// Carries a request to the home of its key; nothing where no whole answer came back.
    async fn forward_home(&self, job: &request::Job, to: &str) -> Option<request::Answer> {
        let answer = self
            .forward(job, to, peer::Purpose::Home, Vec::new())
            .await
            .inspect_err(|e| log::info!(host = to, error:% = e; "a request did not reach its home"))
            .ok();
        let now = self.now();
        let id = job.meta.id;
        let complete = answer.is_some();
        let actions = self
            .lock()
            .active
            .as_mut()
            .map(|active| active.dedup.on_forward_ended(id, complete, now));
        self.carry_out_dedup(actions.unwrap_or_default());
        answer
    }
}

/// A caller that waits for the answer to a key; dropping it tells that it no longer waits.
struct Waiter<'a> {
    engine: &'a engine::Engine,
    id: model::RequestId,
    rx: mpsc::UnboundedReceiver<dedup::Action>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.engine.lock();
            state.keys.remove(&self.id);
            if let Some(active) = &mut state.active {
                active.dedup.on_cancelled(self.id);
            }
        }
        // A run that was given out in the last moment is not begun.
        while let Ok(action) = self.rx.try_recv() {
            if matches!(action, dedup::Action::Run { .. }) {
                let end = dedup::RunOutcome::NotRun(model::NotRunReason::Cancelled);
                self.engine.ended(self.id, end);
            }
        }
    }
}

fn to_end(answer: request::Answer) -> dedup::RunOutcome {
    match answer.outcome {
        model::Outcome::Done => dedup::RunOutcome::done(dedup::StoredResult {
            status: answer.status.as_u16(),
            headers: answer
                .headers
                .iter()
                .filter_map(|(n, v)| Some((n.clone(), String::from_utf8(v.clone()).ok()?)))
                .collect(),
            body: answer.body.to_vec(),
        }),
        model::Outcome::NotRun => {
            let reason = answer.reason.as_deref().and_then(reason_of);
            dedup::RunOutcome::NotRun(reason.unwrap_or(model::NotRunReason::NoCapacity))
        }
        model::Outcome::Unknown => dedup::RunOutcome::Unknown,
    }
}

fn reason_of(text: &str) -> Option<model::NotRunReason> {
    let text = serde_json::Value::String(text.to_string());
    serde_json::from_value(text).ok()
}

fn to_answer(answer: dedup::Response) -> request::Answer {
    match answer {
        dedup::Response::Done(Some(result)) => request::Answer {
            outcome: model::Outcome::Done,
            reason: None,
            status: http::StatusCode::from_u16(result.status).unwrap_or(http::StatusCode::OK),
            headers: result
                .headers
                .iter()
                .map(|(name, value)| (name.clone(), value.clone().into_bytes()))
                .collect(),
            body: Bytes::copy_from_slice(&result.body),
            retry_after: None,
            server: None,
            slot_time: None,
        },
        dedup::Response::Done(None) => request::Answer {
            outcome: model::Outcome::Done,
            reason: Some("result-not-kept".to_string()),
            status: http::StatusCode::NO_CONTENT,
            headers: Vec::new(),
            body: Bytes::new(),
            retry_after: None,
            server: None,
            slot_time: None,
        },
        dedup::Response::NotRun(reason) => request::Answer::not_run(reason),
        dedup::Response::Unknown(reason) => request::Answer::unknown(reason.as_str()),
    }
}
