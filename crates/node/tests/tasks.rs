//! Long-lived tasks that end.

use std::{
    sync::{self, atomic},
    time::Duration,
};

use rstest::rstest;
use yuccatide_node::tasks::{RECOVERY_TIME, Tasks};

/// Tasks, and the number of their ends so far.
fn counted() -> (Tasks, sync::Arc<atomic::AtomicU32>) {
    let ends = sync::Arc::new(atomic::AtomicU32::new(0));
    let counter = sync::Arc::clone(&ends);
    let tasks = Tasks::new(move |name| {
        assert_eq!(name, "odd");
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    });
    (tasks, ends)
}

/// Guards against hosts that look ready after the end of a task that they need.
#[rstest]
#[case::panic(true)]
#[case::return_(false)]
#[tokio::test(start_paused = true)]
async fn a_task_that_ends_is_counted_and_started_again(#[case] has_panic: bool) {
    let (tasks, ends) = counted();
    let starts = sync::Arc::new(atomic::AtomicU32::new(0));
    let task_starts = sync::Arc::clone(&starts);
    let _steady = tasks.keep_running("steady", std::future::pending);
    let _odd = tasks.keep_running("odd", move || {
        let start = task_starts.fetch_add(1, atomic::Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_secs(1)).await;
            match start {
                0 if has_panic => panic!("an end that the test wants"),
                0 => {}
                _ => std::future::pending().await,
            }
        }
    });
    assert!(tasks.are_running());
    tokio::time::sleep(Duration::from_millis(1050)).await;
    assert_eq!(ends.load(atomic::Ordering::Relaxed), 1);
    assert!(!tasks.are_running(), "right after the end");
    tokio::time::sleep(RECOVERY_TIME / 2).await;
    assert_eq!(starts.load(atomic::Ordering::Relaxed), 2);
    assert!(!tasks.are_running(), "it may end again at once");
    tokio::time::sleep(RECOVERY_TIME).await;
    assert!(tasks.are_running());
}

#[tokio::test(start_paused = true)]
async fn a_task_that_ends_again_and_again_never_counts_as_running() {
    let (tasks, ends) = counted();
    let odd = tasks.keep_running("odd", || async {
        tokio::time::sleep(Duration::from_millis(10)).await;
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    for _ in 0..600 {
        assert!(!tasks.are_running());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // The delay grows, so a minute has few starts.
    let after_a_minute = ends.load(atomic::Ordering::Relaxed);
    assert!((10..30).contains(&after_a_minute), "{after_a_minute}");
    drop(odd);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(ends.load(atomic::Ordering::Relaxed), after_a_minute);
}
