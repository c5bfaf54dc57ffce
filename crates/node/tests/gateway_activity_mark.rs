//! What counts as silence of a call. Uses virtual time.

use std::{sync, time::Duration};

use tokio::time;
use yuccatide_node::gateway::ActivityMark;

const TIMEOUT: Duration = Duration::from_millis(350);

#[tokio::test(start_paused = true)]
async fn a_call_without_an_answer_is_silent() {
    let start = time::Instant::now();
    ActivityMark::default().wait_until_silent(TIMEOUT).await;
    assert_eq!(start.elapsed(), TIMEOUT);
}

/// Guards against a change that is late because a host gives its watch up while the answer arrives
/// (CONFIG).
#[tokio::test(start_paused = true)]
async fn an_answer_that_still_arrives_is_not_silent() {
    let start = time::Instant::now();
    let mark = sync::Arc::new(ActivityMark::default());
    let touched = mark.clone();
    let parts = tokio::spawn(async move {
        for _ in 0..20 {
            time::sleep(Duration::from_millis(230)).await;
            touched.touch();
        }
    });
    mark.wait_until_silent(TIMEOUT).await;
    assert!(parts.is_finished());
    let silent_for = start.elapsed() - 20 * Duration::from_millis(230);
    assert!(
        silent_for >= TIMEOUT && silent_for < 2 * TIMEOUT,
        "{silent_for:?}"
    );
}

/// Guards against a watch that is given up because the host was too busy to read its answer (DRAIN).
#[tokio::test(start_paused = true)]
async fn time_in_which_the_host_did_not_run_is_no_silence() {
    let mark = sync::Arc::new(ActivityMark::default());
    let waiter = mark.clone();
    let silent = tokio::spawn(async move { waiter.wait_until_silent(TIMEOUT).await });
    time::sleep(Duration::from_millis(10)).await;
    // Nothing runs meanwhile.
    time::advance(Duration::from_secs(3)).await;
    time::sleep(Duration::from_millis(100)).await;
    assert!(!silent.is_finished());
    mark.touch();
    time::sleep(Duration::from_millis(300)).await;
    assert!(!silent.is_finished());
    silent.await.unwrap();
}
