//! Answers that backend servers broke off after their heads were passed on to clients.

use std::sync;

use yuccatide_steering::{gateway as decisions, model};

/// Index and incarnation of a backend server.
pub(super) type Server = (decisions::ServerIndex, model::Incarnation);

/// Broken answers that have not been counted yet: they are noticed while a client reads, long after
/// their attempts have ended.
#[derive(Debug, Default)]
pub(super) struct BrokenAnswers {
    servers: sync::Mutex<Vec<Server>>,
}

impl BrokenAnswers {
    /// Records an answer of this backend server.
    pub(super) fn record(&self, server: Server) {
        self.lock().push(server);
    }

    /// Takes out all.
    pub(super) fn take(&self) -> Vec<Server> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Server>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
