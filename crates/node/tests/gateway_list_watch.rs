//! Listing and watching a store: number of calls, and when changes are reported. Uses virtual time.

use std::{sync, sync::atomic, time::Duration};

use rstest::rstest;
use tokio::time;
use yuccatide_node::gateway::{
    Change, Followed, Freshness, Listing, StoreError, StoreEvent, StoreReader, StoreState,
    WatchBatch, WatchOptions, list_and_watch,
};
use yuccatide_steering::gateway::StoreRevision;

const OPTIONS: WatchOptions = WatchOptions {
    initial_freshness: Freshness::MayBeStale,
    batch_delay: Duration::from_millis(800),
    verification_interval: Duration::from_millis(750),
};

/// Position in the first era of the store.
fn at(revision: u64) -> StoreRevision {
    StoreRevision { era: 1, revision }
}

/// The position after another one.
fn next(since: StoreRevision) -> StoreRevision {
    at(since.revision + 1)
}

/// A store that changes at a steady rate and can be taken down.
struct Store {
    is_down: atomic::AtomicBool,
    error: StoreError,
    calls: atomic::AtomicU32,
    lists: sync::Mutex<Vec<Freshness>>,
}

impl Default for Store {
    fn default() -> Store {
        Store::failing_with(StoreError::Unavailable("status 503".to_string()))
    }
}

impl Store {
    fn failing_with(error: StoreError) -> Store {
        Store {
            is_down: atomic::AtomicBool::new(false),
            error,
            calls: atomic::AtomicU32::new(0),
            lists: sync::Mutex::new(Vec::new()),
        }
    }

    fn shared(self) -> sync::Arc<Store> {
        sync::Arc::new(self)
    }

    fn reader(self: &sync::Arc<Store>, change_interval: Duration) -> StoreReader<u64> {
        let (lister, watcher) = (self.clone(), self.clone());
        StoreReader {
            list: Box::new(move |freshness| {
                let store = lister.clone();
                Box::pin(async move {
                    store.call()?;
                    store.lists.lock().unwrap().push(freshness);
                    Ok(Listing {
                        objects: vec![0],
                        revision: at(1),
                    })
                })
            }),
            watch: Box::new(move |since, _| {
                let store = watcher.clone();
                Box::pin(async move {
                    store.call()?;
                    time::sleep(change_interval).await;
                    store.check_available()?;
                    Ok(WatchBatch {
                        changes: vec![Change::Set(since.revision)],
                        revision: next(since),
                        newest: Some(next(since)),
                        may_be_cut: false,
                    })
                })
            }),
            ..unfollowed()
        }
    }

    fn call(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.check_available()
    }

    fn check_available(&self) -> Result<(), StoreError> {
        match self.is_down.load(atomic::Ordering::Relaxed) {
            true => Err(self.error.clone()),
            false => Ok(()),
        }
    }

    fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, atomic::Ordering::Relaxed);
    }

    fn take_calls(&self) -> u32 {
        self.calls.swap(0, atomic::Ordering::Relaxed)
    }
}

/// Calls of a host that reads the store itself; its list and watch never end.
fn unfollowed() -> StoreReader<u64> {
    StoreReader {
        list: Box::new(|_| Box::pin(std::future::pending())),
        watch: Box::new(|_, _| Box::pin(std::future::pending())),
        follow_list: Box::new(|| Box::pin(async { Followed::NoSource })),
        follow: Box::new(|_| Box::pin(async { Followed::NoSource })),
        copy: sync::Arc::default(),
        activity: sync::Arc::default(),
    }
}

/// Watches three kinds for `duration`; counts how often each was told that the store is available.
async fn watch_three_kinds(
    store: &sync::Arc<Store>,
    change_interval: Duration,
    duration: Duration,
) -> [u32; 3] {
    let store_state = StoreState::default();
    let mut counts = [0; 3];
    let [a, b, c] = &mut counts;
    let count_available = |count: &mut u32, event: StoreEvent<u64>| {
        if matches!(event, StoreEvent::Available(true)) {
            *count += 1;
        }
    };
    let all = async {
        tokio::join!(
            list_and_watch(
                "a",
                OPTIONS,
                &store_state,
                store.reader(change_interval),
                |event| count_available(a, event)
            ),
            list_and_watch(
                "b",
                OPTIONS,
                &store_state,
                store.reader(change_interval),
                |event| count_available(b, event)
            ),
            list_and_watch(
                "c",
                OPTIONS,
                &store_state,
                store.reader(change_interval),
                |event| count_available(c, event)
            ),
        )
    };
    assert!(time::timeout(duration, all).await.is_err());
    counts
}

#[tokio::test(start_paused = true)]
async fn changes_in_quick_succession_are_batched() {
    let store = sync::Arc::new(Store::default());
    watch_three_kinds(&store, Duration::from_millis(10), Duration::from_secs(10)).await;
    let calls = store.take_calls();
    // Per kind: a list and a watch every 810 ms for 10 s, which is 14 calls.
    assert!(calls <= 3 * 14, "{calls}");
}

#[rstest]
#[case::rejected(StoreError::Unavailable("status 503".to_string()))]
#[case::connection_reset(StoreError::Interrupted("connection reset".to_string()))]
#[tokio::test(start_paused = true)]
async fn only_one_kind_probes_an_unavailable_store(#[case] error: StoreError) {
    let store = sync::Arc::new(Store::failing_with(error));
    let switch = store.clone();
    let script = tokio::spawn(async move {
        time::sleep(Duration::from_secs(2)).await;
        switch.set_down(true);
        switch.take_calls();
        time::sleep(Duration::from_secs(10)).await;
        switch.take_calls()
    });
    watch_three_kinds(&store, Duration::from_secs(1), Duration::from_secs(13)).await;
    let calls = script.await.unwrap();
    // Probes for 10 s: every 500 ms once the backoff has reached its maximum.
    assert!((15..=30).contains(&calls), "{calls}");
}

#[tokio::test(start_paused = true)]
async fn all_kinds_are_listed_again_once_the_store_is_back() {
    let store = sync::Arc::new(Store::default());
    let switch = store.clone();
    let script = tokio::spawn(async move {
        time::sleep(Duration::from_secs(2)).await;
        switch.set_down(true);
        time::sleep(Duration::from_secs(6)).await;
        switch.set_down(false);
        switch.lists.lock().unwrap().clear();
        time::sleep(Duration::from_millis(600)).await;
        let lists = switch.lists.lock().unwrap().clone();
        assert_eq!(lists, [Freshness::Current; 3]);
    });
    let counts = watch_three_kinds(&store, Duration::from_secs(1), Duration::from_secs(12)).await;
    // Each kind has at least one list and one watch before the failure, and again after it.
    assert!(counts.iter().all(|count| *count >= 4), "{counts:?}");
    script.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn each_kind_is_listed_once_from_a_possibly_stale_state() {
    let store = sync::Arc::new(Store::default());
    watch_three_kinds(&store, Duration::from_secs(1), Duration::from_secs(3)).await;
    assert_eq!(*store.lists.lock().unwrap(), [Freshness::MayBeStale; 3]);
}

#[tokio::test(start_paused = true)]
async fn a_stale_watch_is_abandoned_once_other_hosts_have_seen_a_change() {
    let store = sync::Arc::new(Store::default());
    let store_state = StoreState::default();
    let no_change = Duration::from_secs(3600);
    let script = async {
        time::sleep(Duration::from_secs(5)).await;
        store.take_calls();
        store_state.record("other", at(7));
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(store.take_calls(), 0);
        store_state.record("a", at(7));
        time::sleep(Duration::from_secs(2)).await;
        store.take_calls()
    };
    let watching = list_and_watch("a", OPTIONS, &store_state, store.reader(no_change), |_| {});
    let calls = tokio::select! {
        calls = script => calls,
        () = watching => unreachable!("list_and_watch never returns"),
    };
    // The watch is retried once; then the objects are listed.
    assert!((1..=3).contains(&calls), "{calls}");
}

#[tokio::test(start_paused = true)]
async fn a_probe_does_not_wait_for_a_change() {
    let store_state = StoreState::default();
    let start = time::Instant::now();
    // The only change comes after 1 s. This watch then waits between two calls when the other kind
    // finds the store unavailable, so it may become the one that probes.
    let quiet = StoreReader {
        list: Store::default().shared().reader(Duration::ZERO).list,
        watch: Box::new(move |since, _| {
            Box::pin(async move {
                if since > at(1) {
                    std::future::pending::<()>().await;
                }
                time::sleep(Duration::from_secs(1)).await;
                Ok(WatchBatch {
                    changes: vec![Change::Set(since.revision)],
                    revision: next(since),
                    newest: Some(next(since)),
                    may_be_cut: false,
                })
            })
        }),
        ..unfollowed()
    };
    let failing = StoreReader {
        list: Box::new(move |_| {
            Box::pin(async move {
                match start.elapsed() < Duration::from_secs(3) {
                    true => Err(StoreError::Unavailable("status 503".to_string())),
                    false => Ok(Listing {
                        objects: vec![0],
                        revision: at(1),
                    }),
                }
            })
        }),
        watch: Box::new(|_, _| Box::pin(std::future::pending())),
        ..unfollowed()
    };
    let is_back = sync::Arc::new(atomic::AtomicBool::new(false));
    let set_back = is_back.clone();
    let both = async {
        tokio::join!(
            list_and_watch("a", OPTIONS, &store_state, quiet, |_| {}),
            async {
                time::sleep(Duration::from_millis(1500)).await;
                let record = |event| {
                    if matches!(event, StoreEvent::Available(true)) {
                        set_back.store(true, atomic::Ordering::Relaxed);
                    }
                };
                list_and_watch("b", OPTIONS, &store_state, failing, record).await;
            },
        )
    };
    assert!(time::timeout(Duration::from_secs(6), both).await.is_err());
    assert!(is_back.load(atomic::Ordering::Relaxed));
}
