//! Second attempts of slow requests: when they are due, and how much work they may add.

use std::time;

use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;
use yuccatide_steering::hedging;

const SERVICE: &str = "slots";
const ROUTE: &str = "look-up";

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Latencies with a tail: of each hundred, three take seven times as long as the others.
fn with_tail(count: u64) -> impl Iterator<Item = time::Duration> {
    (0..count).map(|i| match i % 100 {
        7 | 41 | 83 => ms(7 * 400),
        _ => ms(380 + i * 7 % 40),
    })
}

fn trained(share: f64, latencies: impl Iterator<Item = time::Duration>) -> hedging::Hedger {
    let mut hedger = hedging::Hedger::new(share);
    latencies.for_each(|latency| hedger.record_first(SERVICE, ROUTE, latency));
    hedger
}

/// Load: work with a tail.  The second attempt is due after nearly all of its kind have ended, and
/// long before those of the tail.
#[rstest]
fn second_attempt_is_due_between_the_usual_requests_and_the_tail() {
    let hedger = trained(0.02, with_tail(20_000));
    let delay = hedger.delay(SERVICE, ROUTE).unwrap();
    assert!(delay > ms(400), "{delay:?}");
    assert!(delay < ms(1000), "{delay:?}");
}

/// Load: a service that turns three times slower.  What was learnt before must not send a second
/// attempt for each request.
#[rstest]
fn delay_follows_a_service_that_turns_slower() {
    let mut hedger = trained(0.02, with_tail(5_000));
    (0..400).for_each(|_| hedger.record_first(SERVICE, ROUTE, ms(1200)));
    assert!(hedger.delay(SERVICE, ROUTE).unwrap() >= ms(1150));
}

#[rstest]
#[case::switched_off(trained(0.0, with_tail(1_000)))]
#[case::too_little_seen(trained(0.02, with_tail(10)))]
fn no_second_attempt_is_due(#[case] mut hedger: hedging::Hedger) {
    assert_eq!(hedger.delay(SERVICE, ROUTE), None);
    assert!(!hedger.try_spend(SERVICE, ms(400)));
}

#[rstest]
fn other_routes_and_services_are_learnt_apart() {
    let mut hedger = trained(0.02, with_tail(1_000));
    (0..100).for_each(|_| hedger.record_first(SERVICE, "report", ms(9_000)));
    assert!(hedger.delay(SERVICE, "report").unwrap() >= ms(8_000));
    assert!(hedger.delay(SERVICE, ROUTE).unwrap() < ms(4_000));
    assert_eq!(hedger.delay("other", ROUTE), None);
    hedger.retain(|route| route == ROUTE);
    assert_eq!(hedger.delay(SERVICE, "report"), None);
}

/// Load: slots are short.  A second attempt must not take the last ones.
#[rstest]
#[case(0, 9, true)]
#[case(5, 9, true)]
#[case(6, 9, false)]
#[case(9, 9, false)]
#[case(u32::MAX, 9, false)]
#[case(0, 1, false)]
fn room_is_left_for_other_requests(
    #[case] in_use: u32,
    #[case] slots: u32,
    #[case] has_room: bool,
) {
    assert_eq!(hedging::Hedger::has_room(in_use, slots), has_room);
}

/// A step of a service: first attempts that end, second attempts that are asked for and end early.
#[derive(Clone, Debug)]
enum Step {
    First(u64),
    Second { expected: u64, saved: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..5_000u64).prop_map(Step::First),
        (1..5_000u64, 0..5_000u64).prop_map(|(expected, saved)| Step::Second {
            expected,
            saved: saved.min(expected),
        }),
    ]
}

proptest! {
    #![proptest_config(test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    })]

    /// Whatever comes, second attempts never add more than the share of the work of first ones.
    #[test]
    fn extra_work_stays_within_its_share(
        share in 0.0..0.3f64,
        steps in prop::collection::vec(step(), 0..400),
    ) {
        let mut hedger = hedging::Hedger::new(share);
        let (mut first, mut second) = (0.0, 0.0);
        for step in steps {
            match step {
                Step::First(latency) => {
                    hedger.record_first(SERVICE, ROUTE, ms(latency));
                    first += ms(latency).as_secs_f64();
                }
                Step::Second { expected, saved } => {
                    if hedger.try_spend(SERVICE, ms(expected)) {
                        hedger.refund(SERVICE, ms(saved));
                        second += ms(expected - saved).as_secs_f64();
                    }
                }
            }
            prop_assert!(second <= share * first + 1e-6, "{second} of {first}");
        }
    }
}
