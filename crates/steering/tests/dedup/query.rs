//! Requests that reach another host than their home.

use std::{mem, time};

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

const GONE: dedup::Response = dedup::Response::NotRun(model::NotRunReason::HomeGone);

/// Two hosts besides the home: the witness of the key, and another one.
struct Case {
    net: net::Net,
    key: model::IdempotencyKey,
    witness: String,
    other: String,
}

fn case() -> Case {
    let net = net::Net::new(&["h1", "h2", "h3"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    let witness = key.witness.clone().unwrap().host;
    let other = if witness == "h2" { "h3" } else { "h2" };
    Case {
        net,
        key,
        witness,
        other: other.to_string(),
    }
}

#[rstest]
fn forwarded_to_the_home_and_never_run_elsewhere() {
    let mut c = case();
    c.net.request(&c.other, 2, &c.key, 7);
    assert_eq!(c.net.forwards, [(c.other.clone(), 2)]);
    c.net.request("h1", 2, &c.key, 7);
    c.net.deliver();
    assert_eq!(c.net.runs, [("h1".to_string(), 2)]);
}

#[rstest]
#[case::by_another_host(false)]
#[case::by_the_witness(true)]
fn home_gone_before_the_record_means_not_run(#[case] at_witness: bool) {
    let mut c = case();
    c.net.kill("h1");
    let host = if at_witness { &c.witness } else { &c.other };
    c.net.request(host, 2, &c.key, 7);
    c.net.deliver();
    assert_eq!(c.net.answer(2), Some(&GONE));
}

#[rstest]
fn home_gone_during_the_run_means_unknown() {
    let mut c = case();
    c.net.request("h1", 1, &c.key, 7);
    c.net.deliver();
    c.net.kill("h1");
    c.net.request(&c.other, 2, &c.key, 7);
    c.net.pass(time::Duration::from_secs(2), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Started);
    assert_eq!(c.net.answer(2), Some(&unknown));
}

#[rstest]
fn home_gone_after_the_run_means_the_result() {
    let mut c = case();
    c.net.request("h1", 1, &c.key, 7);
    c.net.deliver();
    c.net.ended("h1", 1, net::result("a"));
    c.net.deliver();
    c.net.kill("h1");
    c.net.request(&c.other, 2, &c.key, 7);
    c.net.deliver();
    assert_eq!(c.net.answer(2), Some(&net::done("a")));
}

#[rstest]
fn replaced_home_does_not_run_the_keys_of_the_old_one() {
    let mut c = case();
    c.net.start("h1", 2);
    c.net.request("h1", 2, &c.key, 7);
    c.net.deliver();
    assert_eq!(c.net.answer(2), Some(&GONE));
    assert!(c.net.runs.is_empty());
}

#[rstest]
fn home_that_resumes_is_refused_what_was_answered_not_run() {
    let mut c = case();
    c.net.request("h1", 1, &c.key, 7);
    let held = mem::take(&mut c.net.wire);
    let peers = [net::peer("h2", 1), net::peer("h3", 1)];
    let now = c.net.now;
    let other = c.other.clone();
    c.net.act(&other, |host| host.set_members(&peers, now));
    c.net.request(&other, 2, &c.key, 7);
    c.net.deliver();
    assert_eq!(c.net.answer(2), Some(&GONE));
    c.net.wire = held;
    c.net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(c.net.answer(1), Some(&refused));
    assert!(c.net.runs.is_empty());
}

#[rstest]
fn broken_forward_is_fenced_at_the_home() {
    let mut c = case();
    c.net.request(&c.other, 2, &c.key, 7);
    let (now, other) = (c.net.now, c.other.clone());
    c.net
        .act(&other, |host| host.on_forward_ended(2, false, now));
    c.net.deliver();
    assert_eq!(c.net.answer(2), Some(&GONE));
    c.net.request("h1", 1, &c.key, 7);
    c.net.deliver();
    assert!(c.net.runs.is_empty());
    assert_eq!(c.net.answer(1), Some(&GONE));
}

#[rstest]
fn broken_forward_gets_the_result_of_the_running_request() {
    let mut c = case();
    c.net.request("h1", 1, &c.key, 7);
    c.net.deliver();
    c.net.request(&c.other, 2, &c.key, 7);
    let (now, other) = (c.net.now, c.other.clone());
    c.net
        .act(&other, |host| host.on_forward_ended(2, false, now));
    c.net.pass(time::Duration::from_secs(1), true);
    assert_eq!(c.net.answer(2), None);
    c.net.ended("h1", 1, net::result("a"));
    c.net.pass(time::Duration::from_secs(2), true);
    assert_eq!(c.net.answer(2), Some(&net::done("a")));
}

#[rstest]
#[case::unreachable(false)]
#[case::replaced(true)]
fn without_home_and_witness_it_is_unknown(#[case] replaced: bool) {
    let mut c = case();
    c.net.kill("h1");
    c.net.kill(&c.witness.clone());
    if replaced {
        c.net.start(&c.witness.clone(), 2);
    }
    c.net.request(&c.other, 2, &c.key, 7);
    c.net.pass(time::Duration::from_secs(2), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Unreachable);
    assert_eq!(c.net.answer(2), Some(&unknown));
}

#[rstest]
fn replies_of_other_hosts_and_for_other_keys_are_dropped() {
    let mut c = case();
    c.net.kill("h1");
    c.net.request(&c.other, 2, &c.key, 7);
    c.net.wire.clear();
    let reply = |key: &model::IdempotencyKey| dedup::Message::QueryReply {
        id: 2,
        key: key.clone(),
        verdict: dedup::KeyStatus::Ended(net::result("b")),
    };
    let foreign = model::IdempotencyKey {
        token: "token-02".to_string(),
        ..c.key.clone()
    };
    let (now, other, witness) = (c.net.now, c.other.clone(), c.witness.clone());
    c.net.act(&other, |host| {
        host.on_message(&witness, reply(&foreign), now)
    });
    c.net
        .act(&other, |host| host.on_message("h9", reply(&c.key), now));
    assert_eq!(c.net.answer(2), None);
    assert_eq!(c.net.hosts[&other].snapshot().counters.strays, 2);
}
