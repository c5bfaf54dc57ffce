//! Lists one kind of object in the platform's store and then watches it by long polling.

use std::{future, pin, sync, time};

use thiserror::Error;
use yuccatide_steering::gateway as decisions;

use super::{activity_mark, store_copy, store_state};

/// Longest time for which the store holds a watch open without changes.
const MAX_WATCH_TIME: time::Duration = time::Duration::from_secs(30);

/// Time for which the store holds the first watch after an interrupted one.
const FIRST_WATCH_TIME: time::Duration = time::Duration::from_millis(50);

/// Time beyond the end of a watch after which it counts as silent.
const WATCH_SILENCE: time::Duration = time::Duration::from_millis(400);

/// The same for the first watch after an interrupted one: the store may only be slow.
const FIRST_WATCH_SILENCE: time::Duration = time::Duration::from_millis(700);

/// Longest delay after a failed connection attempt; such an attempt puts no load on the store.
const MAX_CONNECT_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No connection to the store could be opened.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The store rejected the call, did not respond to it in time, or sent a response that can't be
    /// decoded.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// A call on an open connection got no response in time.
    #[error("store silent: {0}")]
    Silent(String),
    /// The call was interrupted before its response.
    #[error("store call interrupted: {0}")]
    Interrupted(String),
    /// The object exists already, or has another revision.
    #[error("object already exists or has another revision")]
    Conflict,
    /// The store no longer has the history that a watch starts from.
    #[error("watch history is no longer available")]
    HistoryGone,
    /// The response is from before the store came back from an older copy.
    #[error("response of an earlier era of the store")]
    Outdated,
}

/// All objects of a kind.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects that could be decoded.
    pub objects: Vec<T>,
    /// Position of the store.
    pub revision: decisions::StoreRevision,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// The object was created or updated.
    Set(T),
    /// The object with this name was deleted or can no longer be decoded.
    Deleted(String),
}

/// Changes since a revision, as one watch call returns them.
#[derive(Clone, Debug)]
pub struct WatchBatch<T> {
    /// Changes, oldest first.
    pub changes: Vec<Change<T>>,
    /// Position to continue the watch from.
    pub revision: decisions::StoreRevision,
    /// Position of the newest change; `None` if there is none.
    pub newest: Option<decisions::StoreRevision>,
}

/// Future of a call to the store.
type StoreFuture<T> = pin::Pin<Box<dyn future::Future<Output = Result<T, StoreError>> + Send>>;

/// Result of reading from another host of the data centre.
#[derive(Clone, Debug)]
pub enum Followed<T> {
    /// What the other host has.
    Read(T),
    /// No host to read from could answer, or this host reads the store itself.
    NoSource,
    /// No host to read from could answer, and one of them answered that the store fails for it.
    StoreFailed,
    /// The other host no longer has the history that a watch starts from; it can be listed.
    HistoryGone,
}

/// Future of reading from another host.
type FollowFuture<T> = pin::Pin<Box<dyn future::Future<Output = Followed<T>> + Send>>;

/// How recent a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It may be seconds old. It costs less, and a watch from its revision delivers later changes.
    MayBeStale,
    /// It reflects the current state.
    Current,
}

/// How long a watch is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLimits {
    /// Time for which the store holds the watch open without changes.
    pub wait: time::Duration,
    /// Time beyond it after which the call counts as silent, and longest pause within the answer.
    pub silence: time::Duration,
    /// Whether the open connections may be silent, so that the call needs a new one.
    pub needs_new_connection: bool,
}

impl WatchLimits {
    /// Limits of a watch that ends after `wait`; of a long one if there is none.
    fn new(wait: Option<time::Duration>) -> WatchLimits {
        WatchLimits {
            wait: wait.unwrap_or(MAX_WATCH_TIME).max(FIRST_WATCH_TIME),
            silence: WATCH_SILENCE,
            needs_new_connection: false,
        }
    }

    /// Limits of the first watch after an interrupted one, which shows at once that the store
    /// responds, and its era.
    fn first(needs_new_connection: bool) -> WatchLimits {
        WatchLimits {
            wait: FIRST_WATCH_TIME,
            silence: FIRST_WATCH_SILENCE,
            needs_new_connection,
        }
    }
}

/// Calls that read one kind of object.
pub struct StoreReader<T> {
    /// Lists all objects.
    pub list: Box<dyn Fn(Freshness) -> StoreFuture<Listing<T>> + Send + Sync>,
    /// Waits for changes since a position.
    pub watch: Box<
        dyn Fn(decisions::StoreRevision, WatchLimits) -> StoreFuture<WatchBatch<T>> + Send + Sync,
    >,
    /// Lists all objects that another host has.
    pub follow_list: Box<dyn Fn() -> FollowFuture<Listing<T>> + Send + Sync>,
    /// Waits for changes since a position that another host has seen.
    pub follow: Box<dyn Fn(decisions::StoreRevision) -> FollowFuture<WatchBatch<T>> + Send + Sync>,
    /// What other hosts read from this one.
    pub copy: sync::Arc<store_copy::StoreCopy>,
    /// Arrival of the answers to these calls.
    pub activity: sync::Arc<activity_mark::ActivityMark>,
}

/// How one kind of object is listed and watched.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// How recent the first list has to be.
    pub initial_freshness: Freshness,
    /// Delay after a watch that returned changes. Changes in quick succession then arrive with one
    /// call; every call incurs a cost.
    pub batch_delay: time::Duration,
    /// Time between the verifications of the kind by one of the hosts.
    pub verification_interval: time::Duration,
}

/// What a watch reports of one kind of object.
#[derive(Clone, Debug)]
pub enum StoreEvent<T> {
    /// All objects.
    Listed(Vec<T>),
    /// All objects of a store that has come back from an older copy since the last list.
    Restored(Vec<T>),
    /// One change.
    Changed(Change<T>),
    /// Whether the store responds.
    Available(bool),
}

/// Reports all objects of a kind and then each change. Never returns.
pub async fn list_and_watch<T>(
    kind: &str,
    options: WatchOptions,
    state: &store_state::StoreState,
    reader: StoreReader<T>,
    mut on_event: impl FnMut(StoreEvent<T>),
) {
    let mut freshness = options.initial_freshness;
    let interval = options.verification_interval;
    let mut revision: Option<decisions::StoreRevision> = None;
    let mut listed: Option<decisions::StoreRevision> = None;
    let mut was_interrupted = false;
    let mut is_connection_suspect = false;
    let mut last_call = tokio::time::Instant::now();
    let mut was_store_failed = false;
    loop {
        let permit = state.acquire_permit().await;
        if permit.is_some() {
            // A list shows at once that the store is back; a watch would wait for a change.
            revision = None;
        }
        let followed = follow(&reader, revision).await;
        let is_followed = matches!(followed, Followed::Read(_));
        let is_store_failed = matches!(followed, Followed::StoreFailed);
        if is_store_failed && !was_store_failed {
            // Entries that lapsed in an outage which only the other hosts noticed are kept, too.
            on_event(StoreEvent::Available(false));
        }
        was_store_failed = is_store_failed;
        let may_call = !is_store_failed || state.may_serve(kind, interval, last_call);
        if !is_followed && may_call {
            last_call = tokio::time::Instant::now();
        }
        let read = match (followed, revision) {
            (Followed::Read(read), _) => Ok(read),
            _ if !may_call => Err(StoreError::Unavailable(
                "the hosts that are followed can't reach it".to_string(),
            )),
            (Followed::HistoryGone, _) => Err(StoreError::HistoryGone),
            (_, Some(since)) if since.era < state.era() => Err(StoreError::HistoryGone),
            (_, None) => (reader.list)(freshness).await.map(Read::Listing),
            (_, Some(since)) => {
                let limits = match was_interrupted {
                    true => WatchLimits::first(is_connection_suspect),
                    false => WatchLimits::new(state.watch_time(kind, interval)),
                };
                let changes = (reader.watch)(since, limits);
                let watched = match was_interrupted {
                    // It is short.
                    true => changes.await,
                    false => {
                        let activity = &reader.activity;
                        watch_until_stale(kind, state, changes, since, interval, activity).await
                    }
                };
                watched.map(Read::Changes)
            }
        };
        is_connection_suspect = false;
        let mut has_changes = false;
        let result = read
            .and_then(|read| read.check_era(revision, state))
            .map(|read| {
                let silence = state.record_answer(kind, read.newest());
                if !read.is_empty() {
                    log_read(kind, &read, is_followed, silence);
                }
                // A source whose watch hangs answers without changes, too.
                if !is_followed || !read.is_empty() {
                    on_event(StoreEvent::Available(true));
                }
                match read {
                    Read::Listing(listing) => {
                        let at = listing.revision;
                        state.record_era(at.era);
                        revision = Some(at);
                        let is_restored = listed.replace(at).is_some_and(|last| last.era < at.era);
                        on_event(match is_restored {
                            true => StoreEvent::Restored(listing.objects),
                            false => StoreEvent::Listed(listing.objects),
                        });
                    }
                    Read::Changes(batch) => {
                        if let Some(newest) = batch.newest {
                            state.record(kind, newest);
                        }
                        if let Some(listed) = listed.filter(|_| !is_followed) {
                            state.record_watch(kind, interval, listed);
                        }
                        revision = revision.max(Some(batch.revision));
                        has_changes = !batch.changes.is_empty();
                        batch
                            .changes
                            .into_iter()
                            .for_each(|change| on_event(StoreEvent::Changed(change)));
                    }
                }
            });
        freshness = Freshness::Current;
        match result {
            Ok(()) => {
                was_interrupted = false;
                state.record_success(permit);
                // The host that reads the store has waited already.
                if has_changes && !is_followed {
                    tokio::time::sleep(options.batch_delay).await;
                }
            }
            // The store may end a pending watch at any time; if it ends every call, it is down.
            Err(StoreError::Interrupted(reason)) if revision.is_some() && !was_interrupted => {
                was_interrupted = true;
                log::debug!(kind, reason:%; "store watch interrupted; retrying");
                drop(permit);
                tokio::time::sleep(store_state::INITIAL_BACKOFF).await;
            }
            Err(StoreError::Silent(reason)) if revision.is_some() && !was_interrupted => {
                was_interrupted = true;
                is_connection_suspect = true;
                log::info!(kind, reason:%; "store watch given up; trying a new connection");
            }
            Err(e) => {
                log::warn!(kind, error:% = e; "store call failed");
                revision = None;
                // What other hosts read from this one holds until it has listed again.
                if e == StoreError::HistoryGone {
                    state.record_success(permit);
                    continue;
                }
                reader.copy.set_not_current();
                on_event(StoreEvent::Available(false));
                let max_backoff = match e {
                    StoreError::Unreachable(_) => MAX_CONNECT_BACKOFF,
                    _ => store_state::MAX_BACKOFF,
                };
                state.back_off(permit, max_backoff).await;
            }
        }
    }
}

/// Logs what was read, with the time since the answer before it, in which this host knew nothing
/// newer.
fn log_read<T>(kind: &str, read: &Read<T>, is_followed: bool, silence: Option<time::Duration>) {
    let source = match is_followed {
        true => "host",
        false => "store",
    };
    let silent_ms = silence.map(|silence| silence.as_millis() as u64);
    let at = read.position();
    match read {
        Read::Listing(listing) => {
            let objects = listing.objects.len();
            log::info!(kind, source, era = at.era, revision = at.revision, objects, silent_ms; "objects listed");
        }
        Read::Changes(batch) => {
            let changes = batch.changes.len();
            log::info!(kind, source, era = at.era, revision = at.revision, changes, silent_ms; "changes read");
        }
    }
}

/// What was read of one kind.
enum Read<T> {
    Listing(Listing<T>),
    Changes(WatchBatch<T>),
}

impl<T> Read<T> {
    /// Checks that it belongs to the newest era of the store that is known, and to the history that
    /// a watch from `since` follows.
    fn check_era(
        self,
        since: Option<decisions::StoreRevision>,
        state: &store_state::StoreState,
    ) -> Result<Read<T>, StoreError> {
        let era = self.position().era;
        if matches!(self, Read::Changes(_)) && since.is_some_and(|since| since.era != era) {
            return Err(StoreError::HistoryGone);
        }
        match era < state.era() {
            true => Err(StoreError::Outdated),
            false => Ok(self),
        }
    }

    /// Position of the store that it brings the reader to.
    fn position(&self) -> decisions::StoreRevision {
        match self {
            Read::Listing(listing) => listing.revision,
            Read::Changes(batch) => batch.revision,
        }
    }

    /// Newest change that it brings.
    fn newest(&self) -> decisions::StoreRevision {
        match self {
            Read::Listing(listing) => listing.revision,
            Read::Changes(batch) => batch.newest.unwrap_or_default(),
        }
    }

    /// Whether it tells nothing new of the store.
    fn is_empty(&self) -> bool {
        matches!(self, Read::Changes(batch) if batch.changes.is_empty())
    }
}

/// Reads from another host: all objects without a position, or else the changes since it.
async fn follow<T>(
    reader: &StoreReader<T>,
    revision: Option<decisions::StoreRevision>,
) -> Followed<Read<T>> {
    match revision {
        None => (reader.follow_list)().await.map(Read::Listing),
        Some(since) => (reader.follow)(since).await.map(Read::Changes),
    }
}

impl<T> Followed<T> {
    /// Converts what was read.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Followed<U> {
        match self {
            Followed::Read(read) => Followed::Read(f(read)),
            Followed::NoSource => Followed::NoSource,
            Followed::StoreFailed => Followed::StoreFailed,
            Followed::HistoryGone => Followed::HistoryGone,
        }
    }
}

/// Waits for changes; fails if the watch does not deliver a change that other hosts have seen, if
/// nobody has verified the kind for too long, or if the store has come back from an older copy.
async fn watch_until_stale<T>(
    kind: &str,
    state: &store_state::StoreState,
    changes: StoreFuture<WatchBatch<T>>,
    since: decisions::StoreRevision,
    interval: time::Duration,
    activity: &activity_mark::ActivityMark,
) -> Result<WatchBatch<T>, StoreError> {
    let timeout = store_state::STALE_WATCH_TIMEOUT;
    tokio::select! {
        batch = changes => batch,
        () = state.wait_until_restored(since.era) => Err(StoreError::HistoryGone),
        () = state.wait_until_stale(kind, since, timeout, activity) => {
            log::info!(kind, era = since.era, since = since.revision; "store watch is stale; other hosts have seen newer changes");
            Err(StoreError::Silent("stale watch".to_string()))
        }
        () = state.wait_until_overdue(kind, interval) => {
            Err(StoreError::Silent("no host has verified what is known".to_string()))
        }
    }
}
