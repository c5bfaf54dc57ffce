//! Planned stops.

use std::time;

use rstest::rstest;
use yuccatide_steering::dedup;

use super::net;

#[rstest]
fn finishes_what_runs_and_hands_its_results_over() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    let now = net.now;
    net.act("h1", |host| host.leave(now));
    assert!(!net.hosts["h1"].is_idle());
    net.ended("h1", 1, net::result("a"));
    net.pass(time::Duration::from_secs(1), true);
    assert!(net.hosts["h1"].is_idle());
    net.kill("h1");
    net.request("h2", 2, &key, 7);
    assert_eq!(net.answer(2), Some(&net::done("a")));
}

#[rstest]
fn hands_over_what_the_witness_missed_in_a_long_partition() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.ended("h1", 1, net::result("a"));
    net.pass(time::Duration::from_secs(60), false);
    assert!(net.hosts["h1"].is_idle());
    let now = net.now;
    net.act("h1", |host| host.leave(now));
    net.deliver();
    assert!(net.hosts["h1"].is_idle());
    net.kill("h1");
    net.request("h2", 2, &key, 7);
    assert_eq!(net.answer(2), Some(&net::done("a")));
}

#[rstest]
fn leaves_without_its_witness() {
    let mut net = net::Net::new(&["h1", "h2"], dedup::Limits::default());
    let key = net.key("h1", "token-01");
    net.request("h1", 1, &key, 7);
    net.deliver();
    net.kill("h2");
    let now = net.now;
    net.act("h1", |host| host.leave(now));
    net.ended("h1", 1, net::result("a"));
    assert_eq!(net.answer(1), Some(&net::done("a")));
    net.pass(time::Duration::from_secs(11), true);
    assert!(net.hosts["h1"].is_idle());
}
