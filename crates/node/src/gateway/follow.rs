//! Following one kind of object in the platform's store: a list, then one waiting watch.

use std::{future, pin, time};

use thiserror::Error;

/// First pause after a failed call; it doubles with each further one.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest pause after a failed call: news may wait for it after the store's return.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Pause after a watch that brought changes, so that those of a moment come with one call: every
/// call is priced, and the shortest bound on news is ten times as long.
const GATHER: time::Duration = time::Duration::from_millis(250);

/// Longest pause after an attempt to connect that failed: it costs the store nothing.
const MAX_CONNECT_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The store can't be reached.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// The store turned the call away or did not answer it.
    #[error("the store does not answer: {0}")]
    Unavailable(String),
    /// A waiting watch was cut off.
    #[error("the watch was cut off: {0}")]
    CutOff(String),
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
    Gone(String),
}

/// Changes since a revision.
#[derive(Clone, Debug)]
pub struct Events<T> {
    /// Changes, the oldest first.
    pub changes: Vec<Change<T>>,
    /// Revision to watch from next.
    pub revision: u64,
}

/// A future of a call to the store.
type Call<T> = pin::Pin<Box<dyn future::Future<Output = Result<T, SourceError>> + Send>>;

/// Calls that read one kind of object.
pub struct Source<T> {
    /// Lists all objects.
    pub list: Box<dyn Fn() -> Call<Listing<T>> + Send>,
    /// Waits for changes since a revision.
    pub watch: Box<dyn Fn(u64) -> Call<Events<T>> + Send>,
}

/// News of one kind of object.
#[derive(Clone, Debug)]
pub enum News<T> {
    /// All objects.
    All(Vec<T>),
    /// One change.
    Change(Change<T>),
    /// Whether the store answers.
    Answers(bool),
}

/// Reports all objects of a kind and then each change, for ever.
pub async fn follow<T>(kind: &str, source: Source<T>, mut report: impl FnMut(News<T>)) {
    let mut pause = PAUSE;
    let mut revision = None;
    loop {
        let result = match revision {
            None => (source.list)().await.map(|listing| {
                revision = Some(listing.revision);
                report(News::Answers(true));
                report(News::All(listing.objects));
            }),
            Some(since) => (source.watch)(since).await.map(|events| {
                revision = Some(events.revision.max(since));
                report(News::Answers(true));
                events
                    .changes
                    .into_iter()
                    .for_each(|change| report(News::Change(change)));
            }),
        };
        match result {
            Ok(()) => {
                pause = PAUSE;
                tokio::time::sleep(GATHER).await;
            }
            Err(SourceError::CutOff(reason)) => {
                log::debug!(kind, reason:%; "a watch of the store was cut off");
                tokio::time::sleep(PAUSE).await;
            }
            Err(e) => {
                log::warn!(kind, error:% = e; "a call to the store failed");
                // A list tells at once that the store is back; a watch would wait for a change.
                revision = None;
                if e != SourceError::HistoryGone {
                    report(News::Answers(false));
                }
                let longest = match e {
                    SourceError::Unreachable(_) => MAX_CONNECT_PAUSE,
                    _ => MAX_PAUSE,
                };
                tokio::time::sleep(pause.min(longest)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}
