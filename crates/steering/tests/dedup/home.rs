//! Requests at the home of their key.

use std::time;

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

fn two_hosts() -> net::Net {
    net::Net::new(&["h1", "h2"], dedup::Limits::default())
}

#[rstest]
fn runs_only_after_witness_records_key() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    assert!(net.runs.is_empty());
    net.deliver();
    assert_eq!(net.runs, [("h1".to_string(), 1)]);
    net.on_run_ended("h1", 1, net::result("a"));
    assert_eq!(net.response(1), Some(&net::done("a")));
}

#[rstest]
fn duplicate_waits_and_gets_first_result() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.request("h1", 2, &key, 7);
    net.deliver();
    net.on_run_ended("h1", 1, net::result("a"));
    net.request("h1", 3, &key, 7);
    for id in 1..=3 {
        assert_eq!(net.response(id), Some(&net::done("a")));
    }
    assert_eq!(net.runs.len(), 1);
}

#[rstest]
fn key_reused_for_different_request_is_refused() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.request("h1", 2, &key, 8);
    let reused = dedup::Response::NotRun(model::NotRunReason::KeyReused);
    assert_eq!(net.response(2), Some(&reused));
    assert_eq!(net.response(1), None);
}

#[rstest]
fn unresponsive_witness_makes_request_not_run_permanently() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    let late = net.in_flight.clone();
    net.advance(time::Duration::from_millis(1100), false);
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.response(1), Some(&refused));
    assert_eq!(net.key("h1", "token-02").witness, None);
    net.in_flight = late;
    net.deliver();
    net.request("h1", 2, &key, 7);
    net.deliver();
    assert_eq!(net.response(2), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn restarted_witness_makes_request_not_run() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.start("h2", 2);
    net.request("h1", 1, &key, 7);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.response(1), Some(&refused));
    assert!(net.runs.is_empty());
}

/// The witness host restarts while the home's member list still contains its previous process.
#[rstest]
fn witness_replaced_by_new_process_is_not_selected_again() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    let mut other = net::Net::new(&["h2"], dedup::Limits::default());
    other.start("h2", 2);
    let replacement = other.hosts.remove("h2").unwrap();
    net.hosts.insert("h2".to_string(), replacement);
    net.request("h1", 1, &key, 7);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.response(1), Some(&refused));
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
fn record_reply_after_deadline_makes_request_not_run() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.now += time::Duration::from_secs(3600);
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::Deadline);
    assert_eq!(net.response(1), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn does_not_run_when_cancelled_before_record_reply() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.hosts.get_mut("h1").unwrap().on_cancelled(1);
    net.deliver();
    net.request("h1", 2, &key, 7);
    let refused = dedup::Response::NotRun(model::NotRunReason::Cancelled);
    assert_eq!(net.response(2), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn unfinished_run_is_unknown_after_deadline() {
    let mut net = two_hosts();
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.advance(time::Duration::from_secs(6), true);
    let unknown = dedup::Response::Unknown(dedup::UnknownReason::Deadline);
    assert_eq!(net.response(1), Some(&unknown));
    net.on_run_ended("h1", 1, net::result("a"));
    net.request("h1", 2, &key, 7);
    assert_eq!(net.response(2), Some(&net::done("a")));
}
