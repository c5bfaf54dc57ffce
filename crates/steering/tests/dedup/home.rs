//! The home of a key.

use std::time;

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

fn two() -> net::Net {
    net::Net::new(&["h1", "h2"], dedup::Limits::default())
}

#[rstest]
fn runs_only_after_the_witness_recorded_it() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    assert!(net.runs.is_empty());
    net.deliver();
    assert_eq!(net.runs, [("h1".to_string(), 1)]);
    net.ended("h1", 1, net::result("a"));
    assert_eq!(net.answer(1), Some(&net::done("a")));
}

#[rstest]
fn repetition_waits_and_gets_the_first_result() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.request("h1", 2, &key, 7);
    net.deliver();
    net.ended("h1", 1, net::result("a"));
    net.request("h1", 3, &key, 7);
    for id in 1..=3 {
        assert_eq!(net.answer(id), Some(&net::done("a")));
    }
    assert_eq!(net.runs.len(), 1);
}

#[rstest]
fn key_of_another_request_is_refused() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.request("h1", 2, &key, 8);
    let reused = dedup::Response::NotRun(model::NotRunReason::KeyReused);
    assert_eq!(net.answer(2), Some(&reused));
    assert_eq!(net.answer(1), None);
}

#[rstest]
fn silent_witness_means_not_run_for_good() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    let late = net.wire.clone();
    net.pass(time::Duration::from_millis(1100), false);
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.answer(1), Some(&refused));
    assert_eq!(net.key("h1", "token-02").witness, None);
    net.wire = late;
    net.deliver();
    net.request("h1", 2, &key, 7);
    net.deliver();
    assert_eq!(net.answer(2), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn replaced_witness_means_not_run() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.start("h2", 2);
    net.request("h1", 1, &key, 7);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.answer(1), Some(&refused));
    assert!(net.runs.is_empty());
}

/// The home still lists the old process of the witness, of which the host has started another.
#[rstest]
fn witness_that_is_another_process_is_not_chosen_again() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    let mut other = net::Net::new(&["h2"], dedup::Limits::default());
    other.start("h2", 2);
    let replacement = other.hosts.remove("h2").unwrap();
    net.hosts.insert("h2".to_string(), replacement);
    net.request("h1", 1, &key, 7);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.answer(1), Some(&refused));
    assert_eq!(net.key("h1", "token-02").witness, None);
}

#[rstest]
fn single_host_runs_without_witness() {
    let mut net = net::Net::new(&["h1"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    assert_eq!(key.witness, None);
    net.request("h1", 1, &key, 7);
    assert_eq!(net.runs, [("h1".to_string(), 1)]);
}

#[rstest]
fn resumed_after_the_deadline_it_does_not_run() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.now += time::Duration::from_secs(3600);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::Deadline);
    assert_eq!(net.answer(1), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn cancelled_before_the_record_it_does_not_run() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.hosts.get_mut("h1").unwrap().on_cancelled(1);
    net.deliver();
    net.request("h1", 2, &key, 7);
    let refused = dedup::Response::NotRun(model::NotRunReason::Cancelled);
    assert_eq!(net.answer(2), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn run_without_an_end_is_unknown_at_the_deadline() {
    let mut net = two();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.pass(time::Duration::from_secs(6), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Deadline);
    assert_eq!(net.answer(1), Some(&unknown));
    net.ended("h1", 1, net::result("a"));
    net.request("h1", 2, &key, 7);
    assert_eq!(net.answer(2), Some(&net::done("a")));
}
