//! Backend servers: entries, evacuations, outages of the store, cold starts.

use yuccatide_steering::gateway;

use crate::fixtures::{self, ms};

fn usable(fleet: &gateway::ServerSet, now_ms: u64) -> usize {
    fleet
        .iter()
        .filter(|(_, server)| server.is_usable(ms(now_ms)))
        .count()
}

#[test]
fn a_removed_entry_is_believed_at_once_while_the_store_answers() {
    let mut fleet = gateway::ServerSet::default();
    fleet.set_store_available(true, ms(0));
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    fleet.remove("s1", ms(10));
    assert!(fleet.is_empty());
}

#[test]
fn entries_that_lapse_while_the_store_is_away_are_kept_until_it_is_back() {
    let mut fleet = gateway::ServerSet::default();
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    fleet.upsert(fixtures::entry("s2", "a1", 4), ms(0));
    fleet.set_store_available(false, ms(100));
    fleet.remove("s1", ms(200));
    fleet.set_store_available(false, ms(4900));
    fleet.set_store_available(true, ms(5000));
    fleet.replace(Vec::new(), ms(5000));
    fleet.remove_missing(ms(7100));
    assert_eq!(usable(&fleet, 7100), 2);
    // One registers again, the other one does not.
    fleet.upsert(fixtures::entry("s2", "a1", 4), ms(7150));
    fleet.remove_missing(ms(7250));
    let left: Vec<String> = fleet.iter().map(|(_, s)| s.entry.id.clone()).collect();
    assert_eq!(left, ["s2"]);
}

#[test]
fn a_host_that_was_cut_off_believes_absences_two_seconds_after_its_last_failed_call() {
    let mut fleet = gateway::ServerSet::default();
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    fleet.set_store_available(false, ms(13_000));
    // The list takes its time; the drain bound runs from three seconds after the cut.
    fleet.set_store_available(true, ms(14_600));
    fleet.replace(Vec::new(), ms(14_600));
    fleet.remove_missing(ms(15_350));
    assert!(fleet.is_empty());
}

#[test]
fn a_draining_entry_is_obeyed_also_while_the_store_is_away() {
    let mut fleet = gateway::ServerSet::default();
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    fleet.set_store_available(false, ms(1));
    let mut entry = fixtures::entry("s1", "a1", 4);
    entry.state = gateway::ServerState::Draining;
    fleet.upsert(entry, ms(2));
    assert_eq!(usable(&fleet, 3), 0);
}

#[test]
fn an_evacuated_data_centre_gets_nothing_and_comes_back_cold() {
    let mut fleet = gateway::ServerSet::default();
    fleet.set_warmups([("log".to_string(), ms(3000))].into());
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    fleet.set_evacuated(["a1".to_string()].into(), ms(100));
    fleet.upsert(fixtures::entry("s2", "a1", 4), ms(150));
    assert_eq!(usable(&fleet, 200), 0);
    fleet.set_evacuated([].into(), ms(1000));
    assert_eq!(usable(&fleet, 1000), 2);
    let cold = |now_ms: u64| fleet.iter().filter(|(_, s)| s.is_cold(ms(now_ms))).count();
    assert_eq!((cold(3900), cold(4100)), (2, 0));
}

#[test]
fn a_server_that_started_again_is_a_new_one() {
    let mut fleet = gateway::ServerSet::default();
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    let mut again = fixtures::entry("s1", "a1", 4);
    again.incarnation = 2;
    again.warmup_left = ms(3000);
    fleet.upsert(again, ms(500));
    let (_, server) = fleet.iter().next().unwrap();
    assert!(server.is_cold(ms(3000)));
    assert!(!server.is_cold(ms(3600)));
}

#[test]
fn a_server_that_moves_to_another_service_changes_its_group() {
    let mut fleet = gateway::ServerSet::default();
    fleet.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    let mut moved = fixtures::entry("s1", "a1", 4);
    moved.service = "other".to_string();
    fleet.upsert(moved, ms(1));
    assert!(fleet.servers_in("log", "a1").is_empty());
    assert_eq!(fleet.servers_in("other", "a1").len(), 1);
}
