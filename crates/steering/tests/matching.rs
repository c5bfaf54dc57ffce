//! Matching of answers to attempts.

use std::collections;

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::matching;

const FIRST: matching::Attempt = matching::Attempt { id: 7, number: 1 };
const SECOND: matching::Attempt = matching::Attempt { id: 8, number: 1 };

fn arrival(connection: u64, attempt: matching::Attempt) -> matching::ReceivedResponse {
    matching::ReceivedResponse {
        connection,
        attempt: Some(attempt),
        announced_bytes: Some(10),
        received_bytes: 10,
        ended: true,
    }
}

fn two_waiting() -> matching::PendingAttempts {
    let mut pending = matching::PendingAttempts::new();
    assert!(pending.register(FIRST, 1));
    assert!(pending.register(SECOND, 2));
    pending
}

#[rstest]
#[case::whole(arrival(1, FIRST), matching::Disposition::Deliver(FIRST))]
#[case::unnamed(
    matching::ReceivedResponse { attempt: None, ..arrival(1, FIRST) },
    matching::Disposition::Deliver(FIRST)
)]
#[case::unannounced(
    matching::ReceivedResponse { announced_bytes: None, ..arrival(1, FIRST) },
    matching::Disposition::Deliver(FIRST)
)]
#[case::short(
    matching::ReceivedResponse { received_bytes: 9, ..arrival(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::long(
    matching::ReceivedResponse { received_bytes: 11, ..arrival(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::no_end(
    matching::ReceivedResponse { ended: false, announced_bytes: None, ..arrival(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::crossed(
    arrival(1, SECOND),
    matching::Disposition::Drop(matching::DropReason::Crossed)
)]
#[case::crossed_to_idle(
    arrival(3, SECOND),
    matching::Disposition::Drop(matching::DropReason::Crossed)
)]
#[case::earlier_attempt(
    arrival(1, matching::Attempt { id: 7, number: 0 }),
    matching::Disposition::Drop(matching::DropReason::Stray)
)]
fn one_answer(
    #[case] arrival: matching::ReceivedResponse,
    #[case] expected: matching::Disposition,
) {
    assert_eq!(two_waiting().on_response(arrival), expected);
}

#[rstest]
fn duplicate_and_late_are_dropped() {
    let mut pending = two_waiting();
    pending.on_response(arrival(1, FIRST));
    assert_eq!(pending.abandon(SECOND), Some(2));
    assert_eq!(
        pending.on_response(arrival(1, FIRST)),
        matching::Disposition::Drop(matching::DropReason::Duplicate)
    );
    assert_eq!(
        pending.on_response(arrival(2, SECOND)),
        matching::Disposition::Drop(matching::DropReason::Late)
    );
    assert!(pending.is_empty());
    assert_eq!(
        (pending.counters().duplicate, pending.counters().late),
        (1, 1)
    );
}

#[rstest]
fn connection_in_use_takes_no_second_attempt() {
    let mut pending = two_waiting();
    let third = matching::Attempt { id: 9, number: 1 };
    assert!(!pending.register(third, 2));
    assert_eq!(pending.on_connection_closed(2), Some(SECOND));
    assert!(pending.register(third, 2));
    assert!(!pending.register(SECOND, 4));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An answer is delivered at most once for each attempt, and only on its own connection.
    #[test]
    fn delivered_once_and_only_to_its_own(
        steps in prop::collection::vec((0u8..4, 0u64..4, 0u128..4, any::<bool>()), 1..200)
    ) {
        let mut pending = matching::PendingAttempts::new();
        let mut sent = collections::BTreeMap::new();
        let mut delivered = collections::BTreeSet::new();
        for (step, connection, id, whole) in steps {
            let attempt = matching::Attempt { id, number: 1 };
            match step {
                0 => if pending.register(attempt, connection) {
                    prop_assert!(sent.insert(attempt, connection).is_none());
                },
                1 => { pending.abandon(attempt); }
                2 => { pending.on_connection_closed(connection); }
                _ => {
                    let arrival = matching::ReceivedResponse { ended: whole, ..arrival(connection, attempt) };
                    if let matching::Disposition::Deliver(to) = pending.on_response(arrival) {
                        prop_assert!(whole);
                        prop_assert_eq!(to, attempt);
                        prop_assert_eq!(sent.get(&to), Some(&connection));
                        prop_assert!(delivered.insert(to));
                    }
                }
            }
        }
    }
}
