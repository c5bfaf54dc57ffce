//! Which hosts of a data centre read the store.

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::gateway;

use crate::fixtures;

#[rstest]
#[case::all_of_a_small_data_centre("c", &["a", "b", "c"], &[])]
#[case::smallest_name("a", &["a", "b", "c", "d"], &[])]
#[case::second_smallest_name("b", &["a", "b", "c", "d"], &[])]
#[case::others_follow("c", &["d", "b", "c", "a"], &["a", "b"])]
#[case::followers_are_divided("d", &["d", "b", "c", "a"], &["b", "a"])]
fn hosts_with_the_smallest_names_read_the_store(
    #[case] own: &str,
    #[case] live: &[&str],
    #[case] sources: &[&str],
) {
    assert_eq!(gateway::store_sources(own, live.iter().copied()), sources);
}

proptest! {
    #![proptest_config(fixtures::config())]

    /// Whatever parts of a data centre its hosts know, some host reads the store.
    #[test]
    fn some_host_reads_the_store(
        views in prop::collection::vec(prop::collection::btree_set(0_usize..12, 0..12), 12)
    ) {
        let name = |host: usize| format!("front-{host:02}");
        let sources = |own: usize| {
            let live: Vec<String> = views[own].iter().copied().chain([own]).map(name).collect();
            gateway::store_sources(&name(own), live.iter().map(String::as_str))
        };
        prop_assert!((0..12).any(|own| sources(own).is_empty()));
        // The host with the smallest name reads it under any view.
        prop_assert!(sources(0).is_empty());
    }
}
