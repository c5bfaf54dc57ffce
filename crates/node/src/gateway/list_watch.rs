//! Lists one kind of object in the platform's store and then watches it by long polling.

use std::{future, pin, sync, time};

use thiserror::Error;
use yuccatide_steering::gateway as decisions;

use super::{activity_mark, store_copy, store_state};

/// Longest time for which the store holds a watch open without changes.
const MAX_WATCH_TIME: time::Duration = time::Duration::from_secs(30);

/// Time for which the store holds the first watch after an interrupted one, or after one whose answer
/// may be cut.
const FIRST_WATCH_TIME: time::Duration = time::Duration::from_millis(50);

/// Time beyond the end of a watch after which it counts as silent.
const WATCH_SILENCE: time::Duration = time::Duration::from_millis(400);

/// The same for the first watch after an interrupted one: the store may only be slow.
const FIRST_WATCH_SILENCE: time::Duration = time::Duration::from_millis(1500);

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
    Conflict {
        /// Revision that the object has; `None` if the response does not tell.
        revision: Option<u64>,
    },
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
    /// The object with this name was deleted.
    Deleted(String),
    /// The object with this name can no longer be decoded.
    Unreadable(String),
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
    /// Whether the store may have more changes than it has put into this answer.
    pub may_be_cut: bool,
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
    let mut watcher = Watcher::new(kind, options, state, reader);
    let mut was_store_failed = false;
    loop {
        let permit = state.acquire_permit().await;
        if permit.is_some() {
            // A list shows at once that the store is back; a watch would wait for a change.
            watcher.revision = None;
        }
        let followed = follow(&watcher.reader, watcher.revision).await;
        let is_followed = matches!(followed, Followed::Read(_));
        let is_store_failed = matches!(followed, Followed::StoreFailed);
        if is_store_failed && !was_store_failed {
            // Entries that lapsed in an outage which only the other hosts noticed are kept, too.
            on_event(StoreEvent::Available(false));
        }
        was_store_failed = is_store_failed;
        let read = watcher.read(followed).await;
        let read = read.and_then(|read| read.check_era(watcher.revision, state));
        let result = read.map(|read| watcher.apply(read, is_followed, &mut on_event));
        match result {
            Ok(has_changes) => {
                watcher.was_interrupted = false;
                state.record_success(permit);
                // The host that reads the store has waited already.
                if has_changes && !is_followed && !watcher.may_have_more {
                    tokio::select! {
                        () = tokio::time::sleep(options.batch_delay) => {}
                        () = watcher.reader.copy.wanted() => {}
                    }
                }
            }
            // The store may end a pending watch at any time; if it ends every call, it is down.
            Err(StoreError::Interrupted(reason)) if watcher.may_try_again() => {
                watcher.was_interrupted = true;
                log::debug!(kind, reason:%; "store watch interrupted; retrying");
                drop(permit);
                tokio::time::sleep(store_state::INITIAL_BACKOFF).await;
            }
            Err(StoreError::Silent(reason)) if watcher.may_try_again() => {
                watcher.was_interrupted = true;
                watcher.is_connection_suspect = true;
                log::info!(kind, reason:%; "store watch given up; trying a new connection");
            }
            Err(e) => {
                log::warn!(kind, error:% = e; "store call failed");
                watcher.revision = None;
                // What other hosts read from this one holds until it has listed again.
                if e == StoreError::HistoryGone {
                    state.record_success(permit);
                    continue;
                }
                watcher.reader.copy.set_not_current();
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

/// How far the reading of one kind has come.
struct Watcher<'a, T> {
    kind: &'a str,
    options: WatchOptions,
    state: &'a store_state::StoreState,
    reader: StoreReader<T>,
    /// Freshness of the next list.
    freshness: Freshness,
    /// Position to watch from; `None` if all objects are to be listed.
    revision: Option<decisions::StoreRevision>,
    /// Position of the last list.
    listed: Option<decisions::StoreRevision>,
    /// Whether the last watch was interrupted or given up.
    was_interrupted: bool,
    /// Whether its connection may be silent.
    is_connection_suspect: bool,
    /// Whether the store may have more changes than the last watch returned.
    may_have_more: bool,
    /// Time of the last call to the store itself.
    last_call: tokio::time::Instant,
}

impl<'a, T> Watcher<'a, T> {
    fn new(
        kind: &'a str,
        options: WatchOptions,
        state: &'a store_state::StoreState,
        reader: StoreReader<T>,
    ) -> Watcher<'a, T> {
        Watcher {
            kind,
            options,
            state,
            reader,
            freshness: options.initial_freshness,
            revision: None,
            listed: None,
            was_interrupted: false,
            is_connection_suspect: false,
            may_have_more: false,
            last_call: tokio::time::Instant::now(),
        }
    }

    /// Whether an interrupted watch is tried once more before the store counts as unavailable.
    fn may_try_again(&self) -> bool {
        self.revision.is_some() && !self.was_interrupted
    }

    /// Reads the store itself, unless another host was followed or can't reach the store either.
    async fn read(&mut self, followed: Followed<Read<T>>) -> Result<Read<T>, StoreError> {
        let interval = self.options.verification_interval;
        let freshness = std::mem::replace(&mut self.freshness, Freshness::Current);
        match followed {
            Followed::Read(read) => return Ok(read),
            Followed::HistoryGone => return Err(StoreError::HistoryGone),
            Followed::StoreFailed
                if !self
                    .state
                    .may_call_store(self.kind, interval, self.last_call) =>
            {
                let reason = "the hosts that are followed can't reach it";
                return Err(StoreError::Unavailable(reason.to_string()));
            }
            Followed::StoreFailed | Followed::NoSource => {}
        }
        self.last_call = tokio::time::Instant::now();
        match self.revision {
            Some(since) if since.era < self.state.era() => Err(StoreError::HistoryGone),
            Some(since) => self.watch(since).await.map(Read::Changes),
            None => (self.reader.list)(freshness).await.map(Read::Listing),
        }
    }

    async fn watch(
        &mut self,
        since: decisions::StoreRevision,
    ) -> Result<WatchBatch<T>, StoreError> {
        let is_suspect = std::mem::take(&mut self.is_connection_suspect);
        if self.was_interrupted {
            return (self.reader.watch)(since, WatchLimits::first(is_suspect)).await;
        }
        let interval = self.options.verification_interval;
        let limits = match self.may_have_more {
            true => WatchLimits::new(Some(FIRST_WATCH_TIME)),
            false => WatchLimits::new(self.state.watch_time(self.kind, interval)),
        };
        let changes = (self.reader.watch)(since, limits);
        tokio::select! {
            batch = changes => batch,
            reason = self.until_given_up(since) => Err(reason),
        }
    }

    /// Waits until a watch does not deliver a change that other hosts have seen, nobody has verified
    /// the kind for too long, or the store has come back from an older copy.
    async fn until_given_up(&self, since: decisions::StoreRevision) -> StoreError {
        let Watcher { kind, state, .. } = *self;
        let timeout = store_state::STALE_WATCH_TIMEOUT;
        let interval = self.options.verification_interval;
        tokio::select! {
            () = state.wait_until_restored(since.era) => StoreError::HistoryGone,
            () = state.wait_until_stale(kind, since, timeout, &self.reader.activity) => {
                log::info!(kind, era = since.era, since = since.revision; "store watch is stale; other hosts have seen newer changes");
                StoreError::Silent("stale watch".to_string())
            }
            () = state.wait_until_overdue(kind, interval) => {
                StoreError::Silent("no host has verified what is known".to_string())
            }
        }
    }

    /// Reports what was read; returns whether it contains changes.
    fn apply(
        &mut self,
        read: Read<T>,
        is_followed: bool,
        on_event: &mut impl FnMut(StoreEvent<T>),
    ) -> bool {
        let silence = self.state.record_answer(self.kind, read.newest());
        if !read.is_empty() {
            log_read(self.kind, &read, is_followed, silence);
        }
        // A source whose watch hangs answers without changes, too.
        if !is_followed || !read.is_empty() {
            on_event(StoreEvent::Available(true));
        }
        match read {
            Read::Listing(listing) => {
                let at = listing.revision;
                self.state.record_era(at.era);
                self.revision = Some(at);
                let last = self.listed.replace(at);
                on_event(match last.is_some_and(|last| last.era < at.era) {
                    true => StoreEvent::Restored(listing.objects),
                    false => StoreEvent::Listed(listing.objects),
                });
                false
            }
            Read::Changes(batch) => {
                if let Some(newest) = batch.newest {
                    self.state.record(self.kind, newest);
                }
                // Versions of one large object are still gathered: each costs more than its call.
                let is_one = batch.changes.len() <= 1;
                self.may_have_more = batch.may_be_cut && !is_followed && !is_one;
                if let Some(listed) = self.listed.filter(|_| !is_followed && !batch.may_be_cut) {
                    let interval = self.options.verification_interval;
                    self.state.record_store_answer(self.kind, interval, listed);
                }
                self.revision = self.revision.max(Some(batch.revision));
                let has_changes = !batch.changes.is_empty();
                let changes = batch.changes.into_iter();
                changes.for_each(|change| on_event(StoreEvent::Changed(change)));
                has_changes
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
