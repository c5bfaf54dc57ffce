//! Requests that crash the backend servers that run them.

use proptest::prelude::*;
use yuccatide_steering::gateway::{Crash, CrashBook};

use crate::fixtures::{self, ms};

const DEADLY: u128 = 7;

fn crash(server: u64) -> Crash {
    Crash {
        server,
        incarnation: 1,
    }
}

fn blocked(crashes: u64) -> CrashBook {
    let mut book = CrashBook::default();
    for server in 0..crashes {
        book.record(DEADLY, crash(server), ms(100), ms(100));
    }
    book
}

/// Guards against a request that crashes server after server, each time with other hosts looking on.
#[test]
fn crashes_that_different_hosts_see_block_a_request_on_all() {
    let mut hosts: Vec<CrashBook> = (0..4).map(|_| CrashBook::default()).collect();
    for (server, host) in (0..3).zip(&mut hosts) {
        host.record(DEADLY, crash(server), ms(1000), ms(1000));
    }
    let reports: Vec<_> = hosts
        .iter_mut()
        .map(|host| host.reports(ms(1040)))
        .collect();
    for host in &mut hosts {
        let blocked: Vec<u128> = reports
            .iter()
            .flat_map(|reports| host.adopt(reports, ms(1040)))
            .collect();
        assert_eq!(blocked, [DEADLY]);
        assert!(host.is_blocked(DEADLY, ms(1040)));
        assert!(host.take_urgency() && !host.take_urgency());
    }
}

#[test]
fn one_crash_counts_once_however_often_it_is_seen() {
    let mut book = blocked(2);
    for at in [100, 140, 900] {
        assert!(!book.record(DEADLY, crash(1), ms(at), ms(at)));
    }
    let reports = book.reports(ms(900));
    assert!(book.adopt(&reports, ms(2000)).is_empty());
    // The same server crashes again, as another incarnation.
    let again = Crash {
        incarnation: 2,
        ..crash(1)
    };
    assert!(book.record(DEADLY, again, ms(950), ms(950)));
}

/// Guards against the refusal of a request that many callers send, when several servers crash at
/// once for another reason.
#[test]
fn a_request_that_was_answered_is_not_blocked() {
    let mut book = CrashBook::default();
    book.record_answer(DEADLY, ms(50));
    for server in 0..9 {
        assert!(!book.record(DEADLY, crash(server), ms(100), ms(100)));
    }
    assert!(!book.is_blocked(DEADLY, ms(100)));
}

/// Guards against a refusal for minutes of a caller whose request was blocked by mistake.
#[test]
fn an_answer_ends_the_block_on_all_hosts() {
    let (mut host, mut other) = (blocked(3), blocked(3));
    host.record_answer(DEADLY, ms(200));
    other.adopt(&host.reports(ms(240)), ms(240));
    assert!(!host.is_blocked(DEADLY, ms(240)));
    assert!(!other.is_blocked(DEADLY, ms(240)));
    // Reports of the crashes before it, on their way meanwhile, don't count.
    host.adopt(&blocked(3).reports(ms(1000)), ms(1000));
    other.adopt(&blocked(3).reports(ms(1000)), ms(1000));
    assert!(!host.is_blocked(DEADLY, ms(1000)));
    assert!(!other.is_blocked(DEADLY, ms(1000)));
}

/// The servers are mended some day.
#[test]
fn a_blocked_request_is_tried_again_and_blocked_by_one_more_crash() {
    let mut book = blocked(3);
    let end = ms(100) + book.blocked_for(DEADLY, ms(100));
    book.expire(end - ms(1));
    assert!(book.is_blocked(DEADLY, end - ms(1)));
    book.expire(end);
    assert!(!book.is_blocked(DEADLY, end));
    assert!(book.record(DEADLY, crash(8), end, end));
    book.expire(end + ms(1000));
    assert!(book.is_blocked(DEADLY, end + ms(1000)));
}

#[test]
fn a_host_that_starts_later_hears_of_each_blocked_request() {
    let mut book = CrashBook::default();
    for fingerprint in 0..50 {
        for server in 0..3 {
            book.record(fingerprint, crash(server), ms(100), ms(100));
        }
    }
    let mut started = CrashBook::default();
    for beat in 0..75 {
        let now = ms(60_000 + beat * 40);
        started.adopt(&book.reports(now), now);
    }
    assert_eq!(started.blocked_count(ms(63_000)), 50);
}

#[test]
fn a_flood_of_requests_at_crashed_servers_is_bounded() {
    let mut book = blocked(3);
    for fingerprint in 100..5000 {
        book.record(fingerprint, crash(1), ms(200), ms(200));
        book.record_answer(fingerprint + 10_000, ms(200));
        book.expire(ms(200));
    }
    assert!(book.is_blocked(DEADLY, ms(300)));
    assert!(book.reports(ms(300)).len() <= 24 + 2 * 3);
}

proptest! {
    #![proptest_config(fixtures::config())]

    /// Hosts that hear of the same crashes, in any order, block the same requests.
    #[test]
    fn the_order_of_reports_does_not_matter(
        crashes in proptest::collection::vec((0_u128..3, 0_u64..4, 0_u64..1000), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let book = |crashes: &[(u128, u64, u64)]| {
            let mut book = CrashBook::default();
            for (fingerprint, server, at) in crashes {
                book.record(*fingerprint, crash(*server), ms(*at), ms(1000));
            }
            (0..3).map(|f| book.is_blocked(f, ms(1000))).collect::<Vec<bool>>()
        };
        let mut turned = crashes.clone();
        turned.rotate_left(order.index(crashes.len()));
        prop_assert_eq!(book(&crashes), book(&turned));
    }
}
