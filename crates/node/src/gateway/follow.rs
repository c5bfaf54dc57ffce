//! Following one kind of object in the platform's store: a list, then one waiting watch.

use std::{future, pin, time};

use thiserror::Error;

use super::access;

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
    /// A call was cut off before its answer.
    #[error("the call was cut off: {0}")]
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
    /// Revision of the newest change; 0 where there is none.
    pub newest: u64,
}

/// A future of a call to the store.
type Call<T> = pin::Pin<Box<dyn future::Future<Output = Result<T, SourceError>> + Send>>;

/// How recent a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It may be seconds old: a watch from its revision brings what it misses, and it costs less.
    MayBeStale,
    /// It tells what is there now.
    Current,
}

/// Calls that read one kind of object.
pub struct Source<T> {
    /// Lists all objects.
    pub list: Box<dyn Fn(Freshness) -> Call<Listing<T>> + Send>,
    /// Waits for changes since a revision.
    pub watch: Box<dyn Fn(u64) -> Call<Events<T>> + Send>,
}

/// How one kind of object is followed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How recent the first list has to be.
    pub first: Freshness,
    /// Pause after a watch that brought changes, so that those of a moment come with one call:
    /// every call is priced.
    pub gather: time::Duration,
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
pub async fn follow<T>(
    kind: &str,
    pace: Pace,
    access: &access::Access,
    source: Source<T>,
    mut report: impl FnMut(News<T>),
) {
    let mut freshness = pace.first;
    let mut revision = None;
    let mut was_cut_off = false;
    loop {
        let turn = access.turn().await;
        if turn.is_some() {
            // A list tells at once that the store is back; a watch would wait for a change.
            revision = None;
        }
        let mut is_gathering = false;
        let result = match revision {
            None => (source.list)(freshness).await.map(|listing| {
                revision = Some(listing.revision);
                report(News::Answers(true));
                report(News::All(listing.objects));
            }),
            Some(since) => watch(kind, access, (source.watch)(since), since)
                .await
                .map(|events| {
                    access.learn(kind, events.newest);
                    revision = Some(events.revision.max(since));
                    is_gathering = !events.changes.is_empty();
                    report(News::Answers(true));
                    events
                        .changes
                        .into_iter()
                        .for_each(|change| report(News::Change(change)));
                }),
        };
        freshness = Freshness::Current;
        match result {
            Ok(()) => {
                was_cut_off = false;
                access.answered(turn);
                if is_gathering {
                    tokio::time::sleep(pace.gather).await;
                }
            }
            // A store may end a waiting watch at any time; one that ends each call is down.
            Err(SourceError::CutOff(reason)) if revision.is_some() && !was_cut_off => {
                was_cut_off = true;
                log::debug!(kind, reason:%; "a watch of the store was cut off");
                drop(turn);
                tokio::time::sleep(access::PAUSE).await;
            }
            Err(e) => {
                log::warn!(kind, error:% = e; "a call to the store failed");
                revision = None;
                if e == SourceError::HistoryGone {
                    access.answered(turn);
                    continue;
                }
                report(News::Answers(false));
                let longest = match e {
                    SourceError::Unreachable(_) => MAX_CONNECT_PAUSE,
                    _ => access::MAX_PAUSE,
                };
                access.failed(turn, longest).await;
            }
        }
    }
}

/// Waits for changes, for no longer than other hosts have seen none.
async fn watch<T>(
    kind: &str,
    access: &access::Access,
    changes: Call<Events<T>>,
    since: u64,
) -> Result<Events<T>, SourceError> {
    tokio::select! {
        events = changes => events,
        () = access.overtaken(kind, since) => {
            log::info!(kind, since; "a watch is silent while other hosts see changes");
            Err(SourceError::CutOff("it is silent".to_string()))
        }
    }
}
