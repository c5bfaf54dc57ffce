//! Placement of second attempts: only where a server has room, within the extra work allowed.

use rstest::rstest;
use yuccatide_steering::{
    gateway::{self, Decision},
    hedging,
};

use crate::fixtures::{self, ms};

const HOSTS: usize = 1;

/// Requests of which the first attempts have ended; their work allows extra work.
const ENDED_REQUESTS: u32 = 100;

fn hedger(share: f64) -> hedging::Hedger {
    let mut hedger = hedging::Hedger::new(share);
    (0..ENDED_REQUESTS).for_each(|_| hedger.record_first("log", "r", ms(200)));
    hedger
}

/// A dispatcher with servers of nine slots in the host's data centre, and a request in progress at
/// the last of its tried ones.
fn in_progress(servers: usize) -> (gateway::Dispatcher, gateway::Request) {
    let mut dispatcher = fixtures::dispatcher();
    for i in 0..servers {
        let entry = fixtures::entry(&format!("s{i}"), "a1", 9);
        dispatcher.servers.upsert(entry, ms(0));
    }
    (0..ENDED_REQUESTS).for_each(|_| dispatcher.record_first_attempt("log", ms(0)));
    let mut req = fixtures::request(fixtures::route("r"), 7, ms(0));
    dispatcher.submit(req.clone());
    let [(_, Decision::Send(first, _))] = &dispatcher.decide(ms(0))[..] else {
        panic!("the request was not sent");
    };
    req.tried_servers.push(*first);
    (dispatcher, req)
}

#[test]
fn second_attempt_goes_to_another_server() {
    let (mut dispatcher, req) = in_progress(3);
    let first = req.tried_servers[0];
    let second = dispatcher.begin_second_attempt(req, &mut hedger(0.1), HOSTS, ms(300));
    assert_ne!(second.unwrap().server, first);
}

/// Load: slots are short everywhere but at the first server.
#[test]
fn no_second_attempt_takes_the_last_slots() {
    let (mut dispatcher, req) = in_progress(2);
    let is_other =
        |(index, _): &(gateway::ServerIndex, &gateway::Server)| *index != req.tried_servers[0];
    let other = dispatcher.servers.iter().find(is_other).unwrap().1;
    let name = other.name_hash;
    dispatcher.remote_in_flight.update("h2", &[(name, 7)]);
    let second = dispatcher.begin_second_attempt(req, &mut hedger(0.1), HOSTS, ms(300));
    assert_eq!(second, None);
}

/// Load: requests wait for the service; each slot is theirs.
#[test]
fn no_second_attempt_while_requests_wait() {
    let (mut dispatcher, req) = in_progress(3);
    dispatcher.submit(fixtures::request(fixtures::route("r"), 8, ms(300)));
    let second = dispatcher.begin_second_attempt(req, &mut hedger(0.1), HOSTS, ms(300));
    assert_eq!(second, None);
}

#[rstest]
#[case::alone(1, 0.1, ms(300))]
#[case::no_extra_work(3, 0.0, ms(300))]
#[case::no_time_left(3, 0.1, ms(1990))]
fn no_second_attempt(#[case] servers: usize, #[case] share: f64, #[case] at: std::time::Duration) {
    let (mut dispatcher, req) = in_progress(servers);
    let second = dispatcher.begin_second_attempt(req, &mut hedger(share), HOSTS, at);
    assert_eq!(second, None);
}

/// Failure: all requests turn slow at once.  Extra work ends with its allowance: a twentieth of the
/// work that has ended.
#[test]
fn second_attempts_end_with_the_allowance() {
    let mut hedger = hedger(0.05);
    let begun = (0..50).filter_map(|_| {
        let (mut dispatcher, req) = in_progress(3);
        dispatcher.begin_second_attempt(req, &mut hedger, HOSTS, ms(300))
    });
    let work: Vec<_> = begun.map(|second| second.expected).collect();
    assert!(!work.is_empty());
    let total: std::time::Duration = work.iter().sum();
    assert!(total <= ms(200 * 100 / 20), "{work:?}");
}
