//! Responses to look-ups.

use std::{collections, net, sync};

use proptest::{prelude::*, test_runner};
use rstest::{fixture, rstest};
use yuccatide_steering::{config, lookup, membership};

static TABLE: sync::LazyLock<lookup::BlockTable> = sync::LazyLock::new(lookup::BlockTable::default);

#[fixture]
fn doc() -> config::Document {
    let text = include_str!("../../../deployments/camara/config.json");
    config::Document::from_json(text).unwrap()
}

fn member(host: &str, data_centre: &str) -> membership::Member {
    membership::Member {
        host: host.to_string(),
        incarnation: 7,
        data_centre: data_centre.to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        peer_address: "10.0.0.1:81".parse().unwrap(),
        state: membership::State::Alive,
        config_version: 1,
        attributes: membership::Attributes {
            ready: true,
            ..membership::Attributes::default()
        },
    }
}

/// Three hosts in Rosario, two in each of the other data centres.
fn members() -> Vec<membership::Member> {
    let data_centres = [
        "rosario",
        "cordoba",
        "mendoza",
        "sanjuan",
        "neuquen",
        "bariloche",
    ];
    let count = |dc: &str| if dc == "rosario" { 3 } else { 2 };
    data_centres
        .iter()
        .flat_map(|dc| (0..count(dc)).map(move |i| member(&format!("{dc}-{i}"), dc)))
        .collect()
}

fn respond(
    doc: &config::Document,
    members: Vec<membership::Member>,
    silent: &str,
    client: u32,
) -> Result<lookup::Response, lookup::Error> {
    let directory = lookup::HostDirectory::new(members.into_iter(), |dc| dc == silent);
    respond_from(doc, &directory, client)
}

fn respond_from(
    doc: &config::Document,
    directory: &lookup::HostDirectory,
    client: u32,
) -> Result<lookup::Response, lookup::Error> {
    let client = net::Ipv4Addr::from_bits(client).into();
    lookup::respond(Some(doc), &TABLE, directory, client, "history")
}

fn data_centres(response: &lookup::Response) -> Vec<&str> {
    response
        .hosts
        .iter()
        .map(|h| h.data_centre.as_str())
        .collect()
}

#[rstest]
fn returns_two_hosts_of_the_first_data_centre_and_one_of_each_region(doc: config::Document) {
    let response = respond(&doc, members(), "", 1).unwrap();
    let expected = ["rosario", "rosario", "cordoba", "mendoza", "neuquen"];
    assert_eq!(data_centres(&response), expected);
    assert_ne!(response.hosts[0].host, response.hosts[1].host);
    assert_eq!(
        (response.site.as_str(), response.ttl),
        ("rosario", doc.lookup_ttl)
    );
}

#[rstest]
fn silent_data_centre_comes_last(doc: config::Document) {
    let response = respond(&doc, members(), "rosario", 1).unwrap();
    let expected = ["cordoba", "cordoba", "mendoza", "sanjuan", "neuquen"];
    assert_eq!(data_centres(&response), expected);
}

#[rstest]
#[case::leaving(|m: &mut membership::Member| m.state = membership::State::Leaving)]
#[case::dead(|m: &mut membership::Member| m.state = membership::State::Dead)]
#[case::not_ready(|m: &mut membership::Member| m.attributes.ready = false)]
fn host_that_does_not_serve_is_not_returned(
    doc: config::Document,
    #[case] change: fn(&mut membership::Member),
) {
    let mut members = members();
    change(&mut members[0]);
    for client in 0..50 {
        let response = respond(&doc, members.clone(), "", client << 8).unwrap();
        assert!(response.hosts.iter().all(|h| h.host != "rosario-0"));
    }
    members.iter_mut().for_each(change);
    assert_eq!(respond(&doc, members, "", 1), Err(lookup::Error::NoHosts));
}

#[rstest]
fn policy_regions_do_not_limit_entry_hosts(mut doc: config::Document) {
    let policy = doc.policies.get_mut("log").unwrap();
    policy.regions = vec!["sur".to_string()];
    let response = respond(&doc, members(), "", 1).unwrap();
    assert_eq!(response.hosts[0].data_centre, "rosario");
}

#[rstest]
fn lookup_errors_name_their_cause(doc: config::Document) {
    let directory = lookup::HostDirectory::default();
    let table = lookup::BlockTable::default();
    let client = net::Ipv4Addr::LOCALHOST.into();
    let error = |doc, work| lookup::respond(doc, &table, &directory, client, work).unwrap_err();
    assert_eq!(error(None, "history"), lookup::Error::NotReady);
    assert_eq!(error(Some(&doc), "history"), lookup::Error::NoHosts);
    let unknown = lookup::Error::UnknownWork("x".to_string());
    assert_eq!(error(Some(&doc), "x"), unknown);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: test_runner::RngSeed::Fixed(0x61_73_6b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn blocks_keep_their_host_when_another_is_removed(removed in 0..3_usize, salt in any::<u16>()) {
        let doc = doc();
        let mut others = members();
        let removed = others.remove(removed).host;
        let all = lookup::HostDirectory::new(members().into_iter(), |_| false);
        let others = lookup::HostDirectory::new(others.into_iter(), |_| false);
        for block in 0..200_u32 {
            let client = (u32::from(salt) << 16) | (block << 8);
            let before = respond_from(&doc, &all, client).unwrap();
            let after = respond_from(&doc, &others, client).unwrap();
            if before.hosts[0].host != removed {
                prop_assert_eq!(&before.hosts[0], &after.hosts[0]);
            } else {
                prop_assert_eq!(&before.hosts[1], &after.hosts[0]);
            }
        }
    }

    #[test]
    fn blocks_are_distributed_by_weight(salt in 0..1_000_u32) {
        let doc = doc();
        let mut members = members();
        members[0].attributes.weight = 200;
        let directory = lookup::HostDirectory::new(members.into_iter(), |_| false);
        let mut counts = collections::BTreeMap::<_, u32>::new();
        for block in 0..4_000_u32 {
            let client = (salt << 20).wrapping_add(block << 8);
            let response = respond_from(&doc, &directory, client).unwrap();
            *counts.entry(response.hosts[0].host.clone()).or_default() += 1;
        }
        // 2000 expected, with a tolerance of five standard deviations of 32.
        prop_assert!((1_840..=2_160).contains(&counts["rosario-0"]), "{:?}", counts);
    }
}
