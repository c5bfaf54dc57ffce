//! Customers of a version, and the regions and ranks of their requests.

use std::sync;

use proptest::prelude::*;
use yuccatide_steering::{
    customers::{self, Key},
    gateway::{self, Decision, Outcome},
};

use crate::fixtures::{self, ms};

fn customer(name: &str, keys: &[&str]) -> customers::Customer {
    customers::Customer {
        name: name.to_string(),
        keys: keys.iter().map(Key::new).collect(),
        rank: None,
        regions: Vec::new(),
        quota: None,
    }
}

fn policy(version: u64, customers: &[customers::Customer]) -> gateway::Policy {
    gateway::Policy {
        customers: customers.to_vec(),
        ..fixtures::policy(version, vec![fixtures::route("r")])
    }
}

/// A request of a customer on a route, each bound to these regions.
fn request(route: &[String], customer_regions: &[String]) -> gateway::Request {
    let route = gateway::Route {
        regions: route.to_vec(),
        ..fixtures::route("r")
    };
    gateway::Request {
        customer: Some(sync::Arc::new(customers::Customer {
            regions: customer_regions.to_vec(),
            ..customer("acme", &[])
        })),
        ..fixtures::request(route, 7, ms(0))
    }
}

#[test]
fn customers_change_with_the_version_and_only_with_a_valid_one() {
    let mut table = gateway::RouteTable::default();
    let holder = |table: &gateway::RouteTable, key: &str| {
        let found = table.customers()?.find(&Key::new(key))?;
        Some(found.name.clone())
    };
    let first = [customer("acme", &["k1", "k2"]), customer("zeta", &["k3"])];
    assert_eq!(table.apply(policy(4, &first)), Ok(true));
    assert_eq!(holder(&table, "k2").as_deref(), Some("acme"));
    // A key in two customers: nothing of the version comes into force.
    let shared = [customer("acme", &["k9"]), customer("zeta", &["k3", "k9"])];
    let duplicate = customers::DuplicateKey {
        first: "acme".to_string(),
        second: "zeta".to_string(),
    };
    assert_eq!(table.apply(policy(5, &shared)), Err(duplicate.into()));
    assert_eq!(table.version(), Some(4));
    assert_eq!(holder(&table, "k1").as_deref(), Some("acme"));
    assert_eq!(holder(&table, "k9"), None);
    // An older version doesn't bring a revoked key back.
    assert_eq!(
        table.apply(policy(6, &[customer("acme", &["k2"])])),
        Ok(true)
    );
    assert_eq!(table.apply(policy(4, &first)), Ok(false));
    assert_eq!(holder(&table, "k1"), None);
    assert_eq!(holder(&table, "k3"), None);
    assert_eq!(table.apply(policy(7, &[])), Ok(true));
    assert!(table.customers().is_none());
}

#[test]
fn digests_are_written_and_read_and_not_shown() {
    let key = Key::new("secret");
    assert_eq!(Key::from_hex(&key.to_hex()), Some(key));
    for malformed in ["", "00", "secret", &"+1".repeat(32), &"é".repeat(32)] {
        assert_eq!(Key::from_hex(malformed), None);
    }
    assert!(!format!("{key:?}").contains(&key.to_hex()[..8]));
}

proptest! {
    #![proptest_config(fixtures::config())]

    /// What hosts plan capacity for is what they may send; no region in common isn't any region.
    #[test]
    fn demand_counts_in_the_regions_that_may_serve_it(
        route in prop::collection::vec("[a-c]", 0..3),
        customer in prop::collection::vec("[a-c]", 0..3),
    ) {
        let request = request(&route, &customer);
        let regions = request.route.regions_for(request.customer.as_deref());
        for region in ["a", "b", "c"] {
            let is_planned = regions.as_ref().is_some_and(|regions| {
                regions.is_empty() || regions.iter().any(|other| other == region)
            });
            prop_assert_eq!(is_planned, request.allows(region));
        }
    }

    #[test]
    fn requests_stay_in_the_regions_of_route_and_customer(
        route in prop::collection::vec("[ab]", 0..3),
        customer in prop::collection::vec("[ab]", 0..3),
        tried_first in any::<bool>(),
    ) {
        let mut dispatcher = fixtures::dispatcher();
        for data_centre in ["a1", "a2", "b1", "b2"] {
            let entry = fixtures::entry(&format!("s-{data_centre}"), data_centre, 2);
            dispatcher.servers.upsert(entry, ms(0));
        }
        let mut request = request(&route, &customer);
        if tried_first {
            let mut servers = dispatcher.servers.iter();
            request.tried_servers.extend(servers.next().map(|(index, _)| index));
        }
        let allowed = ["a", "b"].map(|region| request.allows(region));
        dispatcher.submit(request);
        let decisions = dispatcher.decide(ms(0));
        let sent = decisions.iter().find_map(|(_, decision)| match decision {
            Decision::Send(_, entry) => Some(entry.data_centre.clone()),
            Decision::Refuse { .. } => None,
        });
        match sent {
            Some(data_centre) => prop_assert!(allowed[usize::from(data_centre.starts_with('b'))]),
            None => prop_assert_eq!(allowed, [false, false]),
        }
    }
}

/// Customers of the lowest rank with long work: the rank of the customer decides, not that of the
/// route.
#[test]
fn rank_of_the_customer_goes_before_that_of_the_route() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher
        .servers
        .upsert(fixtures::entry("s", "a1", 1), ms(0));
    let with_rank = |rank: Option<u32>, route_rank: u32| {
        let route = gateway::Route {
            rank: route_rank,
            ..fixtures::route("r")
        };
        gateway::Request {
            customer: Some(sync::Arc::new(customers::Customer {
                rank,
                ..customer("acme", &[])
            })),
            ..fixtures::request(route, 7, ms(0))
        }
    };
    let running = dispatcher.submit(with_rank(None, 0));
    dispatcher.decide(ms(0));
    dispatcher.submit(with_rank(None, 1));
    let urgent = dispatcher.submit(with_rank(Some(0), 2));
    dispatcher.submit(with_rank(Some(3), 0));
    dispatcher.decide(ms(1));
    dispatcher.finish(running, Outcome::Answered, ms(50));
    let decisions = dispatcher.decide(ms(50));
    let sent = decisions
        .iter()
        .find_map(|(ticket, decision)| match decision {
            Decision::Send(..) => Some(*ticket),
            Decision::Refuse { .. } => None,
        });
    assert_eq!(sent, Some(urgent));
}
