//! Starts long-lived tasks again when they end, and knows which ones run.

use std::{collections, fmt, future, sync, time};

use tokio_util::task;

/// Time for which a task that was started again must run before it counts as running: it may meet at
/// once what ended it before.
pub const RECOVERY_TIME: time::Duration = time::Duration::from_secs(3);

/// Delay before a task is started again; doubled with each end that follows before it has recovered.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest delay before a task is started again.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);

/// Tasks that run as long as the process.
#[derive(Clone)]
pub struct Tasks {
    running: sync::Arc<sync::Mutex<collections::HashMap<&'static str, Running>>>,
    on_end: sync::Arc<dyn Fn(&'static str) + Send + Sync>,
}

/// Since when a task runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Running {
    /// It has run since it was first started.
    FromStart,
    /// It ended, and was started again at this time.
    Again(tokio::time::Instant),
    /// It has ended.
    Ended,
}

impl Running {
    fn has_recovered(self) -> bool {
        match self {
            Running::FromStart => true,
            Running::Again(since) => since.elapsed() >= RECOVERY_TIME,
            Running::Ended => false,
        }
    }
}

impl fmt::Debug for Tasks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tasks")
            .field("running", &self.running)
            .finish_non_exhaustive()
    }
}

impl Tasks {
    /// Creates an empty set; `on_end` is called with the name of each task that ends.
    pub fn new(on_end: impl Fn(&'static str) + Send + Sync + 'static) -> Tasks {
        Tasks {
            running: sync::Arc::default(),
            on_end: sync::Arc::new(on_end),
        }
    }

    /// Runs a task until the handle is dropped.  When it ends, by a panic or because its future is
    /// complete, that is logged and the task is started again.
    pub fn keep_running<F>(
        &self,
        name: &'static str,
        start: impl Fn() -> F + Send + 'static,
    ) -> task::AbortOnDropHandle<()>
    where
        F: future::Future<Output = ()> + Send + 'static,
    {
        let tasks = self.clone();
        tasks.set(name, Running::FromStart);
        task::AbortOnDropHandle::new(tokio::spawn(async move {
            let mut backoff = INITIAL_BACKOFF;
            loop {
                let ended = task::AbortOnDropHandle::new(tokio::spawn(start())).await;
                if tasks.has_recovered(name) {
                    backoff = INITIAL_BACKOFF;
                }
                tasks.set(name, Running::Ended);
                (tasks.on_end)(name);
                let error = ended.err().map(|e| e.to_string());
                log::error!(
                    task = name, error, restart_ms = backoff.as_millis() as u64;
                    "long-lived task ended; starting it again"
                );
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                tasks.set(name, Running::Again(tokio::time::Instant::now()));
            }
        }))
    }

    /// Whether all tasks run, those that ended before for [`RECOVERY_TIME`].
    pub fn are_running(&self) -> bool {
        self.lock().values().all(|running| running.has_recovered())
    }

    fn has_recovered(&self, name: &'static str) -> bool {
        let running = self.lock().get(name).copied();
        running.is_some_and(Running::has_recovered)
    }

    fn set(&self, name: &'static str, running: Running) {
        self.lock().insert(name, running);
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<&'static str, Running>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
