//! Matching of responses to attempts.

use std::collections;

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::matching;

const FIRST: matching::Attempt = matching::Attempt { id: 7, number: 1 };
const SECOND: matching::Attempt = matching::Attempt { id: 8, number: 1 };

fn response(connection: u64, attempt: matching::Attempt) -> matching::ReceivedResponse {
    matching::ReceivedResponse {
        connection,
        attempt: Some(attempt),
        announced_bytes: Some(10),
        received_bytes: 10,
        body_ended: true,
    }
}

fn two_pending() -> matching::PendingAttempts {
    let mut pending = matching::PendingAttempts::new();
    assert!(pending.register(FIRST, 1));
    assert!(pending.register(SECOND, 2));
    pending
}

#[rstest]
#[case::complete(response(1, FIRST), matching::Disposition::Deliver(FIRST))]
#[case::without_attempt(
    matching::ReceivedResponse { attempt: None, ..response(1, FIRST) },
    matching::Disposition::Deliver(FIRST)
)]
#[case::without_announced_length(
    matching::ReceivedResponse { announced_bytes: None, ..response(1, FIRST) },
    matching::Disposition::Deliver(FIRST)
)]
#[case::too_short(
    matching::ReceivedResponse { received_bytes: 9, ..response(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::too_long(
    matching::ReceivedResponse { received_bytes: 11, ..response(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::without_end(
    matching::ReceivedResponse { body_ended: false, announced_bytes: None, ..response(1, FIRST) },
    matching::Disposition::Truncated(FIRST)
)]
#[case::crossed(
    response(1, SECOND),
    matching::Disposition::Drop(matching::DropReason::Crossed)
)]
#[case::crossed_on_idle_connection(
    response(3, SECOND),
    matching::Disposition::Drop(matching::DropReason::Crossed)
)]
#[case::earlier_attempt(
    response(1, matching::Attempt { id: 7, number: 0 }),
    matching::Disposition::Drop(matching::DropReason::Stray)
)]
fn response_is_delivered_only_if_complete_and_on_its_connection(
    #[case] response: matching::ReceivedResponse,
    #[case] expected: matching::Disposition,
) {
    assert_eq!(two_pending().on_response(response), expected);
}

#[rstest]
fn duplicate_and_late_responses_are_dropped() {
    let mut pending = two_pending();
    pending.on_response(response(1, FIRST));
    assert_eq!(pending.abandon(SECOND), Some(2));
    assert_eq!(
        pending.on_response(response(1, FIRST)),
        matching::Disposition::Drop(matching::DropReason::Duplicate)
    );
    assert_eq!(
        pending.on_response(response(2, SECOND)),
        matching::Disposition::Drop(matching::DropReason::Late)
    );
    assert!(pending.is_empty());
    assert_eq!(
        (pending.counters().duplicate, pending.counters().late),
        (1, 1)
    );
}

#[rstest]
fn connection_in_use_rejects_second_attempt() {
    let mut pending = two_pending();
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

    /// A response is delivered at most once per attempt, and only on the connection of the attempt.
    #[test]
    fn delivers_at_most_once_and_on_own_connection(
        steps in prop::collection::vec((0u8..4, 0u64..4, 0u128..4, any::<bool>()), 1..200)
    ) {
        let mut pending = matching::PendingAttempts::new();
        let mut sent = collections::BTreeMap::new();
        let mut delivered = collections::BTreeSet::new();
        for (step, connection, id, complete) in steps {
            let attempt = matching::Attempt { id, number: 1 };
            match step {
                0 => if pending.register(attempt, connection) {
                    prop_assert!(sent.insert(attempt, connection).is_none());
                },
                1 => { pending.abandon(attempt); }
                2 => { pending.on_connection_closed(connection); }
                _ => {
                    let response = matching::ReceivedResponse { body_ended: complete, ..response(connection, attempt) };
                    if let matching::Disposition::Deliver(to) = pending.on_response(response) {
                        prop_assert!(complete);
                        prop_assert_eq!(to, attempt);
                        prop_assert_eq!(sent.get(&to), Some(&connection));
                        prop_assert!(delivered.insert(to));
                    }
                }
            }
        }
    }
}
