//! Following one kind of object in the platform's store: a list, then one waiting watch.

use std::{collections, future, pin, time};

use thiserror::Error;
use tokio::sync;

/// First pause after a failed call; it doubles with each further one.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest pause after a failed call: news may wait for it after the store's return.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time after another host's word of a change in which a waiting watch has to bring it: the store
/// answers in a round trip, and in a quarter of a second while it is slow.
const OVERTAKEN: time::Duration = time::Duration::from_millis(800);

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

/// Revision of the newest change of each kind that any host has seen.
pub type Newest = collections::BTreeMap<String, u64>;

/// What all that follow a store know together: whether it answers (while it does not, one of them
/// tries again and the others wait for its success) and what other hosts have seen of it.
#[derive(Debug)]
pub struct Access {
    answers: sync::watch::Sender<bool>,
    newest: sync::watch::Sender<Newest>,
    /// Pause before the next trial.
    trial: sync::Mutex<time::Duration>,
}

/// Permission to call the store; a trial while it does not answer.
type Turn<'a> = Option<sync::MutexGuard<'a, time::Duration>>;

impl Default for Access {
    fn default() -> Access {
        Access {
            answers: sync::watch::Sender::new(true),
            newest: sync::watch::Sender::new(Newest::new()),
            trial: sync::Mutex::new(PAUSE),
        }
    }
}

impl Access {
    /// Waits until the store may be called.
    async fn turn(&self) -> Turn<'_> {
        let mut answers = self.answers.subscribe();
        loop {
            if *answers.borrow_and_update() {
                return None;
            }
            tokio::select! {
                trial = self.trial.lock() => return Some(trial),
                // The sender lives as long as `self`.
                _ = answers.changed() => {}
            }
        }
    }

    /// Revision of the newest change of each kind that this host knows of.
    pub fn newest(&self) -> Newest {
        self.newest.borrow().clone()
    }

    /// Takes the revision of a change that a host has seen.
    pub fn learn(&self, kind: &str, revision: u64) {
        self.newest.send_if_modified(|newest| {
            let is_newer = newest.get(kind).is_none_or(|known| *known < revision);
            if is_newer {
                newest.insert(kind.to_string(), revision);
            }
            is_newer
        });
    }

    /// Waits until a watch from a revision should have brought what another host has seen: its
    /// connection is silent.
    async fn overtaken(&self, kind: &str, since: u64) {
        let is_newer = |newest: &Newest| newest.get(kind).is_some_and(|seen| *seen > since);
        if self.newest.subscribe().wait_for(is_newer).await.is_ok() {
            tokio::time::sleep(OVERTAKEN).await;
        }
    }

    /// Takes that the store answered.
    fn answered(&self, turn: Turn<'_>) {
        if let Some(mut pause) = turn {
            *pause = PAUSE;
        }
        self.answers.send_replace(true);
    }

    /// Takes that it did not, and waits before the next trial.
    async fn failed(&self, turn: Turn<'_>, longest: time::Duration) {
        self.answers.send_replace(false);
        match turn {
            Some(mut pause) => {
                tokio::time::sleep((*pause).min(longest)).await;
                *pause = (*pause * 2).min(MAX_PAUSE);
            }
            None => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Reports all objects of a kind and then each change, for ever.
pub async fn follow<T>(
    kind: &str,
    pace: Pace,
    access: &Access,
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
                tokio::time::sleep(PAUSE).await;
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
                    _ => MAX_PAUSE,
                };
                access.failed(turn, longest).await;
            }
        }
    }
}

/// Waits for changes, for no longer than other hosts have seen none.
async fn watch<T>(
    kind: &str,
    access: &Access,
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
