//! Placement on backend servers, queueing and refusals.

use std::collections;

use proptest::prelude::*;
use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

fn dispatcher_with_servers(count: usize, slots: u32) -> gateway::Dispatcher {
    let mut dispatcher = fixtures::dispatcher();
    for i in 0..count {
        dispatcher
            .servers
            .upsert(fixtures::entry(&format!("s{i}"), "a1", slots), ms(0));
    }
    dispatcher
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
fn requests_for_one_object_go_to_one_server_while_it_has_free_slots() {
    let mut dispatcher = dispatcher_with_servers(6, 9);
    let mut servers = collections::BTreeSet::new();
    for i in 0..20 {
        let now = ms(i * 200);
        let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), 7, now));
        let decisions = dispatcher.decide(now);
        servers.extend(sent(&decisions).into_iter().map(|(_, id)| id));
        dispatcher.finish(ticket, Outcome::Answered, now + ms(100));
    }
    assert_eq!(servers.len(), 1, "{servers:?}");
}

/// Servers in demand for more objects than they keep: each copy of an object at a second server
/// evicts another object there, so a queue of a few requests does not justify one.
#[test]
fn a_short_queue_does_not_load_the_object_at_a_second_server() {
    let mut dispatcher = dispatcher_with_servers(2, 1);
    for _ in 0..3 {
        dispatcher.submit(fixtures::request(fixtures::route("r"), 7, ms(0)));
    }
    let first = sent(&dispatcher.decide(ms(0)));
    assert_eq!(first.len(), 1, "{first:?}");
    // A queue of many other requests does.
    let is_preferred = |(_, s): &(_, &gateway::Server)| s.entry.id == first[0].1;
    let hash = dispatcher
        .servers
        .iter()
        .find(is_preferred)
        .unwrap()
        .1
        .name_hash;
    dispatcher.remote_in_flight.update("other", &[(hash, 12)]);
    let second = sent(&dispatcher.decide(ms(1)));
    assert_ne!(second[0].1, first[0].1);
}

#[test]
fn requests_for_one_object_use_at_most_two_servers_under_overload() {
    let mut dispatcher = dispatcher_with_servers(6, 2);
    let mut servers = collections::BTreeSet::new();
    for _ in 0..30 {
        dispatcher.submit(fixtures::request(fixtures::route("r"), 7, ms(0)));
    }
    servers.extend(
        sent(&dispatcher.decide(ms(0)))
            .into_iter()
            .map(|(_, id)| id),
    );
    assert!(servers.len() <= 2, "{servers:?}");
}

#[test]
fn smaller_rank_gets_slot_first() {
    let mut dispatcher = dispatcher_with_servers(1, 1);
    let blocker = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    dispatcher.decide(ms(0));
    let mut low = fixtures::route("low");
    low.rank = 2;
    let mut high = fixtures::route("high");
    high.rank = 0;
    let low = dispatcher.submit(fixtures::request(low, 1, ms(1)));
    let high = dispatcher.submit(fixtures::request(high, 1, ms(2)));
    assert!(dispatcher.decide(ms(2)).is_empty());
    dispatcher.finish(blocker, Outcome::Answered, ms(100));
    assert_eq!(sent(&dispatcher.decide(ms(100)))[0].0, high);
    dispatcher.finish(high, Outcome::Answered, ms(200));
    assert_eq!(sent(&dispatcher.decide(ms(200)))[0].0, low);
}

#[test]
fn overload_is_refused_immediately_with_retry_after() {
    let mut dispatcher = dispatcher_with_servers(1, 1);
    for _ in 0..60 {
        dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    }
    let decisions = dispatcher.decide(ms(0));
    let refused: Vec<_> = decisions
        .iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Refuse { retry_after, .. } => Some(*retry_after),
            Decision::Send(..) => None,
        })
        .collect();
    assert!(refused.len() > 30, "{} refused", refused.len());
    assert!(refused.iter().all(|retry_after| *retry_after >= ms(100)));
    assert!(dispatcher.waiting_count() > 0);
}

#[test]
fn without_servers_requests_are_refused() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    let decisions = dispatcher.decide(ms(0));
    let reason = gateway::Reason::NoServer;
    assert!(matches!(decisions[0].1, Decision::Refuse { reason: r, .. } if r == reason));
}

#[test]
fn request_with_too_little_time_left_is_refused() {
    let mut dispatcher = dispatcher_with_servers(1, 4);
    let mut req = fixtures::request(fixtures::route("r"), 1, ms(0));
    req.deadline = ms(20);
    dispatcher.submit(req);
    let reason = gateway::Reason::Deadline;
    let decisions = dispatcher.decide(ms(0));
    assert!(matches!(decisions[0].1, Decision::Refuse { reason: r, .. } if r == reason));
}

#[test]
fn allowed_regions_of_a_route_are_respected() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher
        .servers
        .upsert(fixtures::entry("near", "a1", 4), ms(0));
    dispatcher
        .servers
        .upsert(fixtures::entry("home", "b1", 4), ms(0));
    let mut route = fixtures::route("r");
    route.regions = vec!["b".to_string()];
    dispatcher.submit(fixtures::request(route, 1, ms(0)));
    assert_eq!(sent(&dispatcher.decide(ms(0)))[0].1, "home");
}

#[test]
fn other_data_centre_of_the_region_serves_if_the_own_is_evacuated() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher
        .servers
        .upsert(fixtures::entry("own", "a1", 4), ms(0));
    dispatcher
        .servers
        .upsert(fixtures::entry("region", "a2", 4), ms(0));
    dispatcher
        .servers
        .upsert(fixtures::entry("far", "b1", 4), ms(0));
    dispatcher
        .servers
        .set_evacuated(["a1".to_string()].into(), ms(0));
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(1)));
    assert_eq!(sent(&dispatcher.decide(ms(1)))[0].1, "region");
}

#[test]
fn unreachable_server_is_ejected_temporarily() {
    let mut dispatcher = dispatcher_with_servers(1, 4);
    let first = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    dispatcher.decide(ms(0));
    dispatcher.finish(first, Outcome::Unreachable, ms(1));
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(2)));
    assert!(sent(&dispatcher.decide(ms(2))).is_empty());
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(1000)));
    assert_eq!(sent(&dispatcher.decide(ms(1000))).len(), 1);
}

#[test]
fn requests_of_other_hosts_occupy_slots() {
    let mut dispatcher = dispatcher_with_servers(1, 2);
    let hash = dispatcher.servers.iter().next().unwrap().1.name_hash;
    dispatcher.remote_in_flight.update("other", &[(hash, 2)]);
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    assert!(sent(&dispatcher.decide(ms(0))).is_empty());
    dispatcher.remote_in_flight.update("other", &[]);
    assert_eq!(sent(&dispatcher.decide(ms(1))).len(), 1);
}

#[test]
fn new_server_gets_a_request_within_its_first_half_second() {
    let mut dispatcher = dispatcher_with_servers(2, 9);
    for i in 0..200 {
        let now = ms(i * 10);
        let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), i % 12, now));
        dispatcher.decide(now);
        dispatcher.finish(ticket, Outcome::Answered, now + ms(9));
    }
    dispatcher
        .servers
        .upsert(fixtures::entry("new", "a1", 9), ms(2000));
    let mut servers = collections::BTreeSet::new();
    for i in 0..48 {
        let now = ms(2000 + i * 10);
        let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), i % 12, now));
        servers.extend(sent(&dispatcher.decide(now)).into_iter().map(|(_, id)| id));
        dispatcher.finish(ticket, Outcome::Answered, now + ms(9));
    }
    assert!(servers.contains("new"), "{servers:?}");
}

/// Guards against requests to servers that leave while the host connects to them.
#[rstest::rstest]
#[case::unchanged(|_: &mut gateway::ServerEntry| (), true)]
#[case::draining(|entry: &mut gateway::ServerEntry| entry.state = gateway::ServerState::Draining, false)]
#[case::restarted(|entry: &mut gateway::ServerEntry| entry.incarnation += 1, false)]
fn a_request_is_sent_only_while_its_server_accepts_requests(
    #[case] change: fn(&mut gateway::ServerEntry),
    #[case] may_send: bool,
) {
    let mut dispatcher = dispatcher_with_servers(1, 4);
    let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    assert_eq!(sent(&dispatcher.decide(ms(0))).len(), 1);
    let mut entry = fixtures::entry("s0", "a1", 4);
    change(&mut entry);
    dispatcher.servers.upsert(entry, ms(300));
    assert_eq!(dispatcher.may_still_send(ticket, ms(300)), may_send);
    dispatcher.servers.remove("s0", ms(400));
    assert!(!dispatcher.may_still_send(ticket, ms(400)));
}

#[derive(Clone, Debug)]
enum Step {
    Submit { object: u64, rank: u32 },
    Finish { pick: usize, outcome: Outcome },
    Abandon { pick: usize },
    Wait { ms: u64 },
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
        2 => (1u64..300).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(crate::fixtures::config())]

    /// Each request gets exactly one decision, slots are never exceeded, and the request rate of a
    /// cold server stays within its limit.
    #[test]
    fn decisions_respect_slots_and_cold_rate(
        steps in prop::collection::vec(step(), 1..250),
        hosts in 1usize..4,
    ) {
        let slots = 3;
        let mut dispatcher = dispatcher_with_servers(2, slots);
        dispatcher.set_hosts(fixtures::known_hosts(&vec!["a1"; hosts], 0));
        let mut cold = fixtures::entry("cold", "a1", 50);
        cold.warmup_left = ms(60_000);
        dispatcher.servers.upsert(cold, ms(0));
        let mut now = ms(0);
        let mut undecided = collections::BTreeSet::new();
        let mut running: Vec<(gateway::Ticket, String)> = Vec::new();
        let mut cold_sent = Vec::new();
        for step in steps {
            match step {
                Step::Submit { object, rank } => {
                    let mut route = fixtures::route("r");
                    route.rank = rank;
                    undecided.insert(dispatcher.submit(fixtures::request(route, object, now)));
                }
                Step::Finish { pick, outcome } if !running.is_empty() => {
                    let (ticket, _) = running.swap_remove(pick % running.len());
                    dispatcher.finish(ticket, outcome, now);
                }
                Step::Abandon { pick } if !running.is_empty() => {
                    let (ticket, _) = running.swap_remove(pick % running.len());
                    dispatcher.abandon(ticket, now);
                }
                Step::Finish { .. } | Step::Abandon { .. } => {}
                Step::Wait { ms: elapsed } => now += ms(elapsed),
            }
            for (ticket, decision) in dispatcher.decide(now) {
                prop_assert!(undecided.remove(&ticket), "a second decision");
                if let Decision::Send(_, entry) = decision {
                    if entry.id == "cold" {
                        cold_sent.push(now);
                    }
                    running.push((ticket, entry.id));
                }
            }
            for id in ["s0", "s1"] {
                let count = running.iter().filter(|(_, server)| server == id).count();
                prop_assert!(count <= slots as usize, "{count} requests in progress at {id}");
            }
            let in_last_second = cold_sent.iter().filter(|at| **at + ms(1000) > now).count();
            // This host's share of 10 requests per second, plus the one at the start of the second.
            prop_assert!(in_last_second <= 10 / hosts + 1, "{in_last_second} in a second");
        }
        prop_assert_eq!(dispatcher.waiting_count(), undecided.len());
    }
}

#[test]
fn hosts_of_all_data_centres_together_respect_the_cold_rate() {
    let limits = gateway::RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: ms(10_000),
    };
    let data_centres = ["a1", "a1", "a2", "a2", "b1", "b1"];
    let mut dispatchers: Vec<gateway::Dispatcher> = data_centres
        .iter()
        .enumerate()
        .map(|(own, data_centre)| {
            let mut dispatcher = gateway::Dispatcher::new(data_centre, fixtures::regions(), limits);
            dispatcher.set_services(&[("log".to_string(), fixtures::service())].into());
            dispatcher.set_hosts(fixtures::known_hosts(&data_centres, own));
            let mut entry = fixtures::entry("s", "a1", 9);
            entry.warmup_left = ms(3000);
            dispatcher.servers.upsert(entry, ms(0));
            dispatcher
        })
        .collect();
    let mut sent_at = Vec::new();
    for at in (0..3000).step_by(20) {
        for dispatcher in &mut dispatchers {
            dispatcher.submit(fixtures::request(fixtures::route("r"), at, ms(at)));
            for (ticket, _) in sent(&dispatcher.decide(ms(at))) {
                sent_at.push(at);
                dispatcher.finish(ticket, Outcome::Answered, ms(at));
            }
        }
    }
    let in_second = |end: u64| {
        let times = sent_at.iter();
        times.filter(|at| **at <= end && **at + 1000 > end).count()
    };
    let max_in_second = sent_at.iter().map(|end| in_second(*end)).max().unwrap();
    // 1.5 times the rate of 10 requests per second, plus 5.
    assert!(max_in_second <= 20, "{max_in_second} sent in a second");
    assert!(sent_at.len() >= 15, "{} sent", sent_at.len());
}

#[test]
fn number_of_late_requests_that_keep_waiting_is_bounded() {
    let mut dispatcher = dispatcher_with_servers(1, 9);
    let mut route = fixtures::route("r");
    route.timeout = ms(60_000);
    // Responses take 20 ms, with and without the object cached.
    for i in 0..60 {
        let now = ms(i * 30);
        let ticket = dispatcher.submit(fixtures::request(route.clone(), i / 2, now));
        dispatcher.decide(now);
        dispatcher.finish(ticket, Outcome::Answered, now + ms(20));
    }
    for object in 0..40 {
        dispatcher.submit(fixtures::request(route.clone(), object, ms(2000)));
    }
    dispatcher.decide(ms(2000));
    // 9 of the 40 requests are sent to the free slots.
    assert_eq!(dispatcher.waiting_count(), 31);
    // No response arrives within the objective, so all waiting requests become late: 10 may keep
    // waiting, and the other 21 of 31 are refused.
    let refused = dispatcher.decide(ms(2500)).len();
    assert_eq!((dispatcher.waiting_count(), refused), (10, 21));
}
