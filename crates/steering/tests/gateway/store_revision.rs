//! How far the store has come, as hosts tell each other.

use proptest::prelude::*;
use yuccatide_steering::gateway::{StoreProgress, StoreRevision};

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era, revision }
}

fn progress(changes: &[(&str, StoreRevision)]) -> StoreProgress {
    let mut progress = StoreProgress::default();
    for (kind, at) in changes {
        progress.record(kind, *at);
    }
    progress
}

/// Guards against hosts that take the store's present state for an old one after it came back from
/// an older copy, because its revisions are lower than the ones that were lost.
#[test]
fn a_change_of_a_later_era_is_newer_whatever_its_revision() {
    let mut progress = progress(&[("servers", at(1, 500)), ("config", at(1, 400))]);
    assert!(progress.record("servers", at(2, 450)));
    assert_eq!(progress.newest("servers"), at(2, 450));
    // Nothing of the earlier era is expected of the store any more.
    assert_eq!(progress.newest("config"), at(2, 0));
}

/// Guards against a host that was cut off while the store came back older, and then brings the
/// revisions of the lost history to the others.
#[test]
fn revisions_of_an_earlier_era_are_not_taken_over() {
    let mut newer = progress(&[("servers", at(2, 450))]);
    let older = progress(&[("servers", at(1, 500)), ("config", at(1, 400))]);
    assert!(!newer.adopt(&older));
    assert_eq!(newer, progress(&[("servers", at(2, 450))]));
}

#[test]
fn an_era_without_changes_is_taken_over() {
    let mut known = progress(&[("servers", at(1, 500))]);
    let mut restored = StoreProgress::default();
    restored.record_era(2);
    assert!(known.adopt(&restored));
    assert_eq!(known.newest("servers"), at(2, 0));
    assert!(!known.adopt(&restored));
}

fn any_progress() -> impl Strategy<Value = StoreProgress> {
    let change = (0_usize..3, 0_u64..4, 0_u64..6);
    proptest::collection::vec(change, 0..6).prop_map(|changes| {
        let mut progress = StoreProgress::default();
        for (kind, era, revision) in changes {
            progress.record(
                ["config", "servers", "evacuations"][kind],
                at(era, revision),
            );
        }
        progress
    })
}

proptest! {
    /// Messages between hosts arrive in any order and more than once.
    #[test]
    fn hosts_agree_whatever_the_order_of_their_messages(
        mut all in proptest::collection::vec(any_progress(), 1..6),
    ) {
        let merge = |all: &[StoreProgress]| {
            let mut merged = StoreProgress::default();
            for progress in all.iter().chain(all) {
                merged.adopt(progress);
            }
            merged
        };
        let merged = merge(&all);
        all.reverse();
        prop_assert_eq!(&merge(&all), &merged);
        for progress in &all {
            prop_assert!(!merged.clone().adopt(progress));
        }
    }
}
