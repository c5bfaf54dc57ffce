//! Placement, waiting and refusals.

use std::collections;

use proptest::prelude::*;
use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

fn with_servers(count: usize, slots: u32) -> gateway::Dispatcher {
    let mut pool = fixtures::pool();
    for i in 0..count {
        pool.servers
            .upsert(fixtures::entry(&format!("s{i}"), "a1", slots), ms(0));
    }
    pool
}

fn sent(decisions: &[(gateway::Ticket, Decision)]) -> Vec<(gateway::Ticket, String)> {
    decisions
        .iter()
        .filter_map(|(ticket, decision)| match decision {
            Decision::Send(_, entry) => Some((*ticket, entry.id.clone())),
            Decision::Refuse { .. } => None,
        })
        .collect()
}

#[test]
fn requests_for_one_object_meet_at_one_server() {
    let mut pool = with_servers(6, 9);
    let mut servers = collections::BTreeSet::new();
    for i in 0..20 {
        let now = ms(i * 200);
        let ticket = pool.submit(fixtures::request(fixtures::route("r"), 7, now));
        let decisions = pool.decide(1, now);
        servers.extend(sent(&decisions).into_iter().map(|(_, id)| id));
        pool.finish(ticket, Outcome::Answered, now + ms(100));
    }
    assert_eq!(servers.len(), 1, "{servers:?}");
}

#[test]
fn an_object_is_spread_over_two_servers_at_most() {
    let mut pool = with_servers(6, 2);
    let mut servers = collections::BTreeSet::new();
    for _ in 0..30 {
        pool.submit(fixtures::request(fixtures::route("r"), 7, ms(0)));
    }
    servers.extend(sent(&pool.decide(1, ms(0))).into_iter().map(|(_, id)| id));
    assert!(servers.len() <= 2, "{servers:?}");
}

#[test]
fn higher_ranks_get_slots_first() {
    let mut pool = with_servers(1, 1);
    let blocker = pool.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    pool.decide(1, ms(0));
    let mut low = fixtures::route("low");
    low.rank = 2;
    let mut high = fixtures::route("high");
    high.rank = 0;
    let low = pool.submit(fixtures::request(low, 1, ms(1)));
    let high = pool.submit(fixtures::request(high, 1, ms(2)));
    assert!(pool.decide(1, ms(2)).is_empty());
    pool.finish(blocker, Outcome::Answered, ms(100));
    assert_eq!(sent(&pool.decide(1, ms(100)))[0].0, high);
    pool.finish(high, Outcome::Answered, ms(200));
    assert_eq!(sent(&pool.decide(1, ms(200)))[0].0, low);
}

#[test]
fn overload_is_refused_at_once_with_a_time_to_come_back() {
    let mut pool = with_servers(1, 1);
    for _ in 0..60 {
        pool.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    }
    let decisions = pool.decide(1, ms(0));
    let refused: Vec<_> = decisions
        .iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Refuse { retry_after, .. } => Some(*retry_after),
            Decision::Send(..) => None,
        })
        .collect();
    assert!(refused.len() > 30, "{}", refused.len());
    assert!(refused.iter().all(|pause| *pause >= ms(100)));
    assert!(pool.waiting_count() > 0);
}

#[test]
fn without_servers_requests_are_refused() {
    let mut pool = fixtures::pool();
    pool.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    let decisions = pool.decide(1, ms(0));
    let reason = gateway::Reason::NoServer;
    assert!(matches!(decisions[0].1, Decision::Refuse { reason: r, .. } if r == reason));
}

#[test]
fn a_request_without_time_left_is_not_sent() {
    let mut pool = with_servers(1, 4);
    let mut req = fixtures::request(fixtures::route("r"), 1, ms(0));
    req.deadline = ms(20);
    pool.submit(req);
    let reason = gateway::Reason::Deadline;
    let decisions = pool.decide(1, ms(0));
    assert!(matches!(decisions[0].1, Decision::Refuse { reason: r, .. } if r == reason));
}

#[test]
fn regions_of_a_route_bind() {
    let mut pool = fixtures::pool();
    pool.servers.upsert(fixtures::entry("near", "a1", 4), ms(0));
    pool.servers.upsert(fixtures::entry("home", "b1", 4), ms(0));
    let mut route = fixtures::route("r");
    route.regions = vec!["b".to_string()];
    pool.submit(fixtures::request(route, 1, ms(0)));
    assert_eq!(sent(&pool.decide(1, ms(0)))[0].1, "home");
}

#[test]
fn neighbours_serve_where_the_own_data_centre_can_not() {
    let mut pool = fixtures::pool();
    pool.servers.upsert(fixtures::entry("own", "a1", 4), ms(0));
    pool.servers
        .upsert(fixtures::entry("region", "a2", 4), ms(0));
    pool.servers.upsert(fixtures::entry("far", "b1", 4), ms(0));
    pool.servers.set_evacuated(["a1".to_string()].into(), ms(0));
    pool.submit(fixtures::request(fixtures::route("r"), 1, ms(1)));
    assert_eq!(sent(&pool.decide(1, ms(1)))[0].1, "region");
}

#[test]
fn a_server_that_can_not_be_reached_is_left_alone_for_a_while() {
    let mut pool = with_servers(1, 4);
    let first = pool.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    pool.decide(1, ms(0));
    pool.finish(first, Outcome::Unreachable, ms(1));
    pool.submit(fixtures::request(fixtures::route("r"), 1, ms(2)));
    assert!(sent(&pool.decide(1, ms(2))).is_empty());
    pool.submit(fixtures::request(fixtures::route("r"), 1, ms(1000)));
    assert_eq!(sent(&pool.decide(1, ms(1000))).len(), 1);
}

#[test]
fn other_hosts_requests_take_slots() {
    let mut pool = with_servers(1, 2);
    let hash = pool.servers.iter().next().unwrap().1.hash;
    pool.servers.set_remote_in_flight(&[(hash, 2)].into());
    pool.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    assert!(sent(&pool.decide(2, ms(0))).is_empty());
    pool.servers
        .set_remote_in_flight(&collections::HashMap::new());
    assert_eq!(sent(&pool.decide(2, ms(1))).len(), 1);
}

#[test]
fn a_server_without_its_first_request_gets_one() {
    let mut pool = with_servers(2, 9);
    for i in 0..200 {
        let now = ms(i * 10);
        let ticket = pool.submit(fixtures::request(fixtures::route("r"), i % 12, now));
        pool.decide(1, now);
        pool.finish(ticket, Outcome::Answered, now + ms(9));
    }
    pool.servers
        .upsert(fixtures::entry("new", "a1", 9), ms(2000));
    let mut servers = collections::BTreeSet::new();
    for i in 0..48 {
        let now = ms(2000 + i * 10);
        let ticket = pool.submit(fixtures::request(fixtures::route("r"), i % 12, now));
        servers.extend(sent(&pool.decide(1, now)).into_iter().map(|(_, id)| id));
        pool.finish(ticket, Outcome::Answered, now + ms(9));
    }
    assert!(servers.contains("new"), "{servers:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Submit { object: u64, rank: u32 },
    Finish { pick: usize, outcome: Outcome },
    Abandon { pick: usize },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::Broken),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Misdirected),
    ];
    prop_oneof![
        4 => (0u64..20, 0u32..3).prop_map(|(object, rank)| Step::Submit { object, rank }),
        3 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Abandon { pick }),
        2 => (1u64..300).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    #![proptest_config(crate::fixtures::config())]

    /// Each request gets one decision, slots are never exceeded, and cold servers keep their rate.
    #[test]
    fn histories(steps in prop::collection::vec(step(), 1..250), hosts in 1usize..4) {
        let slots = 3;
        let mut pool = with_servers(2, slots);
        let mut cold = fixtures::entry("cold", "a1", 50);
        cold.warmup_left = ms(60_000);
        pool.servers.upsert(cold, ms(0));
        let mut now = ms(0);
        let mut open = collections::BTreeSet::new();
        let mut running: Vec<(gateway::Ticket, String)> = Vec::new();
        let mut cold_sent = Vec::new();
        for step in steps {
            match step {
                Step::Submit { object, rank } => {
                    let mut route = fixtures::route("r");
                    route.rank = rank;
                    open.insert(pool.submit(fixtures::request(route, object, now)));
                }
                Step::Finish { pick, outcome } if !running.is_empty() => {
                    let (ticket, _) = running.swap_remove(pick % running.len());
                    pool.finish(ticket, outcome, now);
                }
                Step::Abandon { pick } if !running.is_empty() => {
                    let (ticket, _) = running.swap_remove(pick % running.len());
                    pool.abandon(ticket, now);
                }
                Step::Finish { .. } | Step::Abandon { .. } => {}
                Step::Pass { ms: passed } => now += ms(passed),
            }
            for (ticket, decision) in pool.decide(hosts, now) {
                prop_assert!(open.remove(&ticket), "a second decision");
                if let Decision::Send(_, entry) = decision {
                    if entry.id == "cold" {
                        cold_sent.push(now);
                    }
                    running.push((ticket, entry.id));
                }
            }
            for id in ["s0", "s1"] {
                let count = running.iter().filter(|(_, server)| server == id).count();
                prop_assert!(count <= slots as usize, "{count} at {id}");
            }
            let second = cold_sent.iter().filter(|at| **at + ms(1000) > now).count();
            // This host's part of 10 requests a second, and the one that begins the second.
            prop_assert!(second <= 10 / hosts + 1, "{second} in a second");
        }
        prop_assert_eq!(pool.waiting_count(), open.len());
    }
}

#[test]
fn a_cold_server_is_spared_by_the_hosts_of_all_data_centres() {
    let limits = gateway::RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: ms(10_000),
    };
    let places = ["a1", "a1", "a2", "a2", "b1", "b1"];
    let mut pools: Vec<gateway::Dispatcher> = places
        .iter()
        .map(|place| {
            let mut pool = gateway::Dispatcher::new(place, fixtures::regions(), limits);
            pool.set_services(&[("log".to_string(), fixtures::service())].into());
            pool.set_host_count(places.len());
            let mut entry = fixtures::entry("s", "a1", 9);
            entry.warmup_left = ms(3000);
            pool.servers.upsert(entry, ms(0));
            pool
        })
        .collect();
    let mut sent_at = Vec::new();
    for at in (0..3000).step_by(20) {
        for pool in &mut pools {
            pool.submit(fixtures::request(fixtures::route("r"), at, ms(at)));
            for (ticket, _) in sent(&pool.decide(2, ms(at))) {
                sent_at.push(at);
                pool.finish(ticket, Outcome::Answered, ms(at));
            }
        }
    }
    let in_second = |end: u64| {
        let times = sent_at.iter();
        times.filter(|at| **at <= end && **at + 1000 > end).count()
    };
    let most = sent_at.iter().map(|end| in_second(*end)).max().unwrap();
    // Half more than the rate of ten a second, and five.
    assert!(most <= 20, "{most}");
    assert!(sent_at.len() >= 15, "{}", sent_at.len());
}

#[test]
fn few_of_the_requests_that_turned_late_go_on_to_wait() {
    let mut pool = with_servers(1, 9);
    let mut route = fixtures::route("r");
    route.timeout = ms(60_000);
    // Answers within 20 ms, with objects in the cache and without.
    for i in 0..60 {
        let now = ms(i * 30);
        let ticket = pool.submit(fixtures::request(route.clone(), i / 2, now));
        pool.decide(1, now);
        pool.finish(ticket, Outcome::Answered, now + ms(20));
    }
    for object in 0..40 {
        pool.submit(fixtures::request(route.clone(), object, ms(2000)));
    }
    pool.decide(1, ms(2000));
    assert_eq!(pool.waiting_count(), 31);
    // Nothing is answered for longer than the objective.
    let refused = pool.decide(1, ms(2500)).len();
    assert_eq!((pool.waiting_count(), refused), (10, 21));
}
