//! The retry budget holds in any window, summed over all hosts.

use proptest::prelude::*;
use yuccatide_steering::gateway;

use crate::fixtures;

proptest! {
    #![proptest_config(crate::fixtures::config())]

    #[test]
    fn retries_stay_within_the_shared_budget(
        steps in prop::collection::vec((0u64..400, prop::bool::weighted(0.3)), 1..600),
    ) {
        let (ratio, slack, hosts) = (0.2, 40.0, 4);
        let window = fixtures::ms(10_000);
        let mut budget = gateway::RetryBudget::new(ratio, slack, window);
        let mut now = fixtures::ms(0);
        let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
        for (interval, is_first) in steps {
            now += fixtures::ms(interval);
            if is_first {
                budget.record_first_attempt(now);
                first_attempts.push(now);
            } else if budget.try_retry(hosts, now) {
                retries.push(now);
                // The first attempts of two windows count: a retry at the start of the window was
                // allowed by the first attempts of the window before it.
                let in_window = |times: &[_], span| {
                    times.iter().filter(|at| **at + span > now).count() as f64
                };
                let allowed = ratio * in_window(&first_attempts, window * 2) + slack / hosts as f64;
                prop_assert!(in_window(&retries, window) <= allowed);
            }
        }
    }
}

#[test]
fn slack_is_shared_between_hosts() {
    let mut budget = gateway::RetryBudget::new(0.2, 40.0, fixtures::ms(10_000));
    let granted = (0..100)
        .filter(|i| budget.try_retry(4, fixtures::ms(*i)))
        .count();
    assert!((1..=10).contains(&granted), "{granted}");
}
