//! The copy of one kind of object that other hosts read. Uses virtual time.

use std::{sync, time::Duration};

use tokio::time;
use yuccatide_node::gateway::{CopyError, RawChange, StoreCopy};
use yuccatide_steering::gateway::StoreRevision;

const NO_WAIT: Duration = Duration::ZERO;
const ANY: StoreRevision = StoreRevision {
    era: 0,
    revision: 0,
};
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Position in the first era of the store.
fn at(revision: u64) -> StoreRevision {
    StoreRevision { era: 1, revision }
}

fn set(name: &str, object: &str, revision: u64) -> RawChange {
    RawChange {
        name: name.to_string(),
        object: object.to_string(),
        is_deleted: false,
        revision,
    }
}

fn deleted(name: &str, revision: u64) -> RawChange {
    RawChange {
        is_deleted: true,
        ..set(name, "{}", revision)
    }
}

fn listed() -> StoreCopy {
    let copy = StoreCopy::default();
    let objects = [("a", "1"), ("b", "2")].map(|(name, text)| (name.into(), text.into()));
    copy.replace(objects.into(), at(10), true);
    copy
}

#[tokio::test(start_paused = true)]
async fn a_list_contains_later_changes() {
    let copy = listed();
    copy.apply(vec![set("a", "3", 11), deleted("b", 12)], at(12), true);
    let listing = copy.list(ANY, NO_WAIT).await.unwrap();
    assert_eq!(
        (listing.objects, listing.revision),
        (vec!["3".into()], at(12))
    );
}

#[tokio::test(start_paused = true)]
async fn a_watch_returns_only_changes_after_its_revision() {
    let copy = listed();
    copy.apply(vec![set("a", "3", 11), set("a", "4", 12)], at(12), true);
    let watched = copy.watch(at(11), LONG_WAIT).await.unwrap();
    assert_eq!(
        (watched.changes, watched.revision),
        (vec![set("a", "4", 12)], at(12))
    );
    copy.apply(vec![deleted("b", 15)], at(15), true);
    assert_eq!(
        copy.watch(at(12), LONG_WAIT).await.unwrap().changes,
        [deleted("b", 15)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_watch_waits_for_a_change_and_ends_with_it() {
    let copy = sync::Arc::new(listed());
    let watcher = sync::Arc::clone(&copy);
    let watch = tokio::spawn(async move { watcher.watch(at(10), LONG_WAIT).await });
    time::sleep(Duration::from_secs(3)).await;
    assert!(!watch.is_finished());
    copy.apply(vec![set("c", "5", 13)], at(13), true);
    assert_eq!(watch.await.unwrap().unwrap().changes, [set("c", "5", 13)]);
    let quiet = copy.watch(at(13), LONG_WAIT).await.unwrap();
    assert_eq!((quiet.changes, quiet.revision), (Vec::new(), at(13)));
}

/// A watch that starts after what the copy has seen must not go back.
#[tokio::test(start_paused = true)]
async fn a_watch_from_a_later_revision_does_not_go_back() {
    let copy = listed();
    assert_eq!(
        copy.watch(at(17), LONG_WAIT).await.unwrap().revision,
        at(17)
    );
}

#[tokio::test(start_paused = true)]
async fn readers_of_a_host_that_lost_the_store_are_told_at_once() {
    let copy = sync::Arc::new(listed());
    let watcher = sync::Arc::clone(&copy);
    let watch = tokio::spawn(async move { watcher.watch(at(10), LONG_WAIT).await });
    time::sleep(Duration::from_secs(1)).await;
    copy.set_not_current();
    assert_eq!(watch.await.unwrap(), Err(CopyError::NotCurrent));
    assert_eq!(copy.list(ANY, NO_WAIT).await, Err(CopyError::NotCurrent));
}

/// Otherwise two hosts could follow each other and nobody would read the store.
#[tokio::test(start_paused = true)]
async fn what_was_read_from_another_host_is_not_passed_on() {
    let copy = StoreCopy::default();
    copy.replace(vec![("a".into(), "1".into())], at(10), false);
    assert_eq!(copy.list(ANY, NO_WAIT).await, Err(CopyError::NotCurrent));
    copy.apply(vec![set("a", "2", 11)], at(11), false);
    assert_eq!(
        copy.watch(at(10), LONG_WAIT).await,
        Err(CopyError::NotCurrent)
    );
    // Its first call to the store makes it a source.
    copy.apply(Vec::new(), at(11), true);
    assert_eq!(copy.list(ANY, NO_WAIT).await.unwrap().objects, ["2"]);
}

#[tokio::test(start_paused = true)]
async fn a_list_waits_for_the_first_read_of_the_store() {
    let copy = sync::Arc::new(StoreCopy::default());
    let lister = sync::Arc::clone(&copy);
    let list = tokio::spawn(async move { lister.list(ANY, Duration::from_secs(2)).await });
    time::sleep(Duration::from_secs(1)).await;
    copy.replace(vec![("a".into(), "1".into())], at(10), true);
    assert_eq!(list.await.unwrap().unwrap().objects, ["1"]);
}

#[tokio::test(start_paused = true)]
async fn changes_before_a_list_or_beyond_the_bound_are_gone() {
    let copy = listed();
    assert_eq!(
        copy.watch(at(9), LONG_WAIT).await,
        Err(CopyError::HistoryGone)
    );
    for revision in 11..4000 {
        copy.apply(vec![set("a", "1", revision)], at(revision), true);
    }
    assert_eq!(
        copy.watch(at(10), LONG_WAIT).await,
        Err(CopyError::HistoryGone)
    );
    assert_eq!(
        copy.watch(at(3990), LONG_WAIT).await.unwrap().changes.len(),
        9
    );
}

/// Guards against followers that wait for a revision which the source will not reach for long,
/// because the store has come back from an older copy.
#[tokio::test(start_paused = true)]
async fn a_watch_ends_when_the_store_came_back_older() {
    let copy = sync::Arc::new(listed());
    let watcher = sync::Arc::clone(&copy);
    let watch = tokio::spawn(async move { watcher.watch(at(10), LONG_WAIT).await });
    time::sleep(Duration::from_secs(1)).await;
    let restored = StoreRevision {
        era: 2,
        revision: 7,
    };
    copy.replace(vec![("a".into(), "0".into())], restored, true);
    assert_eq!(watch.await.unwrap(), Err(CopyError::HistoryGone));
    assert_eq!(
        copy.watch(at(5), NO_WAIT).await,
        Err(CopyError::HistoryGone)
    );
    assert_eq!(
        copy.watch(at(50), NO_WAIT).await,
        Err(CopyError::HistoryGone)
    );
    assert_eq!(copy.list(ANY, NO_WAIT).await.unwrap().revision, restored);
    assert_eq!(copy.watch(restored, NO_WAIT).await.unwrap().changes, []);
}

/// A host that has not noticed the return yet is no source for one that has.
#[tokio::test(start_paused = true)]
async fn a_copy_of_an_earlier_era_is_not_current() {
    let copy = listed();
    let restored = StoreRevision {
        era: 2,
        revision: 7,
    };
    assert_eq!(
        copy.watch(restored, NO_WAIT).await,
        Err(CopyError::NotCurrent)
    );
}

/// Guards against a host whose memory grows with each version of a large object (LOST).
#[tokio::test(start_paused = true)]
async fn few_changes_of_large_objects_are_kept() {
    let copy = listed();
    let text = "x".repeat(1 << 20);
    for revision in 11..80 {
        copy.apply(vec![set("a", &text, revision)], at(revision), true);
    }
    assert_eq!(
        copy.watch(at(60), LONG_WAIT).await,
        Err(CopyError::HistoryGone)
    );
    assert_eq!(
        copy.watch(at(76), LONG_WAIT).await.unwrap().changes.len(),
        3
    );
    // One that is larger than all that is kept reaches the watches, too.
    copy.apply(vec![set("a", &text.repeat(9), 80)], at(80), true);
    assert_eq!(
        copy.watch(at(79), LONG_WAIT).await.unwrap().changes.len(),
        1
    );
}

/// Guards against hosts that list the store themselves, since the copy of their source lacks a change
/// that it will have read a moment later.
#[tokio::test(start_paused = true)]
async fn a_list_waits_for_the_newest_change_that_is_known() {
    let copy = sync::Arc::new(listed());
    let lister = sync::Arc::clone(&copy);
    let list = tokio::spawn(async move { lister.list(at(11), Duration::from_secs(2)).await });
    time::sleep(Duration::from_millis(200)).await;
    assert!(!list.is_finished());
    copy.apply(vec![set("a", "3", 11)], at(11), true);
    assert_eq!(list.await.unwrap().unwrap().revision, at(11));
    // The present state is returned in the end; who asks decides whether to use it.
    assert_eq!(
        copy.list(at(12), Duration::from_secs(1))
            .await
            .unwrap()
            .revision,
        at(11)
    );
}
