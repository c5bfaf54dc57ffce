//! Look-ups: where callers go.

use std::{collections, net};

use proptest::prelude::*;
use yuccatide_steering::{gateway, model};

use crate::fixtures::{self, ms};

fn spread(capacity: &[(&str, f64)], demand: &[(&str, f64)]) -> gateway::CapacityAndDemand {
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
    directory: &gateway::LookupBalancer,
    region: &str,
) -> collections::BTreeMap<model::RegionId, f64> {
    let mut sums = collections::BTreeMap::new();
    for (data_centre, share) in directory.shares("shop", region).unwrap() {
        *sums
            .entry(fixtures::regions()[data_centre].clone())
            .or_insert(0.0) += share;
    }
    sums
}

#[test]
fn callers_of_a_region_go_to_few_data_centres() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 60.0), ("a2", 60.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 8.0), ("a2", 8.0), ("b1", 8.0), ("b2", 8.0)];
    directory.update_shares("shop", &spread(&room, &demand), ms(0));
    for region in ["a", "b"] {
        let shares = directory.shares("shop", region).unwrap();
        let used: Vec<_> = shares.iter().filter(|(_, share)| **share > 0.0).collect();
        assert_eq!(used.len(), 1, "{shares:?}");
        assert_eq!(fixtures::regions()[used[0].0], region);
    }
}

#[test]
fn what_exceeds_a_region_goes_where_there_is_room() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 4.0), ("a2", 4.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 15.0), ("a2", 15.0), ("b1", 4.0), ("b2", 4.0)];
    directory.update_shares("shop", &spread(&room, &demand), ms(0));
    assert!(by_region(&directory, "a").get("b").copied().unwrap_or(0.0) > 0.8);
    assert!(by_region(&directory, "b")["b"] > 0.99);
}

#[test]
fn regions_that_bind_a_used_route_bind_the_look_ups() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 4.0), ("b1", 60.0)];
    let mut spread = spread(&room, &[("b1", 4.0)]);
    spread.loads.push(load("a1", &["a"], 30.0));
    directory.update_shares("shop", &spread, ms(0));
    assert_eq!(
        by_region(&directory, "a").get("b").copied().unwrap_or(0.0),
        0.0
    );
}

#[test]
fn a_few_requests_on_a_bound_route_do_not_bind() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 4.0), ("b1", 60.0)];
    let mut spread = spread(&room, &[("a1", 30.0), ("b1", 4.0)]);
    spread.loads.push(load("a1", &["a"], 0.1));
    directory.update_shares("shop", &spread, ms(0));
    assert!(by_region(&directory, "a")["b"] > 0.5);
}

#[test]
fn before_any_server_is_known_callers_stay() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    directory.update_shares("shop", &spread(&[], &[]), ms(0));
    let client = gateway::Client {
        address: net::IpAddr::from([10, 0, 0, 1]),
        data_centre: "a1".to_string(),
    };
    assert_eq!(directory.rank_data_centres("shop", &client), ["a1"]);
}

#[test]
fn neighbouring_addresses_are_spread_by_the_shares() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 20.0), ("a2", 20.0), ("b1", 60.0), ("b2", 60.0)];
    let demand = [("a1", 20.0), ("a2", 20.0), ("b1", 1.0), ("b2", 1.0)];
    directory.update_shares("shop", &spread(&room, &demand), ms(0));
    let mut counts: collections::BTreeMap<model::DataCentreId, f64> = collections::BTreeMap::new();
    for last in 10..70 {
        let client = gateway::Client {
            address: net::IpAddr::from([10, 0, 0, last]),
            data_centre: "a1".to_string(),
        };
        *counts
            .entry(directory.rank_data_centres("shop", &client)[0].clone())
            .or_default() += 1.0 / 60.0;
    }
    for (data_centre, share) in directory.shares("shop", "a").unwrap() {
        let got = counts.get(data_centre).copied().unwrap_or(0.0);
        assert!(
            (got - share).abs() < 0.05,
            "{data_centre}: {got} for {share}"
        );
    }
}

proptest! {
    #![proptest_config(crate::fixtures::config())]

    /// Shares are whole, and no more than the permitted part of a region's callers changes region.
    #[test]
    fn moves_between_regions_keep_their_bound(
        steps in prop::collection::vec(
            (prop::array::uniform4(0.0f64..80.0), prop::array::uniform4(0.0f64..60.0), 100u64..1500),
            2..40,
        ),
    ) {
        let names = ["a1", "a2", "b1", "b2"];
        let mut directory = gateway::LookupBalancer::new(0.15);
        let mut now = 0;
        let mut history: Vec<(u64, collections::BTreeMap<_, _>)> = Vec::new();
        for (room, demand, pause) in steps {
            let pair = |values: [f64; 4]| names.into_iter().zip(values).collect::<Vec<_>>();
            directory.update_shares("shop", &spread(&pair(room), &pair(demand)), ms(now));
            let Some(shares) = directory.shares("shop", "a") else { continue };
            let sum: f64 = shares.values().sum();
            prop_assert!((sum - 1.0).abs() < 1e-6, "{shares:?}");
            let current = by_region(&directory, "a");
            for (at, before) in history.iter().filter(|(at, _)| at + 2000 > now) {
                let moved = (current.get("b").copied().unwrap_or(0.0)
                    - before.get("b").copied().unwrap_or(0.0)).abs();
                prop_assert!(moved <= 0.15 + 1e-9, "{moved} since {at}");
            }
            history.push((now, current));
            now += pause;
        }
    }
}

#[test]
fn the_first_counts_move_callers_no_faster_than_later_ones() {
    let mut directory = gateway::LookupBalancer::new(0.15);
    let room = [("a1", 4.0), ("b1", 60.0)];
    directory.update_shares("shop", &spread(&room, &[]), ms(0));
    let before = by_region(&directory, "a")["b"];
    assert!(before > 0.7, "{before}");
    // Only one host has reported yet.
    directory.update_shares("shop", &spread(&room, &[("a1", 1.5)]), ms(500));
    assert!(before - by_region(&directory, "a")["b"] < 0.05);
}

#[test]
fn a_started_host_takes_the_shares_that_have_settled() {
    let room = [("a1", 10.0), ("a2", 10.0), ("b1", 60.0)];
    let mut old = gateway::LookupBalancer::new(0.15);
    old.update_shares("shop", &spread(&room, &[]), ms(0));
    for i in 1..=40 {
        old.update_shares(
            "shop",
            &spread(&room, &[("a1", 30.0), ("b1", 5.0)]),
            ms(i * 500),
        );
        assert_eq!(old.settled_shares(ms(i * 500)).is_empty(), i <= 21, "{i}");
    }
    let mut new = gateway::LookupBalancer::new(0.15);
    new.update_shares("shop", &spread(&room, &[]), ms(20_000));
    new.adopt_shares(
        &old.settled_shares(ms(20_000)),
        &fixtures::regions(),
        ms(20_000),
    );
    let (theirs, own) = (by_region(&old, "a"), by_region(&new, "a"));
    assert!((theirs["b"] - own["b"]).abs() < 0.01, "{theirs:?} {own:?}");
    // Later ones do not replace its own.
    new.adopt_shares(&[], &fixtures::regions(), ms(21_000));
    new.update_shares(
        "shop",
        &spread(&room, &[("a1", 30.0), ("b1", 5.0)]),
        ms(21_000),
    );
    assert!((theirs["b"] - by_region(&new, "a")["b"]).abs() < 0.08);
}

#[test]
fn a_change_of_room_moves_callers_in_steps_once_they_have_asked() {
    let client = gateway::Client {
        address: net::IpAddr::from([10, 0, 0, 1]),
        data_centre: "a1".to_string(),
    };
    let mut directory = gateway::LookupBalancer::new(0.15);
    directory.update_shares("shop", &spread(&[("a1", 4.0), ("b1", 60.0)], &[]), ms(0));
    let before = by_region(&directory, "a")["b"];
    directory.rank_data_centres("shop", &client);
    directory.update_shares("shop", &spread(&[("a1", 60.0), ("b1", 4.0)], &[]), ms(500));
    assert!(before - by_region(&directory, "a")["b"] < 0.05);
}
