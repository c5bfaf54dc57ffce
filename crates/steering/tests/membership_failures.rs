//! Failure detection, refutation, partitions and replaced hosts, in seeded simulations with
//! virtual time.

use std::time::Duration;

use rstest::rstest;
use yuccatide_standins::{deployment, fleet};
use yuccatide_steering::membership;

/// Time within which all live hosts of a data centre have to mark a dead host of it dead.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn started_fleet(data_centres: &[(usize, usize)], seed: u64) -> fleet::Fleet {
    let document = deployment::document("camara").unwrap();
    let mut fleet = fleet::Fleet::new(data_centres, document, seed);
    fleet.start_all(secs(1));
    fleet.run(secs(10));
    fleet
}

fn all_hosts_see(fleet: &fleet::Fleet, hosts: usize) -> bool {
    fleet
        .hosts
        .iter()
        .filter(|h| h.up)
        .all(|h| h.live() == hosts)
}

fn death_count(fleet: &fleet::Fleet) -> usize {
    let is_death = |n: &&membership::Notice| matches!(n, membership::Notice::Died(_));
    fleet
        .hosts
        .iter()
        .flat_map(|h| h.notices.iter().filter(is_death))
        .count()
}

#[rstest]
#[case::one_data_centre(&[(0, 12)])]
#[case::three(&[(0, 4), (0, 2), (1, 5)])]
#[case::single_hosts(&[(0, 1), (1, 1), (2, 1)])]
fn started_hosts_know_all_members(
    #[case] data_centres: &[(usize, usize)],
    #[values(1, 2)] seed: u64,
) {
    let fleet = started_fleet(data_centres, seed);
    assert!(all_hosts_see(&fleet, fleet.hosts.len()));
    assert_eq!(death_count(&fleet), 0);
}

#[rstest]
#[case::one(&[3])]
#[case::rack(&[0, 3, 4, 7, 11, 12])]
fn killed_hosts_are_dead_within_detection_time(
    #[case] dead: &[usize],
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut fleet = started_fleet(&[(0, 20), (1, 3)], seed);
    dead.iter().for_each(|i| fleet.kill(*i));
    let local = |f: &fleet::Fleet| {
        let mut local = f.hosts[..20].iter().filter(|h| h.up);
        local.all(|h| h.live() == 23 - dead.len())
    };
    assert!(fleet.run_while(MAX_DETECTION_TIME, |f| !local(f)));
    fleet.run(secs(3));
    assert!(all_hosts_see(&fleet, 23 - dead.len()));
    assert_eq!(death_count(&fleet), dead.len() * (23 - dead.len()));
}

#[rstest]
fn pause_of_one_second_causes_no_death(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 12)], seed);
    for i in 0..12 {
        fleet.pause(i, secs(1));
        fleet.run(Duration::from_millis(2_130));
    }
    assert_eq!(death_count(&fleet), 0);
    assert!(all_hosts_see(&fleet, 12));
}

#[rstest]
fn paused_host_refutes_its_death_on_resuming(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 8), (1, 2)], seed);
    fleet.pause(2, secs(20));
    fleet.run(secs(10));
    assert_eq!(
        fleet.hosts[0].sees("host-0-2"),
        Some(membership::State::Dead)
    );
    assert_eq!(
        fleet.hosts[9].sees("host-0-2"),
        Some(membership::State::Dead)
    );
    fleet.run(secs(15));
    assert!(all_hosts_see(&fleet, 10));
    assert!(
        fleet.hosts[2]
            .notices
            .contains(&membership::Notice::Refuted)
    );
}

#[rstest]
fn single_broken_links_cause_no_death(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 8)], seed);
    fleet.passes = Box::new(|a, b| (a.host, b.host) != (1, 2) && (a.host, b.host) != (5, 3));
    fleet.run(secs(60));
    assert_eq!(death_count(&fleet), 0);
}

#[rstest]
#[case::cannot_send(true)]
#[case::cannot_receive(false)]
fn host_that_cannot_send_or_receive_is_the_only_death(
    #[case] mute: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = started_fleet(&[(0, 8)], seed);
    fleet.passes = Box::new(move |a, b| if mute { a.host != 4 } else { b.host != 4 });
    fleet.run(secs(30));
    let others = || (0..8).filter(|i| *i != 4);
    for i in others() {
        assert_eq!(fleet.hosts[i].live(), 7, "host {i}");
    }
    fleet.passes = Box::new(|_, _| true);
    fleet.run(secs(30));
    assert!(all_hosts_see(&fleet, 8));
}

#[rstest]
fn all_hosts_are_live_after_a_lossy_network(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 10), (1, 3)], seed);
    fleet.loss = 0.05;
    fleet.duplicates = 0.05;
    fleet.jitter = Duration::from_millis(30);
    fleet.run(secs(120));
    fleet.loss = 0.0;
    fleet.run(secs(15));
    assert!(all_hosts_see(&fleet, 13));
}

#[rstest]
fn split_data_centre_rejoins_after_the_split(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 10), (1, 2)], seed);
    fleet.passes = Box::new(|a, b| a.data_centre != b.data_centre || (a.host < 4) == (b.host < 4));
    fleet.run(secs(30));
    let seen = |f: &fleet::Fleet, i: usize| {
        let local =
            (0..10).filter(|j| f.hosts[i].sees(&f.hosts[*j].name) != Some(membership::State::Dead));
        local.count()
    };
    assert_eq!((seen(&fleet, 0), seen(&fleet, 9)), (4, 6));
    fleet.passes = Box::new(|_, _| true);
    fleet.run(secs(60));
    assert!(all_hosts_see(&fleet, 12));
}

#[rstest]
fn separated_data_centre_is_silent_until_it_rejoins(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(&[(0, 4), (0, 3), (1, 3)], seed);
    fleet.passes = Box::new(|a, b| (a.data_centre == 2) == (b.data_centre == 2));
    fleet.run(secs(3_600));
    assert!(
        fleet.hosts[..7]
            .iter()
            .all(|h| h.membership.is_silent("dc-2"))
    );
    assert!(
        fleet.hosts[7..]
            .iter()
            .all(|h| h.membership.is_silent("dc-0"))
    );
    assert!(!fleet.hosts[0].membership.is_silent("dc-1"));
    assert_eq!(
        fleet.hosts[0].sees("host-2-8"),
        Some(membership::State::Alive)
    );
    fleet.kill(8);
    fleet.start(9);
    fleet.passes = Box::new(|_, _| true);
    fleet.run(secs(15));
    assert!(
        fleet
            .hosts
            .iter()
            .all(|h| !h.membership.is_silent("dc-2") || !h.up)
    );
    assert!(all_hosts_see(&fleet, 9));
}

#[rstest]
fn leaving_and_stopped_host_is_known_within_a_second() {
    let mut fleet = started_fleet(&[(0, 10), (1, 2)], 1);
    fleet.with_membership(3, |m, now| m.leave(now));
    fleet.run(Duration::from_millis(1_000));
    let leaving = Some(membership::State::Leaving);
    assert!(
        fleet.hosts[..10]
            .iter()
            .all(|h| h.sees("host-0-3") == leaving)
    );
    fleet.with_membership(3, |m, now| m.stop(now));
    fleet.kill(3);
    fleet.run(Duration::from_millis(1_000));
    assert!(all_hosts_see(&fleet, 11));
}

#[rstest]
fn restarted_host_replaces_its_earlier_incarnation() {
    let mut fleet = started_fleet(&[(0, 6), (1, 2)], 1);
    fleet.kill(2);
    fleet.run(Duration::from_millis(300));
    fleet.start(2);
    let incarnation = fleet.hosts[2]
        .membership
        .members()
        .next()
        .unwrap()
        .incarnation;
    fleet.run(secs(5));
    let known = |h: &fleet::Host| {
        let mut members = h.membership.members();
        members.any(|m| m.host == "host-0-2" && m.incarnation == incarnation)
    };
    assert!(fleet.hosts.iter().all(known));
    assert!(all_hosts_see(&fleet, 8));
}

#[rstest]
fn older_process_of_the_same_name_or_address_is_superseded(#[values(true, false)] same_name: bool) {
    let mut fleet = started_fleet(&[(0, 6)], 1);
    let (name, address) = (fleet.hosts[2].name.clone(), fleet.hosts[2].peer_address);
    fleet.kill(5);
    fleet.run(secs(5));
    let mut me = identity(&fleet, 5);
    me.incarnation += 1_000_000;
    match same_name {
        true => me.host = name,
        false => me.peer_address = address,
    }
    let now = fleet.now();
    let mut newer = membership::Membership::new(me, vec![fleet.hosts[0].peer_address], 9, now);
    // The newer process sends to one host only, which gossips its record.
    let pull = newer.tick(now).into_iter().find_map(|a| match a {
        membership::Action::Send { message, .. } => Some(message),
        _ => None,
    });
    fleet.with_membership(0, |m, now| m.on_message(pull.unwrap(), now));
    fleet.run(Duration::from_millis(1_500));
    assert!(fleet.hosts[2].membership.is_superseded());
    let is_superseded = |n: &membership::Notice| matches!(n, membership::Notice::Superseded { .. });
    assert!(fleet.hosts[2].notices.iter().any(is_superseded));
}

#[rstest]
fn message_of_another_deployment_is_refused() {
    let mut fleet = started_fleet(&[(0, 2)], 1);
    let mut me = identity(&fleet, 1);
    me.host = "stranger".to_string();
    me.deployment = "lampolie".to_string();
    let now = fleet.now();
    let mut stranger = membership::Membership::new(me, vec![fleet.hosts[0].peer_address], 9, now);
    let actions = stranger.tick(now);
    let Some(membership::Action::Send { message, .. }) = actions.into_iter().next() else {
        panic!("a starting host sends no request for the members");
    };
    fleet.with_membership(0, |m, now| m.on_message(message, now));
    let refused = membership::Notice::OtherDeployment("stranger".to_string());
    assert!(fleet.hosts[0].notices.contains(&refused));
    assert_eq!(fleet.hosts[0].live(), 2);
}

fn identity(fleet: &fleet::Fleet, i: usize) -> membership::Identity {
    let m = fleet.hosts[i].membership.members().next().unwrap();
    membership::Identity {
        host: m.host,
        incarnation: m.incarnation,
        data_centre: m.data_centre,
        address: m.address,
        peer_address: m.peer_address,
        deployment: "camara".to_string(),
    }
}
