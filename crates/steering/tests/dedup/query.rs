//! Requests that arrive at a host other than their home.

use std::{mem, time};

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

/// Response after another host queried the home or witness before the request had started.
const REFUSED_BY_QUERY: dedup::Response = dedup::Response::NotRun(model::NotRunReason::HomeGone);

/// A home `h1`, the witness of the key and one other host.
struct Scenario {
    net: net::Net,
    key: model::IdempotencyKey,
    witness: String,
    other: String,
}

fn scenario() -> Scenario {
    let net = net::Net::new(&["h1", "h2", "h3"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    let witness = key.witness.clone().unwrap().host;
    let other = if witness == "h2" { "h3" } else { "h2" };
    Scenario {
        net,
        key,
        witness,
        other: other.to_string(),
    }
}

#[rstest]
fn request_is_forwarded_to_home_and_not_run_elsewhere() {
    let mut scenario = scenario();
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    assert_eq!(scenario.net.forwards, [(scenario.other.clone(), 2)]);
    scenario.net.request("h1", 2, &scenario.key, 7);
    scenario.net.deliver();
    assert_eq!(scenario.net.runs, [("h1".to_string(), 2)]);
}

#[rstest]
#[case::by_another_host(false)]
#[case::by_the_witness(true)]
fn home_lost_before_record_makes_request_not_run(#[case] at_witness: bool) {
    let mut scenario = scenario();
    scenario.net.kill("h1");
    let host = if at_witness {
        &scenario.witness
    } else {
        &scenario.other
    };
    scenario.net.request(host, 2, &scenario.key, 7);
    scenario.net.deliver();
    assert_eq!(scenario.net.response(2), Some(&REFUSED_BY_QUERY));
}

#[rstest]
fn home_lost_during_run_makes_outcome_unknown() {
    let mut scenario = scenario();
    scenario.net.request("h1", 1, &scenario.key, 7);
    scenario.net.deliver();
    scenario.net.kill("h1");
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    scenario.net.advance(time::Duration::from_secs(2), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Started);
    assert_eq!(scenario.net.response(2), Some(&unknown));
}

#[rstest]
fn witness_returns_stored_result_if_home_is_lost_after_run() {
    let mut scenario = scenario();
    scenario.net.request("h1", 1, &scenario.key, 7);
    scenario.net.deliver();
    scenario.net.on_run_ended("h1", 1, net::result("a"));
    scenario.net.deliver();
    scenario.net.kill("h1");
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    scenario.net.deliver();
    assert_eq!(scenario.net.response(2), Some(&net::done("a")));
}

#[rstest]
fn restarted_home_does_not_run_keys_of_previous_process() {
    let mut scenario = scenario();
    scenario.net.start("h1", 2);
    scenario.net.request("h1", 2, &scenario.key, 7);
    scenario.net.deliver();
    assert_eq!(scenario.net.response(2), Some(&REFUSED_BY_QUERY));
    assert!(scenario.net.runs.is_empty());
}

#[rstest]
fn home_does_not_run_request_that_witness_refused_for_another_host() {
    let mut scenario = scenario();
    scenario.net.request("h1", 1, &scenario.key, 7);
    let held = mem::take(&mut scenario.net.in_flight);
    let peers = [net::peer("h2", 1), net::peer("h3", 1)];
    let now = scenario.net.now;
    let other = scenario.other.clone();
    scenario
        .net
        .apply(&other, |host| host.set_members(&peers, now));
    scenario.net.request(&other, 2, &scenario.key, 7);
    scenario.net.deliver();
    assert_eq!(scenario.net.response(2), Some(&REFUSED_BY_QUERY));
    scenario.net.in_flight = held;
    scenario.net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(scenario.net.response(1), Some(&refused));
    assert!(scenario.net.runs.is_empty());
}

#[rstest]
fn home_refuses_request_queried_after_interrupted_forward() {
    let mut scenario = scenario();
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    let (now, other) = (scenario.net.now, scenario.other.clone());
    scenario
        .net
        .apply(&other, |host| host.on_forward_ended(2, false, now));
    scenario.net.deliver();
    assert_eq!(scenario.net.response(2), Some(&REFUSED_BY_QUERY));
    scenario.net.request("h1", 1, &scenario.key, 7);
    scenario.net.deliver();
    assert!(scenario.net.runs.is_empty());
    assert_eq!(scenario.net.response(1), Some(&REFUSED_BY_QUERY));
}

#[rstest]
fn interrupted_forward_gets_result_of_running_request() {
    let mut scenario = scenario();
    scenario.net.request("h1", 1, &scenario.key, 7);
    scenario.net.deliver();
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    let (now, other) = (scenario.net.now, scenario.other.clone());
    scenario
        .net
        .apply(&other, |host| host.on_forward_ended(2, false, now));
    scenario.net.advance(time::Duration::from_secs(1), true);
    assert_eq!(scenario.net.response(2), None);
    scenario.net.on_run_ended("h1", 1, net::result("a"));
    scenario.net.advance(time::Duration::from_secs(2), true);
    assert_eq!(scenario.net.response(2), Some(&net::done("a")));
}

#[rstest]
#[case::unreachable(false)]
#[case::replaced(true)]
fn outcome_is_unknown_without_home_and_witness(#[case] replaced: bool) {
    let mut scenario = scenario();
    scenario.net.kill("h1");
    scenario.net.kill(&scenario.witness.clone());
    if replaced {
        scenario.net.start(&scenario.witness.clone(), 2);
    }
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    scenario.net.advance(time::Duration::from_secs(2), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Unreachable);
    assert_eq!(scenario.net.response(2), Some(&unknown));
}

#[rstest]
fn replies_from_other_hosts_or_for_other_keys_are_dropped() {
    let mut scenario = scenario();
    scenario.net.kill("h1");
    scenario.net.request(&scenario.other, 2, &scenario.key, 7);
    scenario.net.in_flight.clear();
    let reply = |key: &model::IdempotencyKey| dedup::Message::QueryReply {
        id: 2,
        key: key.clone(),
        verdict: dedup::KeyStatus::Ended(net::result("b")),
    };
    let foreign = model::IdempotencyKey {
        token: "token-02".to_string(),
        ..scenario.key.clone()
    };
    let (now, other, witness) = (
        scenario.net.now,
        scenario.other.clone(),
        scenario.witness.clone(),
    );
    scenario.net.apply(&other, |host| {
        host.on_message(&witness, reply(&foreign), now)
    });
    scenario.net.apply(&other, |host| {
        host.on_message("h9", reply(&scenario.key), now)
    });
    assert_eq!(scenario.net.response(2), None);
    assert_eq!(scenario.net.hosts[&other].snapshot().counters.strays, 2);
}
