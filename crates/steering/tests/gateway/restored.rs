//! Backend servers after the store has come back from an older copy.

use yuccatide_steering::gateway::{self, Decision};

use crate::fixtures::{self, ms};

fn draining(id: &str) -> gateway::ServerEntry {
    gateway::ServerEntry {
        state: gateway::ServerState::Draining,
        ..fixtures::entry(id, "a1", 9)
    }
}

/// Backend server that gets a request.
fn sent_to(dispatcher: &mut gateway::Dispatcher, at: u64) -> Option<String> {
    let ticket = dispatcher.submit(fixtures::request(fixtures::route("r"), at, ms(at)));
    let decisions = dispatcher.decide(ms(at));
    decisions
        .into_iter()
        .find_map(|(t, decision)| match decision {
            Decision::Send(_, entry) if t == ticket => Some(entry.id),
            _ => None,
        })
}

fn names(dispatcher: &gateway::Dispatcher) -> Vec<String> {
    let servers = dispatcher.servers.iter();
    let mut names: Vec<String> = servers.map(|(_, s)| s.entry.id.clone()).collect();
    names.sort();
    names
}

/// Guards against requests to servers that left in the seconds that the store has lost: its copy has
/// them as ready.
#[test]
fn a_server_that_left_gets_no_request_when_its_entry_is_back() {
    let mut dispatcher = fixtures::dispatcher();
    let ready = ["s1", "s2"].map(|id| fixtures::entry(id, "a1", 9));
    for entry in &ready {
        dispatcher.servers.upsert(entry.clone(), ms(0));
    }
    dispatcher.servers.upsert(draining("s1"), ms(5000));
    dispatcher.servers.remove("s2", ms(6000));
    let replacement = dispatcher.replace_restored(ready.to_vec(), ms(9000));
    let left = ["s1", "s2"].map(|id| (id.to_string(), gateway::EntryOrder::AfterDeparture));
    assert_eq!(replacement.disordered, left);
    for at in [9000, 11_000, 12_000, 30_000] {
        dispatcher.servers.remove_missing(ms(at));
        dispatcher.expire_signals(ms(at));
        assert_eq!(sent_to(&mut dispatcher, at), None, "at {at} ms");
    }
    // Hosts that have started since have only the copy's word.
    assert_eq!(dispatcher.leaving_news(ms(9000)).len(), 2);
    // The server's own status goes before all of it.
    let due = dispatcher.leaving_to_check(ms(30_000));
    let (index, entry) = due.iter().find(|(_, entry)| entry.id == "s2").unwrap();
    assert!(dispatcher.record_check(*index, entry, false, ms(30_000)));
    assert_eq!(sent_to(&mut dispatcher, 30_000), Some("s2".to_string()));
}

/// Guards against the loss of running servers that joined in the seconds that the store has lost.
#[test]
fn a_server_whose_entry_is_lost_is_kept_until_it_had_time_to_register_again() {
    let mut dispatcher = fixtures::dispatcher();
    for id in ["s1", "s2", "s3"] {
        let entry = fixtures::entry(id, "a1", 9);
        dispatcher.servers.upsert(entry, ms(0));
    }
    let entry = fixtures::entry("s1", "a1", 9);
    dispatcher.replace_restored(vec![entry], ms(9000));
    dispatcher.servers.remove_missing(ms(11_000));
    assert_eq!(names(&dispatcher), ["s1", "s2", "s3"]);
    let entry = fixtures::entry("s2", "a1", 9);
    dispatcher.servers.upsert(entry, ms(11_000));
    dispatcher.servers.remove_missing(ms(11_400));
    assert_eq!(names(&dispatcher), ["s1", "s2"]);
}

/// Guards against a restarted server that is taken for the process before it.
#[test]
fn an_entry_of_an_earlier_incarnation_is_not_applied() {
    let mut dispatcher = fixtures::dispatcher();
    let restarted = gateway::ServerEntry {
        incarnation: 2,
        ..fixtures::entry("s1", "a1", 9)
    };
    dispatcher.servers.upsert(restarted.clone(), ms(0));
    let replacement = dispatcher.replace_restored(vec![fixtures::entry("s1", "a1", 9)], ms(9000));
    let kept = ("s1".to_string(), gateway::EntryOrder::Outdated);
    assert_eq!(replacement.disordered, [kept]);
    let (_, server) = dispatcher.servers.iter().next().unwrap();
    assert_eq!(server.entry, restarted);
    assert_eq!(sent_to(&mut dispatcher, 9000), Some("s1".to_string()));
}
