//! Backend servers that share their machines with others: in 15 of 100 ms work takes 2.5 times as
//! long there, in spells that begin about every 600 ms, and each answer tells the present pace.

use yuccatide_steering::gateway::{self, Decision, Outcome, ServerSignals};

use crate::fixtures::{self, ms};

const SPELL_INTERVAL_MS: u64 = 600;
const SPELL_MS: u64 = 90;

fn told(slowdown: f64) -> ServerSignals {
    ServerSignals {
        load: Some(1),
        slowdown: Some(slowdown),
        ..ServerSignals::default()
    }
}

fn dispatcher(servers: usize) -> gateway::Dispatcher {
    let mut dispatcher = fixtures::dispatcher();
    for i in 0..servers {
        let entry = fixtures::entry(&format!("s{i}"), "a1", 9);
        dispatcher.servers.upsert(entry, ms(0));
    }
    dispatcher
}

/// Sends a request without an object; returns its server.
fn send(dispatcher: &mut gateway::Dispatcher, at: u64) -> (gateway::Ticket, String) {
    send_elsewhere(dispatcher, Vec::new(), at)
}

fn send_elsewhere(
    dispatcher: &mut gateway::Dispatcher,
    tried_servers: Vec<gateway::ServerIndex>,
    at: u64,
) -> (gateway::Ticket, String) {
    let mut req = fixtures::request(fixtures::route("r"), 0, ms(at));
    req.object_hash = None;
    req.tried_servers = tried_servers;
    dispatcher.submit(req);
    match dispatcher.decide(ms(at)).pop() {
        Some((ticket, Decision::Send(_, entry))) => (ticket, entry.id),
        other => panic!("not sent: {other:?}"),
    }
}

fn answer(dispatcher: &mut gateway::Dispatcher, ticket: gateway::Ticket, slowdown: f64, at: u64) {
    dispatcher.record_signals(ticket, told(slowdown), ms(at));
    dispatcher.finish(ticket, Outcome::Answered, ms(at));
}

#[test]
fn requests_keep_away_from_a_server_in_a_slow_spell() {
    let mut dispatcher = dispatcher(2);
    let (ticket, slow) = send(&mut dispatcher, 0);
    answer(&mut dispatcher, ticket, 2.5, 500);
    for at in [501, 510, 520, 530] {
        let (_, server) = send(&mut dispatcher, at);
        assert_ne!(server, slow, "at {at} ms");
    }
}

#[test]
fn a_slow_spell_is_forgotten_as_fast_as_it_ends() {
    let mut dispatcher = dispatcher(1);
    let (ticket, _) = send(&mut dispatcher, 0);
    answer(&mut dispatcher, ticket, 2.5, 500);
    let slowdown = |at: u64| dispatcher.servers.iter().next().unwrap().1.slowdown(ms(at));
    assert!(slowdown(500) > 2.0 * slowdown(500 + SPELL_INTERVAL_MS));
    let usual = slowdown(500 + 10 * SPELL_INTERVAL_MS);
    assert!((slowdown(500 + SPELL_INTERVAL_MS) / usual) < 1.05);
}

/// Work that starts in a spell takes longer; that is no property of the server, which is as fast as
/// before when the spell is over.
#[test]
fn slow_spells_do_not_count_as_a_slow_server() {
    let mut dispatcher = dispatcher(1);
    let service_ms = 40;
    let in_spell = |at: u64| at % SPELL_INTERVAL_MS < SPELL_MS;
    let mut at = 0;
    for _ in 0..600 {
        let slowdown = if in_spell(at) { 2.5 } else { 1.0 };
        let (ticket, _) = send(&mut dispatcher, at);
        at += (service_ms as f64 * slowdown) as u64;
        let slowdown = if in_spell(at) { 2.5 } else { 1.0 };
        answer(&mut dispatcher, ticket, slowdown, at);
    }
    let server = dispatcher.servers.iter().next().unwrap().1.clone();
    let expected = dispatcher.cached_service_time(&fixtures::route("r"));
    let expected_ms = server.relative_service_time() * expected.as_secs_f64() * 1000.0;
    let error = expected_ms / service_ms as f64;
    assert!((0.8..1.25).contains(&error), "{expected_ms} ms");
}

/// A server that is slow beyond what it tells is still found out by its responses.
#[test]
fn a_server_that_tells_nothing_of_its_slowness_is_found_out() {
    let mut dispatcher = dispatcher(2);
    let known = dispatcher.servers.iter().map(|(index, _)| index);
    let known: Vec<gateway::ServerIndex> = known.collect();
    for round in 0..200 {
        let at = round * 200;
        for other in &known {
            let (ticket, server) = send_elsewhere(&mut dispatcher, vec![*other], at);
            let service_ms = if server == "s0" { 160 } else { 100 };
            answer(&mut dispatcher, ticket, 1.0, at + service_ms);
        }
    }
    let slowdown = |id: &str| {
        let mut servers = dispatcher.servers.iter();
        let (_, server) = servers.find(|(_, server)| server.entry.id == id).unwrap();
        server.slowdown(ms(40_000))
    };
    let ratio = slowdown("s0") / slowdown("s1");
    assert!((1.5..1.7).contains(&ratio), "{ratio}");
}
