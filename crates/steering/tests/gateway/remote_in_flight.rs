//! Requests in progress at other hosts: totals that messages change one host at a time.

use std::collections;

use proptest::prelude::*;
use yuccatide_steering::gateway;

use crate::fixtures;

#[test]
fn newer_counts_of_a_host_replace_its_older_ones() {
    let mut counts = gateway::RemoteInFlight::default();
    counts.update("a", &[(1, 2), (2, 1)]);
    counts.update("b", &[(1, 3)]);
    assert_eq!((counts.at(1), counts.at(2)), (5, 1));
    counts.update("a", &[(1, 1)]);
    assert_eq!((counts.at(1), counts.at(2)), (4, 0));
}

#[test]
fn counts_of_a_dead_host_are_dropped() {
    let mut counts = gateway::RemoteInFlight::default();
    counts.update("a", &[(1, 2)]);
    counts.update("b", &[(1, 3)]);
    counts.retain(|host| host == "a");
    assert_eq!(counts.at(1), 2);
}

proptest! {
    #![proptest_config(fixtures::config())]

    #[test]
    fn totals_are_the_sums_of_the_newest_counts(
        updates in prop::collection::vec(
            (0_u8..5, prop::collection::vec((0_u64..6, 1_u32..9), 0..6)), 0..40)
    ) {
        let mut counts = gateway::RemoteInFlight::default();
        let mut newest = collections::BTreeMap::new();
        for (host, update) in updates {
            counts.update(&host.to_string(), &update);
            newest.insert(host, update);
        }
        for server in 0..6 {
            let sum: u32 = newest
                .values()
                .flatten()
                .filter(|(named, _)| *named == server)
                .map(|(_, count)| count)
                .sum();
            prop_assert_eq!(counts.at(server), sum);
        }
    }
}
