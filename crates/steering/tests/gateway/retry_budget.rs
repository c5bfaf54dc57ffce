//! The retry budget holds over any window, summed over all hosts.

use proptest::prelude::*;
use yuccatide_steering::gateway;

use crate::fixtures;

proptest! {
    #![proptest_config(crate::fixtures::config())]

    #[test]
    fn repeats_stay_within_the_shared_bound(
        steps in prop::collection::vec((0u64..400, prop::bool::weighted(0.3)), 1..600),
    ) {
        let (ratio, slack, hosts) = (0.2, 40.0, 4);
        let window = fixtures::ms(10_000);
        let mut budget = gateway::RetryBudget::new(ratio, slack, window);
        let mut now = fixtures::ms(0);
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        for (pause, is_first) in steps {
            now += fixtures::ms(pause);
            if is_first {
                budget.record_first_attempt(now);
                firsts.push(now);
            } else if budget.try_retry(hosts, now) {
                repeats.push(now);
                // The bound compares with the busier of this window and the one before it.
                let in_window = |times: &[_], span| {
                    times.iter().filter(|at| **at + span > now).count() as f64
                };
                let allowed = ratio * in_window(&firsts, window * 2) + slack / hosts as f64;
                prop_assert!(in_window(&repeats, window) <= allowed);
            }
        }
    }
}

#[test]
fn few_requests_leave_the_share_of_the_slack() {
    let mut budget = gateway::RetryBudget::new(0.2, 40.0, fixtures::ms(10_000));
    let granted = (0..100)
        .filter(|i| budget.try_retry(4, fixtures::ms(*i)))
        .count();
    assert!((1..=10).contains(&granted), "{granted}");
}
