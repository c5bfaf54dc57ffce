//! Following one kind of object in the platform's store: a list, then one waiting watch.

use std::{future, pin, time};

use thiserror::Error;

use super::store_state;

/// Longest pause after an attempt to connect that failed: it costs the store nothing.
const MAX_CONNECT_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store can't be reached.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// The store turned the call away or did not answer it.
    #[error("the store does not answer: {0}")]
    Unavailable(String),
    /// A call was cut off before its answer.
    #[error("the call was cut off: {0}")]
    Interrupted(String),
    /// The object exists already, or has another revision.
    #[error("the object has changed")]
    Conflict,
    /// The store has dropped the history that a watch asked for.
    #[error("the history is gone")]
    HistoryGone,
}

/// All objects of a kind.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects that could be read.
    pub objects: Vec<T>,
    /// Revision of the store.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// It was created or changed.
    Set(T),
    /// It is gone.
    Deleted(String),
}

/// Changes since a revision.
#[derive(Clone, Debug)]
pub struct WatchBatch<T> {
    /// Changes, the oldest first.
    pub changes: Vec<Change<T>>,
    /// Revision to watch from next.
    pub revision: u64,
    /// Revision of the newest change; 0 where there is none.
    pub newest_revision: u64,
}

/// A future of a call to the store.
type StoreFuture<T> = pin::Pin<Box<dyn future::Future<Output = Result<T, StoreError>> + Send>>;

/// How recent a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It may be seconds old: a watch from its revision brings what it misses, and it costs less.
    MayBeStale,
    /// It tells what is there now.
    Current,
}

/// Calls that read one kind of object.
pub struct StoreReader<T> {
    /// Lists all objects.
    pub list: Box<dyn Fn(Freshness) -> StoreFuture<Listing<T>> + Send>,
    /// Waits for changes since a revision.
    pub watch: Box<dyn Fn(u64) -> StoreFuture<WatchBatch<T>> + Send>,
}

/// How one kind of object is followed.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// How recent the first list has to be.
    pub initial_freshness: Freshness,
    /// Pause after a watch that brought changes, so that those of a moment come with one call:
    /// every call is priced.
    pub batch_delay: time::Duration,
}

/// StoreEvent of one kind of object.
#[derive(Clone, Debug)]
pub enum StoreEvent<T> {
    /// All objects.
    Listed(Vec<T>),
    /// One change.
    Changed(Change<T>),
    /// Whether the store answers.
    Available(bool),
}

/// Reports all objects of a kind and then each change, for ever.
pub async fn list_and_watch<T>(
    kind: &str,
    options: WatchOptions,
    state: &store_state::StoreState,
    reader: StoreReader<T>,
    mut report: impl FnMut(StoreEvent<T>),
) {
    let mut freshness = options.initial_freshness;
    let mut revision = None;
    let mut was_interrupted = false;
    loop {
        let permit = state.acquire_permit().await;
        if permit.is_some() {
            // A list tells at once that the store is back; a watch would wait for a change.
            revision = None;
        }
        let mut has_changes = false;
        let result = match revision {
            None => (reader.list)(freshness).await.map(|listing| {
                revision = Some(listing.revision);
                report(StoreEvent::Available(true));
                report(StoreEvent::Listed(listing.objects));
            }),
            Some(since) => watch_until_stale(kind, state, (reader.watch)(since), since)
                .await
                .map(|batch| {
                    state.record_revision(kind, batch.newest_revision);
                    revision = Some(batch.revision.max(since));
                    has_changes = !batch.changes.is_empty();
                    report(StoreEvent::Available(true));
                    batch
                        .changes
                        .into_iter()
                        .for_each(|change| report(StoreEvent::Changed(change)));
                }),
        };
        freshness = Freshness::Current;
        match result {
            Ok(()) => {
                was_interrupted = false;
                state.record_success(permit);
                if has_changes {
                    tokio::time::sleep(options.batch_delay).await;
                }
            }
            // A store may end a waiting watch at any time; one that ends each call is down.
            Err(StoreError::Interrupted(reason)) if revision.is_some() && !was_interrupted => {
                was_interrupted = true;
                log::debug!(kind, reason:%; "a watch of the store was cut off");
                drop(permit);
                tokio::time::sleep(store_state::INITIAL_BACKOFF).await;
            }
            Err(e) => {
                log::warn!(kind, error:% = e; "a call to the store failed");
                revision = None;
                if e == StoreError::HistoryGone {
                    state.record_success(permit);
                    continue;
                }
                report(StoreEvent::Available(false));
                let max_backoff = match e {
                    StoreError::Unreachable(_) => MAX_CONNECT_BACKOFF,
                    _ => store_state::MAX_BACKOFF,
                };
                state.back_off(permit, max_backoff).await;
            }
        }
    }
}

/// Waits for changes, for no longer than other hosts have seen none.
async fn watch_until_stale<T>(
    kind: &str,
    state: &store_state::StoreState,
    changes: StoreFuture<WatchBatch<T>>,
    since: u64,
) -> Result<WatchBatch<T>, StoreError> {
    tokio::select! {
        batch = changes => batch,
        () = state.wait_until_stale(kind, since) => {
            log::info!(kind, since; "a watch is silent while other hosts see changes");
            Err(StoreError::Interrupted("it is silent".to_string()))
        }
    }
}
