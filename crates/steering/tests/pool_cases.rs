//! Single cases of the pool, including regressions found by the random histories.

mod support;

use std::{collections, sync, time};

use rstest::{fixture, rstest};
use support::checked_pool;
use yuccatide_steering::{config, model, pool};

const START: model::Time = time::Duration::from_secs(1_000_000);
const WARM_UP: time::Duration = time::Duration::from_secs(20);

fn owned(ids: &[&str]) -> collections::BTreeSet<model::ServerId> {
    ids.iter().map(ToString::to_string).collect()
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn report(at: model::Time) -> pool::LoadReport {
    pool::LoadReport {
        in_use: 0,
        slots: 3,
        healthy: true,
        draining: false,
        cold: false,
        at,
    }
}

fn answered(latency_ms: u64) -> pool::AttemptOutcome {
    pool::AttemptOutcome::Answered {
        latency: ms(latency_ms),
        ok: true,
    }
}

/// A pool with three servers of `stock` and two of `orders`, all past their slow start.
#[fixture]
fn warm_pool() -> pool::Pool {
    let doc = sync::Arc::new(support::document("lampolie"));
    let mut pool = pool::Pool::new(doc, "host-0", 1, START - WARM_UP);
    let ids = ["stock-01", "stock-07", "stock-13", "order-01", "order-07"];
    pool.set_owned_servers(owned(&ids), START - WARM_UP);
    pool.tick(START);
    pool
}

fn started(actions: &[pool::Action]) -> Vec<model::ServerId> {
    actions
        .iter()
        .filter_map(|action| match action {
            pool::Action::Start { server, .. } => Some(server.clone()),
            _ => None,
        })
        .collect()
}

/// Submits and answers a request for each of `ids`, one after the other.
fn complete_requests(
    pool: &mut pool::Pool,
    work: &str,
    ids: std::ops::Range<u128>,
    now: model::Time,
) {
    for id in ids {
        let actions = pool.submit(support::request(id, work, now + ms(900)), now);
        pool.finished(id, &started(&actions)[0], answered(10), now);
    }
}

fn outcome(actions: &[pool::Action]) -> Option<(model::Outcome, Option<model::NotRunReason>)> {
    actions.iter().find_map(|action| match action {
        pool::Action::Fail {
            outcome, reason, ..
        } => Some((*outcome, *reason)),
        _ => None,
    })
}

#[rstest]
#[case::broken(pool::AttemptOutcome::Broken, model::Outcome::Unknown, None)]
#[case::timed_out(pool::AttemptOutcome::TimedOut, model::Outcome::Unknown, None)]
#[case::shed(
    pool::AttemptOutcome::Shed,
    model::Outcome::NotRun,
    Some(model::NotRunReason::Shed)
)]
#[case::connect_failed(
    pool::AttemptOutcome::ConnectFailed,
    model::Outcome::NotRun,
    Some(model::NotRunReason::Unreachable)
)]
fn a_failed_attempt_without_retry_budget_ends_the_request(
    mut warm_pool: pool::Pool,
    #[case] attempt_outcome: pool::AttemptOutcome,
    #[case] expected: model::Outcome,
    #[case] reason: Option<model::NotRunReason>,
) {
    let actions = warm_pool.submit(support::request(1, "booking", START + ms(900)), START);
    let actions = warm_pool.finished(1, &started(&actions)[0], attempt_outcome, START + ms(5));
    assert_eq!(outcome(&actions), Some((expected, reason)));
}

#[rstest]
#[case::shed(pool::AttemptOutcome::Shed, true)]
#[case::connect_failed(pool::AttemptOutcome::ConnectFailed, true)]
#[case::broken(pool::AttemptOutcome::Broken, false)]
fn non_idempotent_work_is_retried_only_with_proof_that_it_has_not_run(
    mut warm_pool: pool::Pool,
    #[case] attempt_outcome: pool::AttemptOutcome,
    #[case] retried: bool,
) {
    complete_requests(&mut warm_pool, "booking", 100..120, START);
    let actions = warm_pool.submit(support::request(1, "booking", START + ms(900)), START);
    let first = started(&actions);
    let again = started(&warm_pool.finished(1, &first[0], attempt_outcome, START + ms(5)));
    assert_eq!(!again.is_empty(), retried);
    assert!(!again.contains(&first[0]));
}

#[rstest]
fn slow_idempotent_work_is_hedged(mut warm_pool: pool::Pool) {
    complete_requests(&mut warm_pool, "stock-check", 100..120, START);
    let first = warm_pool.submit(support::request(1, "stock-check", START + ms(900)), START);
    assert!(warm_pool.next_wakeup(START) == Some(START + ms(200)));
    let second = started(&warm_pool.tick(START + ms(200)));
    assert_eq!(second.len(), 1);
    let actions = warm_pool.finished(1, &second[0], answered(20), START + ms(220));
    let server = started(&first)[0].clone();
    assert!(actions.contains(&pool::Action::Cancel { id: 1, server }));
}

#[rstest]
fn no_hedged_attempt_while_requests_wait(mut warm_pool: pool::Pool) {
    complete_requests(&mut warm_pool, "stock-check", 100..120, START);
    (0..20).for_each(|id| {
        warm_pool.submit(support::request(id, "stock-check", START + ms(900)), START);
    });
    assert!(warm_pool.capacity("stock").queued["stock-check"] > 0);
    assert_eq!(
        started(&warm_pool.tick(START + ms(200))),
        Vec::<String>::new()
    );
}

#[rstest]
fn a_server_that_refuses_connections_is_tried_once_a_second(mut warm_pool: pool::Pool) {
    let mut refusals = 0;
    for i in 0..200u32 {
        let (id, now) = (u128::from(i), START + ms(10) * i);
        let actions = warm_pool.submit(support::request(id, "booking", now + ms(900)), now);
        for server in started(&actions) {
            let refuses = server == "order-01";
            refusals += u32::from(refuses);
            let attempt_outcome = match refuses {
                true => pool::AttemptOutcome::ConnectFailed,
                false => answered(5),
            };
            for again in started(&warm_pool.finished(id, &server, attempt_outcome, now)) {
                warm_pool.finished(id, &again, answered(5), now);
            }
        }
    }
    // After three consecutive refusals the server is unreachable and gets one request a second.
    assert!((3..=3 + 2).contains(&refusals), "{refusals}");
}

#[rstest]
fn failing_servers_are_ejected_up_to_half_of_the_owned_servers(mut warm_pool: pool::Pool) {
    for i in 0..400u32 {
        let (id, now) = (u128::from(i), START + ms(10) * i);
        let actions = warm_pool.submit(support::request(id, "reminder", now + ms(900)), now);
        for server in started(&actions) {
            let attempt_outcome = pool::AttemptOutcome::Answered {
                latency: ms(5),
                ok: false,
            };
            warm_pool.finished(id, &server, attempt_outcome, now);
        }
    }
    let snapshot = warm_pool.snapshot();
    let states = snapshot.services["stock"].servers.values();
    let ejected = states.filter(|s| s.state == pool::ServerState::Ejected);
    assert_eq!(ejected.count(), 1);
}

#[rstest]
fn a_wrong_report_of_bad_health_is_ignored_after_requests_succeed(mut warm_pool: pool::Pool) {
    complete_requests(&mut warm_pool, "stock-check", 100..200, START);
    let mut on_misreporting_server = 0;
    for i in 0..1000u32 {
        let (id, now) = (u128::from(i) + 1000, START + ms(10) * i);
        if i % 100 == 0 {
            let wrong_report = pool::LoadReport {
                healthy: false,
                ..report(now)
            };
            warm_pool.report("stock-01", wrong_report, now);
        }
        let actions = warm_pool.submit(support::request(id, "stock-check", now + ms(900)), now);
        let server = started(&actions)[0].clone();
        on_misreporting_server += u32::from(server == "stock-01" && i >= 600);
        warm_pool.finished(id, &server, answered(10), now);
    }
    assert!(
        on_misreporting_server > 50,
        "{on_misreporting_server} of 400 requests"
    );
}

#[rstest]
fn outdated_reports_are_ignored(mut warm_pool: pool::Pool) {
    let outdated = pool::LoadReport {
        in_use: 3,
        ..report(START - ms(16_000))
    };
    warm_pool.report("stock-01", outdated, START);
    let fresh = pool::LoadReport {
        in_use: 3,
        ..report(START)
    };
    assert!((warm_pool.capacity("stock").usable_slots - 9.0 * 0.8).abs() < 1e-9);
    warm_pool.report("stock-01", fresh, START);
    // The full server still counts with the small capacity of the requests that probe it.
    assert!((warm_pool.capacity("stock").usable_slots - 6.0 * 0.8 - 0.1).abs() < 1e-9);
    warm_pool.tick(START + ms(15_001));
    assert!((warm_pool.capacity("stock").usable_slots - 9.0 * 0.8).abs() < 1e-9);
}

#[rstest]
fn attempts_on_a_server_no_longer_owned_run_to_their_end(mut warm_pool: pool::Pool) {
    let actions = warm_pool.submit(support::request(1, "booking", START + ms(900)), START);
    let server = started(&actions)[0].clone();
    assert_eq!(warm_pool.set_owned_servers(owned(&["stock-01"]), START), []);
    let actions = warm_pool.finished(1, &server, answered(5), START + ms(5));
    assert_eq!(actions, [pool::Action::Done { id: 1, server }]);
    let refused = warm_pool.submit(support::request(2, "booking", START + ms(900)), START);
    let not_ready = Some(model::NotRunReason::NotReady);
    assert_eq!(outcome(&refused), Some((model::Outcome::NotRun, not_ready)));
}

#[rstest]
#[case::now(None, true)]
#[case::later(Some(START + time::Duration::from_secs(600)), false)]
#[case::soon(Some(START + time::Duration::from_secs(3)), true)]
fn a_drain_begins_early_enough_to_end_in_time(
    mut warm_pool: pool::Pool,
    #[case] empty_by: Option<model::Time>,
    #[case] begun: bool,
) {
    let mut doc = support::document("lampolie");
    let target = config::DrainTarget::Server("order-01".to_string());
    let drain = config::Drain { target, empty_by };
    doc.drains.insert("d".to_string(), drain);
    warm_pool.set_document(sync::Arc::new(doc), START);
    let state = warm_pool.snapshot().services["orders"].servers["order-01"].state;
    assert_eq!(state == pool::ServerState::Draining, begun);
}

/// An ejection at the end of an attempt reduces the slots and with them the bound of the queue, so
/// the queue has to be trimmed after each end of an attempt.
#[rstest]
fn the_queue_is_trimmed_when_a_server_is_ejected() {
    let mut pool = checked_pool::CheckedPool::new(support::document("lampolie"), START);
    pool.set_owned_servers(owned(&["stock-01", "stock-07"]));
    pool.advance(WARM_UP);
    (0..60).for_each(|_| pool.submit("reminder", ms(60_000)));
    for _ in 0..20 {
        pool.finish(0, pool::AttemptOutcome::Broken);
        pool.check_invariants();
    }
    pool.finish_all();
}

/// A server that has reported that it is draining must not get work when this host owns it again:
/// its report has to survive the loss of ownership.
#[rstest]
fn a_reported_drain_survives_a_change_of_owner() {
    let mut pool = checked_pool::CheckedPool::new(support::document("lampolie"), START);
    pool.set_owned_servers(owned(&["order-01"]));
    pool.report(
        "order-01",
        pool::LoadReport {
            draining: true,
            ..report(START)
        },
    );
    pool.set_owned_servers(owned(&["order-07"]));
    pool.set_owned_servers(owned(&["order-01"]));
    pool.submit("booking", ms(900));
    pool.finish_all();
}
