//! Limits on memory and time.

use std::{mem, time};

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

fn net_with(change: impl FnOnce(&mut dedup::Limits)) -> net::Net {
    let mut limits = dedup::Limits::default();
    change(&mut limits);
    net::Net::new(&["h1", "h2"], limits)
}

fn complete(net: &mut net::Net, id: u128, token: &str) -> model::IdempotencyKey {
    let key = net.key("h1", token);
    net.request("h1", id, &key, 7);
    net.deliver();
    net.on_run_ended("h1", id, net::result("a"));
    net.deliver();
    key
}

#[rstest]
fn full_table_refuses_new_keys_and_evicts_none() {
    let mut net = net_with(|limits| limits.keys = 2);
    let first = complete(&mut net, 1, "token-01");
    complete(&mut net, 2, "token-02");
    let third = net.key("h1", "token-03");
    net.request("h1", 3, &third, 7);
    net.request("h1", 4, &first, 7);
    let full = dedup::Response::NotRun(model::NotRunReason::KeysFull);
    assert_eq!(net.response(3), Some(&full));
    assert_eq!(net.response(4), Some(&net::done("a")));
    assert_eq!(net.hosts["h1"].snapshot().home_keys, 2);
}

#[rstest]
fn full_witness_refuses_new_keys() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    net.kill("h2");
    let limits = dedup::Limits {
        keys: 0,
        ..dedup::Limits::default()
    };
    let mut small = net::Net::new(&["h1", "h2"], limits);
    let host = small.hosts.remove("h2").unwrap();
    net.start("h2", 1);
    net.hosts.insert("h2".to_string(), host);
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    let full = dedup::Response::NotRun(model::NotRunReason::KeysFull);
    assert_eq!(net.response(1), Some(&full));
}

#[rstest]
fn evicted_key_is_unknown_and_not_run_again() {
    let mut net = net_with(|_| ());
    let key = complete(&mut net, 1, "token-01");
    net.now += time::Duration::from_secs(86_401);
    net.advance(time::Duration::from_millis(50), true);
    assert_eq!(net.hosts["h1"].snapshot().home_keys, 0);
    let unseen = model::IdempotencyKey {
        token: "token-02".to_string(),
        ..key.clone()
    };
    net.request("h1", 2, &key, 7);
    net.request("h1", 3, &unseen, 7);
    net.deliver();
    let forgotten = dedup::Response::Unknown(dedup::UnknownReason::Forgotten);
    assert_eq!(net.response(2), Some(&forgotten));
    assert_eq!(net.response(3), Some(&forgotten));
    assert_eq!(net.runs.len(), 1);
    complete(&mut net, 4, "token-03");
    assert_eq!(net.response(4), Some(&net::done("a")));
}

#[rstest]
fn record_message_is_refused_if_refusal_of_its_key_was_evicted() {
    let mut net = net_with(|limits| limits.refusals = 1);
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    let held = mem::take(&mut net.in_flight);
    let query = |key: model::IdempotencyKey| dedup::Message::Query {
        id: 2,
        key,
        fingerprint: 7,
    };
    let now = net.now;
    let other = net.key("h1", "token-02");
    net.apply("h2", |host| host.on_message("h1", query(key.clone()), now));
    net.apply("h2", |host| host.on_message("h1", query(other), now));
    net.in_flight = held;
    net.deliver();
    let refused = dedup::Response::NotRun(model::NotRunReason::NoWitness);
    assert_eq!(net.response(1), Some(&refused));
    assert!(net.runs.is_empty());
}

#[rstest]
fn key_minted_ahead_of_clock_is_unknown_and_not_run() {
    let mut net = net_with(|_| ());
    let mut key = net.key("h1", "token-01");
    key.minted_unix_ms += 61_000;
    net.request("h1", 1, &key, 7);
    net.deliver();
    let ahead = dedup::Response::Unknown(dedup::UnknownReason::ClockAhead);
    assert_eq!(net.response(1), Some(&ahead));
    assert!(net.runs.is_empty());
}

#[rstest]
fn oversized_result_is_stored_as_outcome_only() {
    let mut net = net_with(|limits| limits.result_bytes_each = 4);
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.on_run_ended("h1", 1, net::result("large"));
    net.request("h1", 2, &key, 7);
    assert_eq!(net.response(1), Some(&net::done("large")));
    assert_eq!(net.response(2), Some(&dedup::Response::Done(None)));
    assert_eq!(net.hosts["h1"].snapshot().home_bytes, 0);
}

#[rstest]
fn result_over_total_size_limit_is_not_stored() {
    let mut net = net_with(|limits| limits.result_bytes = 3);
    for i in 1..=5 {
        complete(&mut net, i, &format!("token-0{i}"));
    }
    assert_eq!(net.hosts["h1"].snapshot().home_bytes, 3);
    assert_eq!(net.hosts["h2"].snapshot().witness_bytes, 3);
}

#[rstest]
fn duplicate_over_waiter_limit_gets_unknown() {
    let mut net = net_with(|limits| limits.waiters = 1);
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.request("h1", 2, &key, 7);
    let busy = dedup::Response::Unknown(dedup::UnknownReason::TooManyWaiters);
    assert_eq!(net.response(2), Some(&busy));
}
