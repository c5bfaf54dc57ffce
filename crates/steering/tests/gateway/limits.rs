//! Limits that backend servers name on their request rates.

use rstest::rstest;
use yuccatide_steering::gateway::{self, Decision, Outcome, ServerSignals};

use crate::fixtures::{self, ms};

fn named(limit: Option<f64>) -> ServerSignals {
    ServerSignals {
        limit,
        ..ServerSignals::default()
    }
}

/// Dispatchers of 33 hosts in each of two data centres, that know one server each, `a` and `b`, and
/// a limit of the first.
fn fleet(limit: f64) -> Vec<gateway::Dispatcher> {
    let data_centres = [["a1"; 33], ["b1"; 33]].concat();
    let limits = gateway::RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: ms(10_000),
    };
    data_centres
        .iter()
        .enumerate()
        .map(|(own, data_centre)| {
            let mut dispatcher = gateway::Dispatcher::new(data_centre, fixtures::regions(), limits);
            dispatcher.set_services(&[("log".to_string(), fixtures::service())].into());
            dispatcher.set_hosts(fixtures::known_hosts(&data_centres, own));
            for (id, data_centre) in [("a", "a1"), ("b", "b1")] {
                let entry = fixtures::entry(id, data_centre, 9);
                dispatcher.servers.upsert(entry, ms(0));
            }
            let server = name_hash(&dispatcher, "a");
            dispatcher
                .limits_mut()
                .record(server, 1, Some(limit), ms(0));
            dispatcher
        })
        .collect()
}

fn name_hash(dispatcher: &gateway::Dispatcher, id: &str) -> u64 {
    let mut servers = dispatcher.servers.iter();
    servers.find(|(_, s)| s.entry.id == id).unwrap().1.name_hash
}

/// Server of each request that a host sends at once, when it has one request; `None` if it refuses
/// or waits.
fn send_one(dispatcher: &mut gateway::Dispatcher, object: u64, at: u64) -> Option<String> {
    dispatcher.submit(fixtures::request(fixtures::route("r"), object, ms(at)));
    let mut server = None;
    for (ticket, decision) in dispatcher.decide(ms(at)) {
        if let Decision::Send(_, entry) = decision {
            dispatcher.finish(ticket, Outcome::Answered, ms(at));
            server = Some(entry.id);
        }
    }
    server
}

/// Guards against servers in need that get more than their limits from all hosts together, also in
/// the moment in which all hosts learn of them.
#[rstest]
#[case(0.0)]
#[case(0.5)]
#[case(7.8)]
#[case(13.6)]
fn all_hosts_together_keep_a_limit(#[case] limit: f64) {
    let mut fleet = fleet(limit);
    let mut sent_at = Vec::new();
    for at in (0..10_000).step_by(50) {
        for (i, dispatcher) in fleet.iter_mut().enumerate() {
            let server = send_one(dispatcher, at * 1000 + i as u64, at);
            sent_at.extend((server.as_deref() == Some("a")).then_some(at));
        }
    }
    let in_4_s = |start: u64| {
        let times = sent_at.iter();
        times
            .filter(|at| (start..start + 4000).contains(*at))
            .count()
    };
    let max = sent_at.iter().map(|at| in_4_s(*at)).max().unwrap_or(0);
    let tolerated = (4.0 * limit * 1.5 + 5.0) as usize;
    assert!(max <= tolerated, "{max} in 4 s, tolerated are {tolerated}");
    // The limit is used, and a server whose limit is 0 still shows whether it has lifted it.
    let expected = (10.0 * limit * 0.7).max(1.0) as usize;
    assert!(sent_at.len() >= expected, "{} in 10 s", sent_at.len());
}

#[test]
fn work_beyond_the_limit_goes_to_other_servers() {
    let mut fleet = fleet(0.5);
    for i in 0..200 {
        let server = send_one(&mut fleet[0], i, i * 10);
        assert!(server.is_some(), "request {i}");
    }
}

#[test]
fn a_host_without_a_share_refuses_at_once_and_names_a_time() {
    let mut fleet = fleet(0.5);
    let refused: Vec<_> = fleet
        .iter_mut()
        .filter_map(|dispatcher| {
            dispatcher.servers.remove("b", ms(0));
            dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(1)));
            match dispatcher.decide(ms(1)).remove(0).1 {
                Decision::Refuse {
                    reason,
                    retry_after,
                } => Some((reason, retry_after)),
                Decision::Send(..) => None,
            }
        })
        .collect();
    assert!(refused.len() >= 60, "{} of 66", refused.len());
    let expected = (gateway::Reason::Overload, ms(1000));
    assert!(
        refused.iter().all(|refusal| *refusal == expected),
        "{refused:?}"
    );
}

#[test]
fn an_answer_without_a_limit_lifts_it_and_a_restart_ends_it() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher
        .servers
        .upsert(fixtures::entry("s", "a1", 9), ms(0));
    let server = name_hash(&dispatcher, "s");
    let say = |dispatcher: &mut gateway::Dispatcher, limit, at| {
        let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(at)));
        dispatcher.decide(ms(at));
        let changed = dispatcher.record_signals(ticket, named(limit), ms(at));
        dispatcher.finish(ticket, Outcome::Answered, ms(at));
        changed.is_some()
    };
    assert!(say(&mut dispatcher, Some(100.0), 0));
    assert!(!say(&mut dispatcher, Some(100.0), 100));
    assert_eq!(dispatcher.limits().get(server, 1), Some(100.0));
    assert!(say(&mut dispatcher, None, 200));
    assert_eq!(dispatcher.limits().get(server, 1), None);
    assert!(say(&mut dispatcher, Some(7.0), 300));
    assert_eq!(dispatcher.limits().get(server, 2), None);
}

#[test]
fn the_newest_word_of_a_limit_counts_whoever_heard_it() {
    let news = |value, incarnation, age| gateway::SignalNews {
        server: 1,
        incarnation,
        value,
        age: ms(age),
    };
    let mut limits = gateway::SignalBook::default();
    let adopt =
        |limits: &mut gateway::SignalBook<f64>, news, at| limits.adopt(&[news], ms(at)).len();
    assert_eq!(adopt(&mut limits, news(Some(5.0), 1, 300), 1000), 1);
    // Older than what is known.
    assert_eq!(adopt(&mut limits, news(Some(9.0), 1, 500), 1000), 0);
    assert_eq!(limits.get(1, 1), Some(5.0));
    assert_eq!(adopt(&mut limits, news(None, 1, 100), 1000), 1);
    assert_eq!(limits.get(1, 1), None);
    // Of an incarnation that has ended.
    assert!(limits.record(1, 2, Some(3.0), ms(1000)));
    assert_eq!(adopt(&mut limits, news(Some(9.0), 1, 0), 2000), 0);
    assert_eq!(limits.get(1, 2), Some(3.0));
    assert_eq!(limits.news(ms(2000))[0].age, ms(1000));
    // Limits end that nobody has seen confirmed for long.
    limits.expire(ms(60_000), ms(62_000));
    assert_eq!((limits.count(), limits.news(ms(62_000)).len()), (0, 0));
}

#[test]
fn a_limited_server_counts_with_what_it_takes() {
    let dispatcher = &fleet(2.0)[0];
    let slots = dispatcher.usable_slots("log", ms(500), ms(0));
    assert_eq!((slots["a1"], slots["b1"]), (1.0, 9.0));
}

/// Answers that were made before the server named its limit may be read after it.
#[test]
fn an_answer_to_an_earlier_request_lifts_no_limit() {
    let mut limits = gateway::SignalBook::default();
    assert!(limits.record_answer(1, 1, Some(5.0), ms(0), ms(500)));
    assert!(!limits.record_answer(1, 1, None, ms(100), ms(600)));
    assert_eq!(limits.get(1, 1), Some(5.0));
    assert!(limits.record_answer(1, 1, None, ms(700), ms(900)));
    assert_eq!(limits.get(1, 1), None);
}
