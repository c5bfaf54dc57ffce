//! Hosts that are leaving before a planned shutdown.

use std::time;

use rstest::rstest;
use yuccatide_steering::dedup;

use super::net;

#[rstest]
fn leaving_host_is_idle_only_after_run_ended_and_witness_has_result() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    let now = net.now;
    net.apply("h1", |host| host.leave(now));
    assert!(!net.hosts["h1"].is_idle());
    net.on_run_ended("h1", 1, net::result("a"));
    net.advance(time::Duration::from_secs(1), true);
    assert!(net.hosts["h1"].is_idle());
    net.kill("h1");
    net.request("h2", 2, &key, 7);
    assert_eq!(net.response(2), Some(&net::done("a")));
}

#[rstest]
fn leave_resends_outcome_that_witness_did_not_acknowledge() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.on_run_ended("h1", 1, net::result("a"));
    net.advance(time::Duration::from_secs(60), false);
    assert!(net.hosts["h1"].is_idle());
    let now = net.now;
    net.apply("h1", |host| host.leave(now));
    net.deliver();
    assert!(net.hosts["h1"].is_idle());
    net.kill("h1");
    net.request("h2", 2, &key, 7);
    assert_eq!(net.response(2), Some(&net::done("a")));
}

#[rstest]
fn leaving_host_becomes_idle_after_close_timeout_if_witness_is_gone() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.kill("h2");
    let now = net.now;
    net.apply("h1", |host| host.leave(now));
    net.on_run_ended("h1", 1, net::result("a"));
    assert_eq!(net.response(1), Some(&net::done("a")));
    net.advance(time::Duration::from_secs(11), true);
    assert!(net.hosts["h1"].is_idle());
}
