//! Route selection and traffic splitting.

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::gateway;

use crate::fixtures;

fn with_prefix(name: &str, prefix: &str) -> gateway::Route {
    gateway::Route {
        prefix: prefix.to_string(),
        ..fixtures::route(name)
    }
}

fn table() -> gateway::RouteTable {
    let mut table = gateway::RouteTable::default();
    let routes = vec![with_prefix("short", "/a/"), with_prefix("long", "/a/b/")];
    assert!(table.apply(fixtures::policy(4, routes)).unwrap());
    table
}

#[rstest]
#[case("shop.example", "/a/x", Some("short"))]
#[case("shop.example", "/a/b/x", Some("long"))]
#[case("shop.example", "/a/bx", Some("short"))]
#[case("SHOP.example:8080", "/a/b/", Some("long"))]
#[case("shop.example", "/b/", None)]
#[case("shop.example", "/a", None)]
#[case("other.example", "/a/x", None)]
fn longest_prefix_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let found = match table().find(host, path) {
        gateway::RouteMatch::Route(route) => Some(route.name.clone()),
        gateway::RouteMatch::NoRoute => None,
        gateway::RouteMatch::NoPolicy => panic!("NoPolicy although a configuration is active"),
    };
    assert_eq!(found.as_deref(), expected);
}

#[test]
fn route_selection_without_configuration_returns_no_policy() {
    let table = gateway::RouteTable::default();
    assert_eq!(
        table.find("shop.example", "/a/"),
        gateway::RouteMatch::NoPolicy
    );
}

#[rstest]
#[case(3)]
#[case(4)]
fn version_is_not_replaced_by_the_same_or_an_older_one(#[case] version: u64) {
    let mut table = table();
    assert!(!table.apply(fixtures::policy(version, Vec::new())).unwrap());
    assert_eq!(table.version(), Some(4));
    assert_ne!(
        table.find("shop.example", "/a/x"),
        gateway::RouteMatch::NoRoute
    );
}

proptest! {
    #![proptest_config(crate::fixtures::config())]

    #[test]
    fn services_get_requests_by_weight(weights in prop::collection::vec(1u32..100, 2..5)) {
        let mut route = fixtures::route("split");
        route.weighted_services = weights
            .iter()
            .enumerate()
            .map(|(i, weight)| gateway::WeightedService {
                service: format!("s{i}"),
                weight: f64::from(*weight),
            })
            .collect();
        let total = f64::from(weights.iter().sum::<u32>());
        let mut splits = gateway::TrafficSplitter::default();
        let mut counts = vec![0.0; weights.len()];
        for sent in 1..=200 {
            let service = splits.next_service(&route);
            let at: usize = service[1..].parse().unwrap();
            counts[at] += 1.0;
            for (count, weight) in counts.iter().zip(&weights) {
                let expected = f64::from(sent) * f64::from(*weight) / total;
                let within = (count - expected).abs() <= weights.len() as f64;
                prop_assert!(within, "{count} of {expected}");
            }
        }
    }
}
