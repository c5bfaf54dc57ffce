//! One attempt of a request at a backend server.

use std::time;

use yuccatide_steering::{model, pool};

use super::engine;
use crate::{backend, request, telemetry::traces};

/// End of an attempt.
pub(super) struct Ended {
    pub(super) server: model::ServerId,
    pub(super) finish: pool::AttemptOutcome,
    pub(super) answer: Option<request::Answer>,
}

impl engine::Engine {
    /// Sends a request to a backend server and waits for its whole answer.
    pub(super) async fn attempt(
        &self,
        job: &request::Job,
        server: model::ServerId,
        timeout: time::Duration,
    ) -> Ended {
        let Some((target, rank)) = self.target(&server, &job.meta.work) else {
            return Ended {
                server,
                finish: pool::AttemptOutcome::ConnectFailed,
                answer: None,
            };
        };
        let span = traces::span("backend server", job.traceparent.as_deref())
            .with_property(|| ("server", server.clone()));
        let traceparent = traces::traceparent(&span);
        let start = time::Instant::now();
        let sent = self
            .backends
            .send(&target, job, rank, timeout, traceparent.as_deref());
        let (finish, answer) = match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(answer)) => {
                let finish = pool::AttemptOutcome::Answered {
                    latency: start.elapsed(),
                    ok: !answer.status.is_server_error(),
                };
                (finish, Some(answer))
            }
            Ok(Err(e)) => {
                self.note_failure(&server, &e);
                (finish_of(&e), None)
            }
            Err(_) => (pool::AttemptOutcome::TimedOut, None),
        };
        span.add_property(|| ("finish", format!("{finish:?}")));
        Ended {
            server,
            finish,
            answer,
        }
    }

    fn target(&self, server: &str, work: &str) -> Option<(backend::Target, model::Rank)> {
        let doc = self.document()?;
        let target = backend::Target::with_document(&doc, server)?;
        let rank = doc.work.get(work)?.rank;
        Some((target, rank))
    }

    fn note_failure(&self, server: &str, e: &backend::Error) {
        let cause = match e {
            backend::Error::Shed => return,
            backend::Error::Crossed => "crossed answer",
            backend::Error::Status(_) => "invalid status",
            backend::Error::TooLarge(_) => "answer too large",
            backend::Error::Broken(_) => "broken connection",
            backend::Error::Connect(_) | backend::Error::Refused | backend::Error::Connections => {
                "no connection"
            }
        };
        self.metrics.fault(cause);
        log::debug!(server = server, error:% = e; "an attempt failed");
    }
}

fn finish_of(e: &backend::Error) -> pool::AttemptOutcome {
    match e {
        backend::Error::Shed => pool::AttemptOutcome::Shed,
        e if e.is_not_run() => pool::AttemptOutcome::ConnectFailed,
        _ => pool::AttemptOutcome::Broken,
    }
}
