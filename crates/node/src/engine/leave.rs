//! Planned stops.

use std::time;

use yuccatide_steering::{config, model};

use super::engine;

/// Period in which the end of the last requests is looked for.
const LOOK: time::Duration = time::Duration::from_millis(50);

impl engine::Engine {
    /// Leaves the look-ups; requests are still served.
    pub fn leave(&self) {
        self.lock().stopping = true;
        self.set_leaving(true);
        let now = self.now();
        let actions = self
            .lock()
            .active
            .as_mut()
            .map(|active| active.dedup.leave(now));
        self.carry_out_dedup(actions.unwrap_or_default());
    }

    /// How long callers may still use the answers to look-ups that named this host.
    pub fn lookup_ttl(&self) -> time::Duration {
        self.document()
            .map_or(time::Duration::ZERO, |doc| doc.lookup_ttl)
    }

    /// Waits until no request is in progress and all keys are handed to their witnesses, at most
    /// as long as the longest deadline.
    pub async fn drained(&self) {
        let doc = self.document();
        let deadlines = doc.iter().flat_map(|doc| doc.work.values());
        let longest = deadlines.map(|work| work.deadline).max();
        let drained = async {
            while !self.is_drained() {
                tokio::time::sleep(LOOK).await;
            }
        };
        let in_time = tokio::time::timeout(longest.unwrap_or_default(), drained).await;
        if in_time.is_err() {
            log::warn!(requests = self.in_progress(); "the host stops with requests in progress");
        }
    }

    /// Announces the end of this process.
    pub fn stop(&self) {
        let now = self.now();
        let actions = self.lock().membership.stop(now);
        self.carry_out_membership(actions);
    }

    /// Leaves or joins the look-ups as the planned stops in the configuration ask.
    pub(super) fn follow_drain(&self, now: model::Time) {
        let leaving = {
            let state = self.lock();
            let doc = state.active.as_ref().map(|active| &active.doc);
            state.stopping || doc.is_some_and(|doc| is_due(doc, &self.me.host, now))
        };
        self.set_leaving(leaving);
    }

    fn is_drained(&self) -> bool {
        let state = self.lock();
        let keys = state.active.as_ref().is_none_or(|a| a.dedup.is_idle());
        keys && state.runs.is_empty() && state.keys.is_empty()
    }

    fn set_leaving(&self, leaving: bool) {
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            if state.leaving == leaving {
                return;
            }
            state.leaving = leaving;
            state.membership.set_leaving(leaving, now)
        };
        log::info!(leaving = leaving; "the host changed its look-ups");
        self.carry_out_membership(actions);
        self.update_members();
    }
}

/// Whether a planned stop of a host has to begin, so that it is empty in time: callers use it for
/// as long as look-ups are cached, and their last requests take their deadline.
fn is_due(doc: &config::Document, host: &str, now: model::Time) -> bool {
    let longest = doc.work.values().map(|work| work.deadline).max();
    let ahead = doc.lookup_ttl + longest.unwrap_or_default();
    doc.drains
        .values()
        .filter(|drain| matches!(&drain.target, config::DrainTarget::Host(h) if h == host))
        .any(|drain| drain.empty_by.is_none_or(|at| now + ahead >= at))
}
