//! What follows from the outcome of a sending.

use rstest::rstest;
use yuccatide_steering::gateway::{self, Next, Outcome, Reason};

use crate::fixtures;

fn next(is_idempotent: bool, outcome: Outcome, arrivals: u32, at_ms: u64) -> Next {
    let route = gateway::Route {
        is_idempotent,
        ..fixtures::route("r")
    };
    let req = fixtures::request(route, 1, fixtures::ms(0));
    outcome.next(&req, arrivals, fixtures::ms(at_ms))
}

#[rstest]
#[case(Outcome::Answered, Next::Deliver)]
#[case(Outcome::Failed, Next::Deliver)]
#[case(Outcome::Broken, Next::Unknown)]
#[case(Outcome::TimedOut, Next::Unknown)]
#[case(Outcome::Shed, Next::Retry { costs: true })]
#[case(Outcome::Misdirected, Next::Retry { costs: true })]
#[case(Outcome::Unreachable, Next::Retry { costs: false })]
fn what_may_have_run_is_not_repeated(#[case] outcome: Outcome, #[case] expected: Next) {
    assert_eq!(
        next(false, outcome, u32::from(outcome.has_arrived()), 10),
        expected
    );
}

#[rstest]
#[case(Outcome::Failed, Next::Retry { costs: true })]
#[case(Outcome::Broken, Next::Retry { costs: true })]
#[case(Outcome::TimedOut, Next::Unknown)]
fn idempotent_requests_are_repeated(#[case] outcome: Outcome, #[case] expected: Next) {
    assert_eq!(next(true, outcome, 1, 10), expected);
}

#[rstest]
#[case(true, Outcome::Failed, Next::Deliver)]
#[case(true, Outcome::Broken, Next::Unknown)]
#[case(false, Outcome::Shed, Next::Refuse(Reason::Attempts))]
fn attempts_and_time_end_repetitions(
    #[case] is_idempotent: bool,
    #[case] outcome: Outcome,
    #[case] expected: Next,
) {
    assert_eq!(next(is_idempotent, outcome, 2, 10), expected);
    assert_eq!(next(is_idempotent, outcome, 1, 2000), expected);
}

#[test]
fn a_refusal_is_only_said_of_what_has_not_run() {
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
            let next = next(is_idempotent, outcome, 9, 10);
            let refuses = matches!(next, Next::Refuse(_));
            assert!(!refuses || outcome.is_not_run(), "{outcome:?}");
        }
    }
}
