//! State of a backend server: slots, log and failures to show.

use std::{sync, time};

use super::{load, run};

/// State behind a lock.
pub struct State {
    /// Slots in use.
    pub in_use: u32,
    /// Most slots that were in use at a time.
    pub peak_in_use: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests refused before they ran.
    pub sheds: u64,
    /// Runs that are still slowed down by cold caches.
    pub cold_runs: u32,
    /// Time that a run takes with warm caches.
    pub service_time: time::Duration,
    /// Whether it says that it can serve.
    pub healthy: bool,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it refuses everything.
    pub shedding: bool,
    /// Age up to which a load report is repeated.
    pub report_lag: time::Duration,
    /// Report given in place of the true one.
    pub false_report: Option<load::Load>,
    /// Report repeated within its age.
    pub last_report: Option<(time::Instant, load::Load)>,
    /// Next answers that carry another request's id.
    pub crossed_answers: u32,
    /// Next answers that break off in the middle.
    pub truncated_answers: u32,
    /// Next answers lost after the run, with the connection closed.
    pub lost_answers: u32,
    /// Next answers with the status 600.
    pub invalid_statuses: u32,
    /// Log of runs.
    pub runs: Vec<run::Run>,
}

impl State {
    /// Report as the load endpoint gives it.
    pub fn report(&mut self, slots: u32, now: time::Instant) -> load::Load {
        if let Some(report) = &self.false_report {
            return report.clone();
        }
        if let Some((at, report)) = &self.last_report
            && now.duration_since(*at) < self.report_lag
        {
            return report.clone();
        }
        let report = load::Load {
            in_use: self.in_use,
            slots,
            healthy: self.healthy,
            draining: self.draining,
            cold: self.cold_runs > 0,
        };
        self.last_report = Some((now, report.clone()));
        report
    }
}

/// An entry of the log that is closed as cancelled unless it ends otherwise.
pub struct Running {
    state: sync::Arc<sync::Mutex<State>>,
    index: usize,
}

impl Running {
    /// Takes a slot and opens an entry.
    pub fn new(state: &sync::Arc<sync::Mutex<State>>, run: run::Run) -> Running {
        let mut locked = lock(state);
        locked.in_use += 1;
        locked.peak_in_use = locked.peak_in_use.max(locked.in_use);
        locked.runs.push(run);
        Running {
            state: state.clone(),
            index: locked.runs.len() - 1,
        }
    }

    /// Closes the entry.
    pub fn end(self, ending: run::Ending) {
        lock(&self.state).runs[self.index].end = Some((time::Instant::now(), ending));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.in_use -= 1;
        let cancelled = (time::Instant::now(), run::Ending::Cancelled);
        state.runs[self.index].end.get_or_insert(cancelled);
    }
}

/// Locks the state.
pub fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().expect("no thread panics with the lock")
}
