//! The set of backend servers: registered entries, evacuations, outages of the store, cold starts.

use proptest::prelude::*;
use yuccatide_steering::gateway;

use crate::fixtures::{self, ms};

fn usable(servers: &gateway::ServerSet, now_ms: u64) -> usize {
    servers
        .iter()
        .filter(|(_, server)| server.is_usable(ms(now_ms)))
        .count()
}

#[test]
fn entry_is_removed_immediately_while_the_store_is_available() {
    let mut servers = gateway::ServerSet::default();
    servers.set_store_available(true, ms(0));
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.remove("s1", ms(10));
    assert!(servers.is_empty());
}

#[test]
fn expired_entries_are_kept_during_a_store_outage() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.upsert(fixtures::entry("s2", "a1", 4), ms(0));
    servers.set_store_available(false, ms(100));
    servers.remove("s1", ms(200));
    servers.set_store_available(false, ms(4900));
    servers.set_store_available(true, ms(5000));
    servers.replace(Vec::new(), ms(5000));
    servers.remove_missing(ms(7100));
    assert_eq!(usable(&servers, 7100), 2);
    // s2 registers again, s1 does not.
    servers.upsert(fixtures::entry("s2", "a1", 4), ms(7150));
    servers.remove_missing(ms(7250));
    let left: Vec<String> = servers.iter().map(|(_, s)| s.entry.id.clone()).collect();
    assert_eq!(left, ["s2"]);
}

#[test]
fn missing_servers_are_removed_after_the_reregistration_grace() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.set_store_available(false, ms(13_000));
    // The first list arrives 1.6 s after the last failed call.  The grace period of 2.3 s starts at
    // that call: removal must be complete before the time limit for draining servers starts, 3 s
    // after the host was cut off from the store.
    servers.set_store_available(true, ms(14_600));
    servers.replace(Vec::new(), ms(14_600));
    servers.remove_missing(ms(15_350));
    assert!(servers.is_empty());
}

/// Guards against requests to servers that left while their host changed the source of its copy of
/// the store: a failure that is over before any entry can lapse keeps no deleted entry.
#[test]
fn an_entry_deleted_around_a_short_failure_of_the_store_is_removed_at_once() {
    let mut servers = gateway::ServerSet::default();
    servers.set_store_available(true, ms(5300));
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(5300));
    servers.set_store_available(false, ms(6990));
    servers.set_store_available(true, ms(7280));
    servers.replace(Vec::new(), ms(7280));
    assert!(servers.is_empty());
}

/// The store serves other hosts while this one is turned away: nothing lapses.
#[test]
fn an_entry_deleted_while_the_store_serves_other_hosts_is_removed_at_once() {
    let mut servers = gateway::ServerSet::default();
    servers.set_store_available(true, ms(1000));
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(1000));
    for i in 0..18 {
        servers.set_store_available(false, ms(2500 + i * 500));
        servers.record_revision_news(ms(2700 + i * 500));
    }
    servers.set_store_available(true, ms(11_500));
    servers.replace(Vec::new(), ms(11_500));
    assert!(servers.is_empty());
}

/// News from before an outage of the store that arrive late don't shorten it.
#[test]
fn late_news_keep_no_server_from_registering_again() {
    let mut servers = gateway::ServerSet::default();
    servers.set_store_available(true, ms(1000));
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(1000));
    servers.set_store_available(false, ms(1100));
    servers.record_revision_news(ms(2300));
    servers.set_store_available(false, ms(5400));
    servers.set_store_available(true, ms(5600));
    servers.replace(Vec::new(), ms(5600));
    servers.remove_missing(ms(7600));
    assert_eq!(usable(&servers, 7600), 1);
    servers.remove_missing(ms(7800));
    assert!(servers.is_empty());
}

#[test]
fn draining_state_applies_during_a_store_outage() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.set_store_available(false, ms(1));
    let mut entry = fixtures::entry("s1", "a1", 4);
    entry.state = gateway::ServerState::Draining;
    servers.upsert(entry, ms(2));
    assert_eq!(usable(&servers, 3), 0);
}

#[test]
fn servers_are_unusable_during_an_evacuation_and_cold_after_it() {
    let mut servers = gateway::ServerSet::default();
    servers.set_warmups([("log".to_string(), ms(3000))].into());
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.set_evacuated(["a1".to_string()].into(), ms(100));
    servers.upsert(fixtures::entry("s2", "a1", 4), ms(150));
    assert_eq!(usable(&servers, 200), 0);
    servers.set_evacuated([].into(), ms(1000));
    assert_eq!(usable(&servers, 1000), 2);
    let cold = |now: u64| servers.iter().filter(|(_, s)| s.is_cold(ms(now))).count();
    assert_eq!((cold(3900), cold(4100)), (2, 0));
}

/// Guards against requests to a server that starts again in an evacuated data centre, and against
/// one that gets none since it was in such a data centre before (EVAC).
#[test]
fn a_server_that_starts_again_elsewhere_follows_the_evacuations_there() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    servers.upsert(fixtures::entry("s2", "a2", 4), ms(0));
    servers.set_evacuated(["a2".to_string()].into(), ms(100));
    let again = |id, data_centre| gateway::ServerEntry {
        incarnation: 7,
        ..fixtures::entry(id, data_centre, 4)
    };
    servers.upsert(again("s1", "a2"), ms(200));
    assert_eq!(usable(&servers, 200), 0);
    servers.upsert(again("s2", "a1"), ms(300));
    let left = servers.iter().filter(|(_, s)| s.is_usable(ms(300)));
    let left: Vec<&str> = left.map(|(_, s)| s.entry.id.as_str()).collect();
    assert_eq!(left, ["s2"]);
}

#[test]
fn restarted_server_is_cold_again() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    let mut again = fixtures::entry("s1", "a1", 4);
    again.incarnation = 2;
    again.warmup_left = ms(3000);
    servers.upsert(again, ms(500));
    let (_, server) = servers.iter().next().unwrap();
    assert!(server.is_cold(ms(3000)));
    assert!(!server.is_cold(ms(3600)));
}

#[test]
fn server_that_changes_its_service_is_regrouped() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    let mut moved = fixtures::entry("s1", "a1", 4);
    moved.service = "other".to_string();
    servers.upsert(moved, ms(1));
    assert!(servers.servers_in("log", "a1").is_empty());
    assert_eq!(servers.servers_in("other", "a1").len(), 1);
}

proptest! {
    #![proptest_config(fixtures::config())]

    /// Groups that are changed in place hold what building them anew would.
    #[test]
    fn groups_hold_the_servers_of_each_service_and_data_centre(
        steps in prop::collection::vec((0usize..12, 0usize..3, 0usize..3, any::<bool>()), 1..80),
    ) {
        let (services, data_centres) = (["log", "mail", "pay"], ["a1", "a2", "b1"]);
        let mut servers = gateway::ServerSet::default();
        for (server, service, data_centre, is_removed) in steps {
            let id = format!("s{server}");
            if is_removed {
                servers.remove(&id, ms(0));
            } else {
                let mut entry = fixtures::entry(&id, data_centres[data_centre], 4);
                entry.service = services[service].to_string();
                servers.upsert(entry, ms(0));
            }
            for (service, data_centre) in
                services.iter().flat_map(|s| data_centres.iter().map(move |d| (*s, *d)))
            {
                let mut expected: Vec<gateway::ServerIndex> = servers
                    .iter()
                    .filter(|(_, s)| s.entry.service == service && s.entry.data_centre == data_centre)
                    .map(|(index, _)| index)
                    .collect();
                expected.sort_unstable();
                prop_assert_eq!(servers.servers_in(service, data_centre), expected);
            }
        }
    }
}

/// An answer that breaks off while it is passed on is noticed after its attempt has counted as a success.
#[test]
fn a_broken_answer_counts_as_a_failure_of_the_incarnation_that_gave_it() {
    let mut servers = gateway::ServerSet::default();
    servers.upsert(fixtures::entry("s1", "a1", 4), ms(0));
    let (index, _) = servers.iter().next().unwrap();
    let rate = |servers: &gateway::ServerSet| servers.get(index).unwrap().failure_rate();
    assert_eq!(servers.record_broken_answer(index, 7), None);
    assert_eq!(rate(&servers), 0.0);
    assert_eq!(
        servers.record_broken_answer(index, 1),
        Some("s1".to_string())
    );
    assert!(rate(&servers) > 0.0);
}
