//! Backend servers that say in their answers that they leave.

use yuccatide_steering::gateway::{self, Decision, Outcome, ServerSignals};

use crate::fixtures::{self, ms};

fn leaves() -> ServerSignals {
    ServerSignals {
        is_leaving: true,
        ..ServerSignals::default()
    }
}

fn dispatcher(servers: &[&str]) -> gateway::Dispatcher {
    let mut dispatcher = fixtures::dispatcher();
    for id in servers {
        dispatcher
            .servers
            .upsert(fixtures::entry(id, "a1", 9), ms(0));
    }
    dispatcher
}

/// Submits a request; returns its ticket and the server that it is sent to.
fn send(dispatcher: &mut gateway::Dispatcher, at: u64) -> (gateway::Ticket, Option<String>) {
    let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), at, ms(at)));
    let decisions = dispatcher.decide(ms(at));
    let sent = decisions
        .into_iter()
        .find_map(|(t, decision)| match decision {
            Decision::Send(_, entry) if t == ticket => Some(entry.id),
            _ => None,
        });
    (ticket, sent)
}

/// Sends a request to the only server, which answers with these signals.
fn answer(dispatcher: &mut gateway::Dispatcher, signals: ServerSignals, at: u64) {
    let (ticket, sent) = send(dispatcher, at);
    assert!(sent.is_some());
    dispatcher.record_signals(ticket, signals, ms(at));
    dispatcher.finish(ticket, Outcome::Answered, ms(at));
}

/// Guards against requests to a server that has said in an answer that it leaves, which the store
/// need not have told yet.
#[test]
fn a_server_that_says_that_it_leaves_gets_no_more_requests() {
    let mut dispatcher = dispatcher(&["s0"]);
    answer(&mut dispatcher, leaves(), 0);
    // The store still calls it ready, and doesn't respond.
    dispatcher.servers.set_store_available(false, ms(50));
    dispatcher
        .servers
        .upsert(fixtures::entry("s0", "a1", 9), ms(100));
    for at in [1, 500, 5000, 20_000, 100_000] {
        assert_eq!(send(&mut dispatcher, at).1, None, "at {at} ms");
    }
    assert!(dispatcher.usable_slots("log", ms(100), ms(500)).is_empty());
}

#[test]
fn a_request_on_its_way_to_a_server_that_leaves_is_placed_again() {
    let mut dispatcher = dispatcher(&["s0"]);
    let (waiting, sent) = send(&mut dispatcher, 0);
    assert!(sent.is_some());
    answer(&mut dispatcher, leaves(), 1);
    assert!(!dispatcher.may_still_send(waiting, ms(2)));
}

#[test]
fn other_servers_take_the_work_of_those_that_leave() {
    let mut dispatcher = dispatcher(&["s0", "s1", "s2"]);
    let (ticket, first) = send(&mut dispatcher, 0);
    dispatcher.record_signals(ticket, leaves(), ms(0));
    dispatcher.finish(ticket, Outcome::Answered, ms(0));
    for at in 1..60 {
        let (ticket, sent) = send(&mut dispatcher, at);
        assert!(sent.is_some() && sent != first, "{sent:?}");
        dispatcher.finish(ticket, Outcome::Answered, ms(at));
    }
}

#[test]
fn a_new_incarnation_does_not_leave() {
    let mut dispatcher = dispatcher(&["s0"]);
    answer(&mut dispatcher, leaves(), 0);
    let mut again = fixtures::entry("s0", "a1", 9);
    again.incarnation = 2;
    dispatcher.servers.upsert(again, ms(1000));
    assert!(send(&mut dispatcher, 1001).1.is_some());
}

/// A host that starts, or has sent the server nothing, learns it from others.
#[test]
fn hosts_tell_each_other_of_servers_that_leave() {
    let (mut one, mut other) = (dispatcher(&["s0"]), dispatcher(&["s0"]));
    answer(&mut one, leaves(), 0);
    let news = one.leaving().news(ms(100));
    assert_eq!(other.leaving_mut().adopt(&news, ms(150)).len(), 1);
    assert_eq!(send(&mut other, 200).1, None);
}

/// The mark ends only when the server itself says so, in an answer that was asked for after it: one
/// to another host, or to a check of its status.
#[test]
fn an_answer_without_the_mark_ends_it() {
    let mut dispatcher = dispatcher(&["s0"]);
    let (early, _) = send(&mut dispatcher, 0);
    answer(&mut dispatcher, leaves(), 10);
    dispatcher.record_signals(early, ServerSignals::default(), ms(20));
    dispatcher.finish(early, Outcome::Answered, ms(20));
    assert_eq!(send(&mut dispatcher, 30).1, None);
    let due = |dispatcher: &gateway::Dispatcher, at| dispatcher.leaving_to_check(ms(at)).len();
    assert_eq!((due(&dispatcher, 5000), due(&dispatcher, 11_000)), (0, 1));
    let (index, entry) = dispatcher.leaving_to_check(ms(11_000)).remove(0);
    assert_eq!(entry.id, "s0");
    dispatcher.record_check(index, &entry, true, ms(11_000));
    // The next check is due as long after this one.
    assert_eq!((due(&dispatcher, 15_000), due(&dispatcher, 22_000)), (0, 1));
    assert_eq!(send(&mut dispatcher, 15_000).1, None);
    dispatcher.record_check(index, &entry, false, ms(22_000));
    assert!(send(&mut dispatcher, 22_001).1.is_some());
}
