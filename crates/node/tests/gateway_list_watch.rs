//! Following a store: how many calls it takes, and when news arrive.  Time is virtual.

use std::{sync, sync::atomic, time::Duration};

use rstest::rstest;
use tokio::time;
use yuccatide_node::gateway::{
    Change, Freshness, Listing, StoreError, StoreEvent, StoreReader, StoreState, WatchBatch,
    WatchOptions, list_and_watch,
};

const OPTIONS: WatchOptions = WatchOptions {
    initial_freshness: Freshness::MayBeStale,
    batch_delay: Duration::from_millis(800),
};

/// A store that changes at a steady rate, and is down on demand.
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

    fn source(self: &sync::Arc<Store>, event_gap: Duration) -> StoreReader<u64> {
        let (lister, watcher) = (self.clone(), self.clone());
        StoreReader {
            list: Box::new(move |freshness| {
                let store = lister.clone();
                Box::pin(async move {
                    store.call()?;
                    store.lists.lock().unwrap().push(freshness);
                    Ok(Listing {
                        objects: vec![0],
                        revision: 1,
                    })
                })
            }),
            watch: Box::new(move |since| {
                let store = watcher.clone();
                Box::pin(async move {
                    store.call()?;
                    time::sleep(event_gap).await;
                    store.up()?;
                    Ok(WatchBatch {
                        changes: vec![Change::Set(since)],
                        revision: since + 1,
                        newest_revision: since + 1,
                    })
                })
            }),
        }
    }

    fn call(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.up()
    }

    fn up(&self) -> Result<(), StoreError> {
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

/// Follows three kinds for a while; counts the times at which each was told that the store answers.
async fn follow_three(
    store: &sync::Arc<Store>,
    event_gap: Duration,
    lasting: Duration,
) -> [u32; 3] {
    let store_state = StoreState::default();
    let mut told = [0; 3];
    let [a, b, c] = &mut told;
    let one = |count: &mut u32, news: StoreEvent<u64>| {
        if matches!(news, StoreEvent::Available(true)) {
            *count += 1;
        }
    };
    let all = async {
        tokio::join!(
            list_and_watch(
                "a",
                OPTIONS,
                &store_state,
                store.source(event_gap),
                |news| one(a, news)
            ),
            list_and_watch(
                "b",
                OPTIONS,
                &store_state,
                store.source(event_gap),
                |news| one(b, news)
            ),
            list_and_watch(
                "c",
                OPTIONS,
                &store_state,
                store.source(event_gap),
                |news| one(c, news)
            ),
        )
    };
    assert!(time::timeout(lasting, all).await.is_err());
    told
}

#[tokio::test(start_paused = true)]
async fn changes_of_a_moment_come_with_one_call() {
    let store = sync::Arc::new(Store::default());
    follow_three(&store, Duration::from_millis(10), Duration::from_secs(10)).await;
    let calls = store.take_calls();
    assert!(calls <= 3 * 14, "{calls}");
}

#[rstest]
#[case::turned_away(StoreError::Unavailable("status 503".to_string()))]
#[case::reset(StoreError::Interrupted("connection reset".to_string()))]
#[tokio::test(start_paused = true)]
async fn one_kind_tries_while_the_store_is_away(#[case] error: StoreError) {
    let store = sync::Arc::new(Store::failing_with(error));
    let switch = store.clone();
    let script = tokio::spawn(async move {
        time::sleep(Duration::from_secs(2)).await;
        switch.set_down(true);
        switch.take_calls();
        time::sleep(Duration::from_secs(10)).await;
        switch.take_calls()
    });
    follow_three(&store, Duration::from_secs(1), Duration::from_secs(13)).await;
    let calls = script.await.unwrap();
    // Ten seconds of trials half a second apart, the first ones faster.
    assert!((15..=30).contains(&calls), "{calls}");
}

#[tokio::test(start_paused = true)]
async fn all_kinds_read_anew_once_the_store_is_back() {
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
    let told = follow_three(&store, Duration::from_secs(1), Duration::from_secs(12)).await;
    assert!(told.iter().all(|count| *count >= 4), "{told:?}");
    script.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn only_the_first_list_may_be_stale() {
    let store = sync::Arc::new(Store::default());
    follow_three(&store, Duration::from_secs(1), Duration::from_secs(3)).await;
    assert_eq!(*store.lists.lock().unwrap(), [Freshness::MayBeStale; 3]);
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_given_up_once_other_hosts_have_seen_a_change() {
    let store = sync::Arc::new(Store::default());
    let store_state = StoreState::default();
    let silence = Duration::from_secs(3600);
    let told = async {
        time::sleep(Duration::from_secs(5)).await;
        store.take_calls();
        store_state.record_revision("other", 7);
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(store.take_calls(), 0);
        store_state.record_revision("a", 7);
        time::sleep(Duration::from_secs(2)).await;
        store.take_calls()
    };
    let followed = list_and_watch("a", OPTIONS, &store_state, store.source(silence), |_| {});
    let calls = tokio::select! {
        calls = told => calls,
        () = followed => unreachable!("it follows for ever"),
    };
    // The watch is repeated, and then the list is read.
    assert!((1..=3).contains(&calls), "{calls}");
}

#[tokio::test(start_paused = true)]
async fn a_trial_does_not_wait_for_a_change() {
    let store_state = StoreState::default();
    let start = time::Instant::now();
    // One change after a second, and then none any more: the watch is between two calls when the
    // other kind finds the store away.
    let quiet = StoreReader {
        list: Store::default().shared().source(Duration::ZERO).list,
        watch: Box::new(move |since| {
            Box::pin(async move {
                if since > 1 {
                    std::future::pending::<()>().await;
                }
                time::sleep(Duration::from_secs(1)).await;
                Ok(WatchBatch {
                    changes: vec![Change::Set(since)],
                    revision: since + 1,
                    newest_revision: since + 1,
                })
            })
        }),
    };
    let failing = StoreReader {
        list: Box::new(move |_| {
            Box::pin(async move {
                match start.elapsed() < Duration::from_secs(3) {
                    true => Err(StoreError::Unavailable("status 503".to_string())),
                    false => Ok(Listing {
                        objects: vec![0],
                        revision: 1,
                    }),
                }
            })
        }),
        watch: Box::new(|_| Box::pin(std::future::pending())),
    };
    let is_back = sync::Arc::new(atomic::AtomicBool::new(false));
    let told = is_back.clone();
    let both = async {
        tokio::join!(
            list_and_watch("a", OPTIONS, &store_state, quiet, |_| {}),
            async {
                time::sleep(Duration::from_millis(1500)).await;
                let note = |news| {
                    if matches!(news, StoreEvent::Available(true)) {
                        told.store(true, atomic::Ordering::Relaxed);
                    }
                };
                list_and_watch("b", OPTIONS, &store_state, failing, note).await;
            },
        )
    };
    assert!(time::timeout(Duration::from_secs(6), both).await.is_err());
    assert!(is_back.load(atomic::Ordering::Relaxed));
}
