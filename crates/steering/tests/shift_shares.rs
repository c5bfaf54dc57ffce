//! Traffic shares, the shift cap, and the growth limit for other data centres' traffic.

use std::time;

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::{config, shift};

fn cap(share: f64, interval_ms: u64) -> config::ShiftCap {
    config::ShiftCap {
        share,
        interval: time::Duration::from_millis(interval_ms),
    }
}

#[rstest]
#[case(0.2, 200)]
#[case(0.29, 290)]
#[case(0.1, 100)]
#[case(1.0, 1000)]
fn empty_log_allows_the_caps_share_of_cells(#[case] share: f64, #[case] cells: u32) {
    let log = shift::MoveLog::default();
    assert_eq!(
        log.remaining_cells(&cap(share, 2000), time::Duration::ZERO),
        cells
    );
}

#[rstest]
fn moves_made_before_the_interval_is_lengthened_count_against_the_cap() {
    let mut log = shift::MoveLog::default();
    let at = time::Duration::from_secs;
    log.record(200, &cap(0.2, 2000), at(10));
    assert_eq!(log.remaining_cells(&cap(0.2, 2000), at(12)), 200);
    assert_eq!(log.remaining_cells(&cap(0.3, 5000), at(14)), 100);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn moves_in_any_interval_stay_within_the_cap(
        share in 0.01..1.0f64,
        gaps in proptest::collection::vec(0..3000u64, 1..60),
    ) {
        let cap = cap(share, 2000);
        let mut log = shift::MoveLog::default();
        let mut now = time::Duration::ZERO;
        let mut moves = Vec::new();
        for gap in gaps {
            now += time::Duration::from_millis(gap);
            let cells = log.remaining_cells(&cap, now);
            log.record(cells, &cap, now);
            moves.push((now, cells));
        }
        for (start, _) in &moves {
            let window = moves.iter().filter(|(at, _)| at >= start && *at < *start + cap.interval);
            let sum = window.map(|(_, cells)| cells).sum::<u32>();
            prop_assert!(f64::from(sum) <= share * f64::from(shift::CELL_COUNT) + 1e-6);
        }
    }

    #[test]
    fn admitted_requests_stay_within_recent_maximum_plus_variation_plus_cap(
        share in 0.05..0.5f64,
        arrivals in proptest::collection::vec(0..300u32, 1..20),
    ) {
        let cap = cap(share, 2000);
        let mut ramp = shift::Ramp::default();
        let mut history = vec![0.0];
        for (i, count) in arrivals.iter().enumerate() {
            let start = cap.interval * (i as u32 + 1);
            let admitted = (0..*count)
                .filter(|n| ramp.admit(&cap, start + cap.interval * *n / (*count).max(1)))
                .count() as f64;
            let previous_max = history.iter().copied().fold(0.0, f64::max);
            let variation = 2.0 * previous_max.sqrt();
            prop_assert!(admitted <= previous_max + variation + share * f64::from(*count));
            history.push(admitted);
        }
    }
}
