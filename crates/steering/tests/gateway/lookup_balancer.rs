//! Look-ups: distribution of callers over data centres.

use std::{collections, net};

use proptest::prelude::*;
use yuccatide_steering::{gateway, model};

use crate::fixtures::{self, ms};

fn input(capacity: &[(&str, f64)], demand: &[(&str, f64)]) -> gateway::CapacityAndDemand {
    let slots = capacity
        .iter()
        .map(|(d, slots)| (d.to_string(), *slots))
        .collect();
    gateway::CapacityAndDemand {
        capacity: [("log".to_string(), slots)].into(),
        loads: demand
            .iter()
            .map(|(d, slots)| load(d, &[], *slots))
            .collect(),
        regions: fixtures::regions(),
    }
}

fn load(data_centre: &str, regions: &[&str], slots: f64) -> gateway::Load {
    gateway::Load {
        service: "log".to_string(),
        data_centre: data_centre.to_string(),
        regions: regions.iter().map(ToString::to_string).collect(),
        slots,
    }
}

fn by_region(
    balancer: &gateway::LookupBalancer,
    region: &str,
) -> collections::BTreeMap<model::RegionId, f64> {
    let mut sums = collections::BTreeMap::new();
    for (data_centre, share) in balancer.shares("shop", region).unwrap() {
        *sums
            .entry(fixtures::regions()[data_centre].clone())
            .or_insert(0.0) += share;
    }
    sums
}

#[test]
fn callers_of_a_region_go_to_few_data_centres() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 60.0), ("a2", 60.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 8.0), ("a2", 8.0), ("b1", 8.0), ("b2", 8.0)];
    balancer.update_shares("shop", &input(&capacity, &demand), ms(0));
    for region in ["a", "b"] {
        let shares = balancer.shares("shop", region).unwrap();
        let used: Vec<_> = shares.iter().filter(|(_, share)| **share > 0.0).collect();
        assert_eq!(used.len(), 1, "{shares:?}");
        assert_eq!(fixtures::regions()[used[0].0], region);
    }
}

#[test]
fn excess_demand_goes_to_regions_with_free_capacity() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 4.0), ("a2", 4.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 15.0), ("a2", 15.0), ("b1", 4.0), ("b2", 4.0)];
    balancer.update_shares("shop", &input(&capacity, &demand), ms(0));
    assert!(by_region(&balancer, "a").get("b").copied().unwrap_or(0.0) > 0.8);
    assert!(by_region(&balancer, "b")["b"] > 0.99);
}

#[test]
fn allowed_regions_of_a_used_route_restrict_lookups() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 4.0), ("b1", 60.0)];
    let mut input = input(&capacity, &[("b1", 4.0)]);
    input.loads.push(load("a1", &["a"], 30.0));
    balancer.update_shares("shop", &input, ms(0));
    assert_eq!(
        by_region(&balancer, "a").get("b").copied().unwrap_or(0.0),
        0.0
    );
}

#[test]
fn few_requests_on_a_restricted_route_do_not_restrict_lookups() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 4.0), ("b1", 60.0)];
    let mut input = input(&capacity, &[("a1", 30.0), ("b1", 4.0)]);
    input.loads.push(load("a1", &["a"], 0.1));
    balancer.update_shares("shop", &input, ms(0));
    assert!(by_region(&balancer, "a")["b"] > 0.5);
}

#[test]
fn callers_stay_in_their_data_centre_while_no_server_is_known() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    balancer.update_shares("shop", &input(&[], &[]), ms(0));
    let client = gateway::Client {
        address: net::IpAddr::from([10, 0, 0, 1]),
        data_centre: "a1".to_string(),
    };
    assert_eq!(balancer.rank_data_centres("shop", &client), ["a1"]);
}

#[test]
fn adjacent_addresses_are_distributed_by_the_shares() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 20.0), ("a2", 20.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 20.0), ("a2", 20.0), ("b1", 1.0), ("b2", 1.0)];
    balancer.update_shares("shop", &input(&capacity, &demand), ms(0));
    let mut counts: collections::BTreeMap<model::DataCentreId, f64> = collections::BTreeMap::new();
    for last_byte in 10..70 {
        let client = gateway::Client {
            address: net::IpAddr::from([10, 0, 0, last_byte]),
            data_centre: "a1".to_string(),
        };
        *counts
            .entry(balancer.rank_data_centres("shop", &client)[0].clone())
            .or_default() += 1.0 / 60.0;
    }
    for (data_centre, share) in balancer.shares("shop", "a").unwrap() {
        let measured = counts.get(data_centre).copied().unwrap_or(0.0);
        assert!(
            (measured - share).abs() < 0.05,
            "{data_centre}: {measured} for {share}"
        );
    }
}

proptest! {
    #![proptest_config(crate::fixtures::config())]

    /// Shares sum to 1, and within two seconds at most `max_shift` of a region's callers move to
    /// another region.
    #[test]
    fn shifts_between_regions_stay_within_max_shift(
        steps in prop::collection::vec(
            (prop::array::uniform4(0.0f64..80.0), prop::array::uniform4(0.0f64..60.0), 100u64..1500),
            2..40,
        ),
    ) {
        let names = ["a1", "a2", "b1", "b2"];
        let mut balancer = gateway::LookupBalancer::new(0.15);
        let mut now = 0;
        let mut history: Vec<(u64, collections::BTreeMap<_, _>)> = Vec::new();
        for (capacity, demand, interval) in steps {
            let named = |values: [f64; 4]| names.into_iter().zip(values).collect::<Vec<_>>();
            balancer.update_shares("shop", &input(&named(capacity), &named(demand)), ms(now));
            let Some(shares) = balancer.shares("shop", "a") else { continue };
            let sum: f64 = shares.values().sum();
            prop_assert!((sum - 1.0).abs() < 1e-6, "{shares:?}");
            let current = by_region(&balancer, "a");
            for (at, previous) in history.iter().filter(|(at, _)| at + 2000 > now) {
                let moved = (current.get("b").copied().unwrap_or(0.0)
                    - previous.get("b").copied().unwrap_or(0.0)).abs();
                prop_assert!(moved <= 0.15 + 1e-9, "{moved} since {at}");
            }
            history.push((now, current));
            now += interval;
        }
    }
}

#[test]
fn first_demand_reports_shift_callers_within_max_shift() {
    let mut balancer = gateway::LookupBalancer::new(0.15);
    let capacity = [("a1", 4.0), ("b1", 60.0)];
    balancer.update_shares("shop", &input(&capacity, &[]), ms(0));
    let previous = by_region(&balancer, "a")["b"];
    assert!(previous > 0.7, "{previous}");
    // Only one host has reported its demand so far.
    balancer.update_shares("shop", &input(&capacity, &[("a1", 1.5)]), ms(500));
    assert!(previous - by_region(&balancer, "a")["b"] < 0.05);
}

#[test]
fn new_host_adopts_settled_shares() {
    let capacity = [("a1", 10.0), ("a2", 10.0), ("b1", 60.0)];
    let mut running = gateway::LookupBalancer::new(0.15);
    running.update_shares("shop", &input(&capacity, &[]), ms(0));
    for i in 1..=40 {
        running.update_shares(
            "shop",
            &input(&capacity, &[("a1", 30.0), ("b1", 5.0)]),
            ms(i * 500),
        );
        assert_eq!(
            running.settled_shares(ms(i * 500)).is_empty(),
            i <= 21,
            "{i}"
        );
    }
    let mut started = gateway::LookupBalancer::new(0.15);
    started.update_shares("shop", &input(&capacity, &[]), ms(20_000));
    started.adopt_shares(
        &running.settled_shares(ms(20_000)),
        &fixtures::regions(),
        ms(20_000),
    );
    let (others, adopted) = (by_region(&running, "a"), by_region(&started, "a"));
    assert!(
        (others["b"] - adopted["b"]).abs() < 0.01,
        "{others:?} {adopted:?}"
    );
    // An empty list changes nothing.
    started.adopt_shares(&[], &fixtures::regions(), ms(21_000));
    started.update_shares(
        "shop",
        &input(&capacity, &[("a1", 30.0), ("b1", 5.0)]),
        ms(21_000),
    );
    assert!((others["b"] - by_region(&started, "a")["b"]).abs() < 0.08);
}

#[test]
fn capacity_change_shifts_callers_gradually_after_a_lookup() {
    let client = gateway::Client {
        address: net::IpAddr::from([10, 0, 0, 1]),
        data_centre: "a1".to_string(),
    };
    let mut balancer = gateway::LookupBalancer::new(0.15);
    balancer.update_shares("shop", &input(&[("a1", 4.0), ("b1", 60.0)], &[]), ms(0));
    let previous = by_region(&balancer, "a")["b"];
    balancer.rank_data_centres("shop", &client);
    balancer.update_shares("shop", &input(&[("a1", 60.0), ("b1", 4.0)], &[]), ms(500));
    assert!(previous - by_region(&balancer, "a")["b"] < 0.05);
}
