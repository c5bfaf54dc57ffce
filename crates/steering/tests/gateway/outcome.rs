//! Actions that follow the outcome of an attempt.

use rstest::rstest;
use yuccatide_steering::gateway::{self, NextAction, Outcome, Reason};

use crate::fixtures;

fn next_action(
    is_idempotent: bool,
    outcome: Outcome,
    received_count: u32,
    at_ms: u64,
) -> NextAction {
    let route = gateway::Route {
        is_idempotent,
        ..fixtures::route("r")
    };
    let req = fixtures::request(route, 1, fixtures::ms(0));
    outcome.next_action(&req, received_count, fixtures::ms(at_ms))
}

#[rstest]
#[case(Outcome::Answered, NextAction::Deliver)]
#[case(Outcome::Failed, NextAction::Deliver)]
#[case(Outcome::Broken, NextAction::Unknown)]
#[case(Outcome::TimedOut, NextAction::Unknown)]
#[case(Outcome::Shed, NextAction::Retry { uses_budget: true })]
#[case(Outcome::Misdirected, NextAction::Retry { uses_budget: true })]
#[case(Outcome::Unreachable, NextAction::Retry { uses_budget: false })]
fn non_idempotent_requests_are_retried_only_if_not_executed(
    #[case] outcome: Outcome,
    #[case] expected: NextAction,
) {
    assert_eq!(
        next_action(false, outcome, u32::from(outcome.reached_server()), 10),
        expected
    );
}

#[rstest]
#[case(Outcome::Failed, NextAction::Retry { uses_budget: true })]
#[case(Outcome::Broken, NextAction::Retry { uses_budget: true })]
#[case(Outcome::TimedOut, NextAction::Unknown)]
fn idempotent_requests_are_retried_after_failures_but_not_timeouts(
    #[case] outcome: Outcome,
    #[case] expected: NextAction,
) {
    assert_eq!(next_action(true, outcome, 1, 10), expected);
}

#[rstest]
#[case(true, Outcome::Failed, NextAction::Deliver)]
#[case(true, Outcome::Broken, NextAction::Unknown)]
#[case(false, Outcome::Shed, NextAction::Refuse(Reason::Attempts))]
fn max_attempts_and_deadline_end_retries(
    #[case] is_idempotent: bool,
    #[case] outcome: Outcome,
    #[case] expected: NextAction,
) {
    assert_eq!(next_action(is_idempotent, outcome, 2, 10), expected);
    assert_eq!(next_action(is_idempotent, outcome, 1, 2000), expected);
}

#[test]
fn only_requests_that_were_not_executed_are_refused() {
    for outcome in [
        Outcome::Answered,
        Outcome::Failed,
        Outcome::Shed,
        Outcome::Misdirected,
        Outcome::Unreachable,
        Outcome::Broken,
        Outcome::TimedOut,
        Outcome::Cancelled,
    ] {
        for is_idempotent in [true, false] {
            let next_action = next_action(is_idempotent, outcome, 9, 10);
            let refuses = matches!(next_action, NextAction::Refuse(_));
            assert!(!refuses || outcome.was_not_executed(), "{outcome:?}");
        }
    }
}
