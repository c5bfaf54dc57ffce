//! Competition for too little room: work of 2.6 s of a low rank and work of 0.4 s of a higher rank
//! with an objective of 0.4 s share a service, and the long work could fill all slots for seconds.

use std::time;

use rstest::rstest;
use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

const SERVERS: usize = 4;
const SLOTS: u32 = 9;

fn dispatcher() -> gateway::Dispatcher {
    let mut dispatcher = fixtures::dispatcher();
    for i in 0..SERVERS {
        let entry = fixtures::entry(&format!("s{i}"), "a1", SLOTS);
        dispatcher.servers.upsert(entry, ms(0));
    }
    dispatcher
}

fn long_route() -> gateway::Route {
    gateway::Route {
        rank: 2,
        objective: ms(2000),
        timeout: ms(4000),
        ..fixtures::route("long")
    }
}

fn short_route() -> gateway::Route {
    gateway::Route {
        rank: 1,
        objective: ms(400),
        timeout: ms(1200),
        ..fixtures::route("short")
    }
}

fn request(route: gateway::Route, now: u64) -> gateway::Request {
    let mut req = fixtures::request(route, 0, ms(now));
    req.object_hash = None;
    req
}

/// Serves requests of a route, one in each interval, over two seconds, as fast as expected.
fn serve(dispatcher: &mut gateway::Dispatcher, route: &gateway::Route, interval_ms: usize) {
    let service_time = dispatcher.cached_service_time(route);
    for now in (0..2000).step_by(interval_ms) {
        let now = now as u64;
        let ticket = dispatcher.submit(request(route.clone(), now));
        dispatcher.decide(ms(now));
        dispatcher.finish(ticket, Outcome::Answered, ms(now) + service_time);
    }
}

/// Sends a burst of requests of a route; returns how many are sent at once.  Some may wait for a
/// server that has been faster, with or without slots held back, but not one for each server.
fn sent(dispatcher: &mut gateway::Dispatcher, route: &gateway::Route, now: u64) -> usize {
    for _ in 0..SERVERS * SLOTS as usize {
        dispatcher.submit(request(route.clone(), now));
    }
    let decisions = dispatcher.decide(ms(now));
    let sent = decisions
        .iter()
        .filter(|(_, decision)| matches!(decision, Decision::Send(..)));
    sent.count()
}

#[test]
fn a_burst_of_long_work_leaves_slots_to_the_higher_rank() {
    let mut dispatcher = dispatcher();
    serve(&mut dispatcher, &short_route(), 50);
    let sent_long = sent(&mut dispatcher, &long_route(), 2000);
    let slots = SERVERS * SLOTS as usize;
    // At least one slot of each server is left, and most serve the burst.
    assert!(sent_long <= slots - SERVERS, "{sent_long} of {slots}");
    assert!(sent_long >= slots * 2 / 3, "{sent_long} of {slots}");
    let ticket = dispatcher.submit(request(short_route(), 2001));
    let decisions = dispatcher.decide(ms(2001));
    let mut own = decisions.iter().filter(|(other, _)| *other == ticket);
    assert!(matches!(own.next(), Some((_, Decision::Send(..)))));
}

/// What is held back serves no one if the higher rank does not come, or if it could wait.
#[rstest]
#[case::no_demand_of_a_higher_rank(None, ms(400))]
#[case::higher_rank_that_can_wait(Some(50), ms(5000))]
#[case::few_requests_of_a_higher_rank(Some(1999), ms(400))]
fn all_slots_are_used_where_nothing_is_gained(
    #[case] interval_ms: Option<usize>,
    #[case] objective: time::Duration,
) {
    let mut dispatcher = dispatcher();
    let short = gateway::Route {
        objective,
        ..short_route()
    };
    if let Some(interval_ms) = interval_ms {
        serve(&mut dispatcher, &short, interval_ms);
    }
    let slots = SERVERS * SLOTS as usize;
    let sent = sent(&mut dispatcher, &long_route(), 6000);
    assert!(sent > slots - SERVERS, "{sent} of {slots}");
}

/// The end of the higher rank's demand gives the slots back within seconds.
#[test]
fn slots_are_given_back_when_the_higher_rank_stops() {
    let mut dispatcher = dispatcher();
    serve(&mut dispatcher, &short_route(), 50);
    let slots = SERVERS * SLOTS as usize;
    let sent = sent(&mut dispatcher, &long_route(), 20_000);
    assert!(sent > slots - SERVERS, "{sent} of {slots}");
}

#[test]
fn the_higher_rank_itself_uses_all_slots() {
    let mut dispatcher = dispatcher();
    serve(&mut dispatcher, &short_route(), 50);
    let slots = SERVERS * SLOTS as usize;
    let sent = sent(&mut dispatcher, &short_route(), 2000);
    assert!(sent > slots - SERVERS, "{sent} of {slots}");
}
