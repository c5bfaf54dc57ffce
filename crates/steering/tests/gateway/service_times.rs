//! Service time estimates under a load that the caches of the backend servers can't hold: callers
//! of several data centres ask for more objects than a server keeps, so that some requests miss
//! although their server has handled the object lately.

use rstest::rstest;
use yuccatide_steering::gateway;

use crate::fixtures::{self, ms};

/// Feeds service times as they are classified; of each ten, `misses` take the time of a miss.
fn observe(
    times: &mut gateway::ServiceTimeEstimates,
    route: &gateway::Route,
    (cached_ms, uncached_ms): (u64, u64),
    misses: u64,
) {
    for i in 0..400 {
        let duration = ms(if i % 10 < misses {
            uncached_ms
        } else {
            cached_ms
        });
        let is_cached = times.was_cached(route, duration, 1.0);
        times.observe(&route.name, is_cached, duration, 1.0);
    }
}

#[rstest]
#[case::few_misses(1)]
#[case::half_of_the_requests_miss(5)]
#[case::most_requests_miss(8)]
fn misses_do_not_raise_the_cached_service_time(#[case] misses: u64) {
    let route = fixtures::route("r");
    let mut times = gateway::ServiceTimeEstimates::default();
    observe(&mut times, &route, (140, 500), misses);
    let (cached, uncached) = (
        times.expected_seconds(&route, true),
        times.expected_seconds(&route, false),
    );
    assert!((0.12..0.17).contains(&cached), "cached {cached} s");
    assert!((0.45..0.55).contains(&uncached), "uncached {uncached} s");
}

/// The first estimates come from the objective alone and may be wrong by a factor.
#[rstest]
#[case::objective_shorter_than_the_work(80, 400, 1600)]
#[case::objective_longer_than_the_work(600, 180, 600)]
fn estimates_recover_from_a_wrong_first_guess(
    #[case] objective_ms: u64,
    #[case] cached_ms: u64,
    #[case] uncached_ms: u64,
) {
    let mut route = fixtures::route("r");
    route.objective = ms(objective_ms);
    let mut times = gateway::ServiceTimeEstimates::default();
    // Empty caches first, then warm ones.
    observe(&mut times, &route, (cached_ms, uncached_ms), 10);
    observe(&mut times, &route, (cached_ms, uncached_ms), 2);
    let cached = times.expected_seconds(&route, true) * 1000.0;
    let error = cached / cached_ms as f64;
    assert!(
        (0.8..1.3).contains(&error),
        "cached {cached} ms, not {cached_ms}"
    );
}
