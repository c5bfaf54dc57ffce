//! What hosts know of the store, and how old that is.

use std::time::Duration;

use proptest::prelude::*;
use yuccatide_steering::gateway::{StoreChecks, StoreProgress, StoreRevision, StoreView};

const KIND: &str = "config";

/// Interval between verifications.
const INTERVAL: Duration = Duration::from_millis(750);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(revision: u64) -> StoreRevision {
    StoreRevision { era: 1, revision }
}

fn report(view: &StoreView, now: Duration) -> (StoreProgress, StoreChecks) {
    (view.progress().clone(), view.checks(now))
}

#[test]
fn only_the_first_host_in_turn_watches_for_a_short_time() {
    let mut view = StoreView::default();
    view.verify(KIND, at(5), ms(1000));
    assert_eq!(view.watch_time(KIND, 0, INTERVAL, ms(1000)), Some(ms(750)));
    assert_eq!(view.watch_time(KIND, 0, INTERVAL, ms(1600)), Some(ms(150)));
    assert_eq!(view.watch_time(KIND, 0, INTERVAL, ms(9000)), Some(ms(0)));
    assert_eq!(view.watch_time(KIND, 1, INTERVAL, ms(9000)), None);
}

/// Guards against hosts that wait for a verification which nobody makes, and against all of them
/// calling a store that is down.
#[test]
fn a_few_hosts_take_over_one_after_the_other() {
    let mut view = StoreView::default();
    view.verify(KIND, at(5), ms(1000));
    let overdue = |rank| view.overdue_at(KIND, rank, INTERVAL);
    assert_eq!(overdue(0), None);
    assert_eq!(overdue(1), Some(ms(2500)));
    assert_eq!(overdue(3), Some(ms(2700)));
    assert_eq!(overdue(4), Some(ms(6000)));
    assert_eq!(overdue(200), Some(ms(6000)));
}

#[test]
fn the_age_of_a_verification_is_passed_on() {
    let mut first = StoreView::default();
    first.verify(KIND, at(5), ms(1000));
    let (progress, checks) = report(&first, ms(1300));
    // The clocks of two hosts have nothing in common.
    let mut second = StoreView::default();
    second.adopt(&progress, &checks, ms(77_000));
    assert_eq!(second.age(KIND, ms(77_100)), Some(ms(400)));
    assert!(!second.adopt(&progress, &checks, ms(77_100)));
    assert_eq!(second.age(KIND, ms(77_100)), Some(ms(300)));
}

/// Guards against a verification that counts for the history of the store that was lost.
#[test]
fn a_verification_of_an_earlier_era_does_not_count() {
    let mut lost = StoreView::default();
    lost.verify(KIND, at(500), ms(1000));
    let mut view = StoreView::default();
    view.record_era(2);
    let (progress, checks) = report(&lost, ms(1000));
    view.adopt(&progress, &checks, ms(1000));
    assert_eq!(view.age(KIND, ms(1000)), None);
    lost.record_era(2);
    assert_eq!(lost.age(KIND, ms(1000)), None);
}

#[test]
fn changes_are_reported_twice() {
    let mut view = StoreView::default();
    assert!(!view.take_report());
    view.record(KIND, at(3));
    assert_eq!([(); 3].map(|()| view.take_report()), [true, true, false]);
}

/// A host in a history: what it knows, and the revision up to which it has read.
#[derive(Default)]
struct Host {
    view: StoreView,
    listed: u64,
    read: u64,
}

/// What happens next, to the hosts of these numbers.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Change,
    OtherKind,
    Read(usize, bool),
    Tell(usize, usize),
    Restart(usize),
}

const HOSTS: usize = 3;

fn any_step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        (1..500_u64).prop_map(Step::Wait),
        Just(Step::Change),
        Just(Step::OtherKind),
        (host.clone(), any::<bool>()).prop_map(|(host, verifies)| Step::Read(host, verifies)),
        (host.clone(), host.clone()).prop_map(|(from, to)| Step::Tell(from, to)),
        host.prop_map(Step::Restart),
    ]
}

proptest! {
    /// Guards against a change that a host lacks although it believes that there is none (CONFIG).
    #[test]
    fn no_change_before_a_verification_is_unknown(
        steps in proptest::collection::vec(any_step(), 0..60),
    ) {
        let mut now = ms(10_000);
        let mut revision = 1;
        // Changes of the kind: when, and at which revision.
        let mut changes: Vec<(Duration, u64)> = Vec::new();
        let mut hosts: [Host; HOSTS] = std::array::from_fn(|_| Host {
            listed: 1,
            read: 1,
            ..Host::default()
        });
        for step in steps {
            match step {
                Step::Wait(time) => now += ms(time),
                Step::Change => {
                    revision += 1;
                    changes.push((now, revision));
                }
                Step::OtherKind => revision += 1,
                Step::Read(host, verifies) => {
                    let host = &mut hosts[host];
                    let unread = changes.iter().filter(|(_, at)| *at > host.read);
                    if let Some((_, newest)) = unread.max_by_key(|(_, at)| at) {
                        host.view.record(KIND, at(*newest));
                    }
                    if verifies {
                        host.view.verify(KIND, at(host.listed), now);
                    }
                    host.read = revision;
                }
                Step::Tell(from, to) => {
                    let (progress, checks) = report(&hosts[from].view, now);
                    hosts[to].view.adopt(&progress, &checks, now);
                }
                Step::Restart(host) => {
                    hosts[host] = Host {
                        listed: revision,
                        read: revision,
                        ..Host::default()
                    };
                }
            }
            for host in &hosts {
                let Some(age) = host.view.age(KIND, now) else {
                    continue;
                };
                let newest = host.view.progress().newest(KIND).revision;
                // One at the same moment may come after the verification.
                let before = changes.iter().filter(|(at, _)| *at < now - age);
                prop_assert!(before.clone().all(|(_, at)| *at <= newest));
            }
        }
    }
}
