//! Backend servers that turn a request away and ask for a pause: all servers of a service that pause
//! at once and return together, and pauses beside drains and restarts.

use std::{collections, time};

use yuccatide_steering::gateway::{self, Decision, Outcome, ServerSignals};

use crate::fixtures::{self, ms};

fn dispatcher(servers: usize) -> gateway::Dispatcher {
    let mut dispatcher = fixtures::dispatcher();
    for i in 0..servers {
        let entry = fixtures::entry(&format!("s{i}"), "a1", 9);
        dispatcher.servers.upsert(entry, ms(0));
    }
    dispatcher
}

fn pause(duration: time::Duration) -> ServerSignals {
    ServerSignals {
        pause: Some(duration),
        ..ServerSignals::default()
    }
}

/// Has every server asked for a pause at 0 ms.
fn pause_all(dispatcher: &mut gateway::Dispatcher, servers: usize, duration: time::Duration) {
    let mut paused = collections::BTreeSet::new();
    for object in 0..1000 {
        let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), object, ms(0)));
        for (_, decision) in dispatcher.decide(ms(0)) {
            if let Decision::Send(_, entry) = decision {
                dispatcher.record_signals(ticket, pause(duration), ms(0));
                paused.insert(entry.id);
            }
        }
        dispatcher.finish(ticket, Outcome::Shed, ms(0));
        if paused.len() == servers {
            return;
        }
    }
    panic!("only {paused:?} of {servers} servers were asked");
}

fn decide_one(dispatcher: &mut gateway::Dispatcher, object: u64, at: u64) -> Option<Decision> {
    let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), object, ms(at)));
    let decisions = dispatcher.decide(ms(at));
    let mut own = decisions.into_iter().filter(|(t, _)| *t == ticket);
    own.next().map(|(_, decision)| decision)
}

/// Guards against requests to a server that has asked this host for a pause (BUDGET).
#[test]
fn a_server_gets_no_requests_in_its_pause() {
    let mut dispatcher = dispatcher(1);
    pause_all(&mut dispatcher, 1, ms(3000));
    // What waits is decided again and again.
    for at in (1..3000).step_by(20) {
        let decision = decide_one(&mut dispatcher, at, at);
        assert!(!matches!(decision, Some(Decision::Send(..))), "at {at} ms");
    }
    let decision = decide_one(&mut dispatcher, 1, 3100);
    assert!(matches!(decision, Some(Decision::Send(..))), "{decision:?}");
}

#[test]
fn other_servers_take_the_work_of_one_that_pauses() {
    let mut dispatcher = dispatcher(2);
    let first = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    let Decision::Send(_, paused) = dispatcher.decide(ms(0)).remove(0).1 else {
        panic!("not sent");
    };
    dispatcher.record_signals(first, pause(ms(1000)), ms(0));
    dispatcher.finish(first, Outcome::Shed, ms(0));
    for at in 1..200 {
        match decide_one(&mut dispatcher, 1, at * 5) {
            Some(Decision::Send(_, entry)) => assert_ne!(entry.id, paused.id),
            decision => panic!("{decision:?}"),
        }
        let last = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(at * 5)));
        dispatcher.abandon(last, ms(at * 5));
        for ticket in 0..last {
            dispatcher.finish(ticket, Outcome::Answered, ms(at * 5));
        }
    }
}

/// Pattern: synchronized return.  All servers of a service pause at once; who can't be served in
/// time is refused at once, and comes back in an order rather than all at the end of the pause.
#[test]
fn when_all_servers_pause_clients_are_told_when_to_return() {
    let mut dispatcher = dispatcher(3);
    pause_all(&mut dispatcher, 3, ms(3000));
    let mut times = collections::BTreeSet::new();
    for object in 0..40 {
        match decide_one(&mut dispatcher, object, 500) {
            Some(Decision::Refuse {
                reason,
                retry_after,
            }) => {
                assert_eq!(reason, gateway::Reason::Overload);
                assert!(retry_after >= ms(2500), "{retry_after:?}");
                assert!(retry_after <= ms(3750), "{retry_after:?}");
                times.insert(retry_after);
            }
            decision => panic!("{decision:?}"),
        }
    }
    assert!(times.len() >= 5, "{times:?}");
}

#[test]
fn the_more_urgent_are_told_to_return_first() {
    let mut dispatcher = dispatcher(1);
    pause_all(&mut dispatcher, 1, ms(3000));
    let mut latest_of_rank = |rank| {
        let mut route = fixtures::route("r");
        route.rank = rank;
        (0..8)
            .map(|object| {
                dispatcher.submit(fixtures::request(route.clone(), object, ms(0)));
                match dispatcher.decide(ms(0)).remove(0).1 {
                    Decision::Refuse { retry_after, .. } => retry_after,
                    decision => panic!("{decision:?}"),
                }
            })
            .collect::<Vec<_>>()
    };
    let (urgent, other) = (latest_of_rank(0), latest_of_rank(2));
    assert!(
        urgent.iter().max() < other.iter().min(),
        "{urgent:?} {other:?}"
    );
}

#[test]
fn requests_wait_for_the_end_of_a_short_pause() {
    let mut dispatcher = dispatcher(1);
    pause_all(&mut dispatcher, 1, ms(100));
    assert_eq!(decide_one(&mut dispatcher, 1, 10), None);
    let decisions = dispatcher.decide(ms(110));
    assert!(
        matches!(decisions[0].1, Decision::Send(..)),
        "{decisions:?}"
    );
}

#[test]
fn a_request_on_its_way_is_placed_again_if_its_server_pauses() {
    let mut dispatcher = dispatcher(1);
    let on_its_way = dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    assert_eq!(dispatcher.decide(ms(0)).len(), 1);
    pause_all(&mut dispatcher, 1, ms(1000));
    assert!(!dispatcher.may_still_send(on_its_way, ms(10)));
    assert!(dispatcher.may_still_send(on_its_way, ms(1001)));
}

/// A later, shorter pause doesn't end an earlier one; a restart does; a drain goes on after it.
#[test]
fn a_pause_ends_with_its_time_or_its_server() {
    let mut dispatcher = dispatcher(1);
    pause_all(&mut dispatcher, 1, ms(3000));
    let (index, server) = dispatcher.servers.iter().next().unwrap();
    let mut entry = server.entry.clone();
    assert_eq!(server.pause_left(ms(1000)), ms(2000));
    entry.state = gateway::ServerState::Draining;
    dispatcher.servers.upsert(entry.clone(), ms(1000));
    assert!(!dispatcher.servers.get(index).unwrap().is_usable(ms(4000)));
    entry.state = gateway::ServerState::Ready;
    entry.incarnation = 2;
    dispatcher.servers.upsert(entry, ms(1000));
    let server = dispatcher.servers.get(index).unwrap();
    assert_eq!(server.pause_left(ms(1000)), ms(0));
}

#[test]
fn a_pause_without_end_is_cut() {
    let mut dispatcher = dispatcher(1);
    pause_all(&mut dispatcher, 1, time::Duration::MAX);
    let (_, server) = dispatcher.servers.iter().next().unwrap();
    assert_eq!(server.pause_left(ms(0)), gateway::MAX_PAUSE);
}
