//! Propagation of submitted patches to every host, in seeded simulations with virtual time.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use yuccatide_standins::{deployment, fleet};
use yuccatide_steering::{config, propagation};

/// Time within which an accepted change has to be in force on each of 11 hosts.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);

const ELEVEN_HOSTS: &[(usize, usize)] = &[(0, 2), (0, 2), (1, 2), (1, 2), (2, 2), (2, 1)];

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn started_fleet(seed: u64) -> fleet::Fleet {
    let document = deployment::document("camara").unwrap();
    let mut fleet = fleet::Fleet::new(ELEVEN_HOSTS, document, seed);
    fleet.start_all(secs(1));
    fleet.run(secs(10));
    assert!(fleet.hosts.iter().all(|h| h.follower.is_ready()));
    fleet
}

fn patch(id: &str, base: u64) -> config::Patch {
    config::Patch {
        id: id.to_string(),
        base,
        merge: json!({"drains": {id: {"target": {"host": "host-0-0"}}}}),
    }
}

fn has_change(fleet: &fleet::Fleet, i: usize, id: &str) -> bool {
    let stored = fleet.hosts[i].follower.stored();
    stored.is_some_and(|s| s.document.drains.contains_key(id))
}

fn is_in_force_everywhere(fleet: &fleet::Fleet, id: &str) -> bool {
    (0..fleet.hosts.len())
        .filter(|i| fleet.hosts[*i].up)
        .all(|i| has_change(fleet, i, id))
}

fn versions_only_rise(fleet: &fleet::Fleet) -> bool {
    let rising = |h: &fleet::Host| h.history.windows(2).all(|w| w[0] < w[1]);
    fleet.hosts.iter().all(rising)
}

fn last_result(fleet: &fleet::Fleet, i: usize) -> Option<&propagation::SubmitResult> {
    fleet.hosts[i].results.values().next_back()
}

#[rstest]
fn accepted_change_is_in_force_within_the_limit(
    #[values(0, 3, 10)] at: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = started_fleet(seed);
    fleet.submit(at, patch("a", 1));
    assert!(fleet.run_while(MAX_PROPAGATION_TIME, |f| !is_in_force_everywhere(f, "a")));
    assert_eq!(
        last_result(&fleet, at),
        Some(&propagation::SubmitResult::Accepted(2))
    );
}

#[rstest]
#[case::same_host(4, 4)]
#[case::same_data_centre(4, 5)]
#[case::regions_apart(0, 10)]
fn one_of_two_racing_patches_is_accepted(
    #[case] a: usize,
    #[case] b: usize,
    #[values(0, 7, 25)] apart_ms: u64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = started_fleet(seed);
    let first = fleet.submit(a, patch("a", 1));
    fleet.run(Duration::from_millis(apart_ms));
    let second = fleet.submit(b, patch("b", 1));
    fleet.run(MAX_PROPAGATION_TIME);
    let results = [
        &fleet.hosts[a].results[&first],
        &fleet.hosts[b].results[&second],
    ];
    assert!(results.contains(&&propagation::SubmitResult::Accepted(2)));
    assert!(results.contains(&&propagation::SubmitResult::Outdated { current: 2 }));
    let won = results[0] == &propagation::SubmitResult::Accepted(2);
    assert!(is_in_force_everywhere(&fleet, if won { "a" } else { "b" }));
    assert!((0..11).all(|i| !has_change(&fleet, i, if won { "b" } else { "a" })));
}

#[rstest]
fn outdated_and_invalid_patches_are_refused() {
    let mut fleet = started_fleet(1);
    fleet.submit(3, patch("a", 0));
    let outdated = propagation::SubmitResult::Outdated { current: 1 };
    assert_eq!(last_result(&fleet, 3), Some(&outdated));
    fleet.submit(3, patch("a", 7));
    fleet.run(secs(1));
    assert_eq!(last_result(&fleet, 3), Some(&outdated));
    let mut wrong = patch("a", 1);
    wrong.merge = json!({"shift": {"share": 2.0}});
    fleet.submit(3, wrong);
    let invalid = |r: &propagation::SubmitResult| {
        matches!(
            r,
            propagation::SubmitResult::Invalid(config::PatchError::Invalid(_))
        )
    };
    assert!(last_result(&fleet, 3).is_some_and(invalid));
    assert_eq!(fleet.store.stored().unwrap().document.version, 1);
}

#[rstest]
fn lost_write_response_is_resolved_by_a_read(#[values(0, 10)] at: usize) {
    let mut fleet = started_fleet(1);
    let mut calls = 0;
    fleet.treats = Box::new(move |place| {
        calls += u32::from(place.host == at);
        match (place.host == at, calls) {
            (true, 2) => fleet::Reply::LosesAnswer,
            _ => fleet::Reply::Answers,
        }
    });
    fleet.submit(at, patch("a", 1));
    fleet.run(secs(8));
    assert!(is_in_force_everywhere(&fleet, "a"));
    let accepted = propagation::SubmitResult::Accepted(2);
    assert_eq!(last_result(&fleet, at), Some(&accepted));
    assert_eq!(fleet.store.stored().unwrap().document.version, 2);
}

#[rstest]
#[case::refused(fleet::Reply::Refuses, propagation::SubmitResult::Unavailable)]
#[case::lost(fleet::Reply::LosesCall, propagation::SubmitResult::Unavailable)]
fn platform_outage_makes_submission_unavailable(
    #[case] reply: fleet::Reply,
    #[case] expected: propagation::SubmitResult,
) {
    let mut fleet = started_fleet(1);
    fleet.treats = Box::new(move |_| reply);
    fleet.submit(5, patch("a", 1));
    fleet.run(secs(15));
    assert_eq!(last_result(&fleet, 5), Some(&expected));
}

#[rstest]
fn unconfirmed_write_is_unknown_and_may_be_repeated() {
    let mut fleet = started_fleet(1);
    let mut calls = 0;
    fleet.treats = Box::new(move |place| {
        calls += u32::from(place.host == 10);
        match (place.host == 10, calls) {
            (true, 2) => fleet::Reply::LosesAnswer,
            (true, 3..) => fleet::Reply::LosesCall,
            _ => fleet::Reply::Answers,
        }
    });
    fleet.passes = Box::new(|a, b| a.host != 10 && b.host != 10);
    fleet.submit(10, patch("a", 1));
    fleet.run(secs(15));
    let unknown = propagation::SubmitResult::Unknown;
    assert_eq!(last_result(&fleet, 10), Some(&unknown));
    fleet.passes = Box::new(|_, _| true);
    fleet.treats = Box::new(|_| fleet::Reply::Answers);
    fleet.run(secs(30));
    fleet.submit(10, patch("a", 1));
    fleet.run(secs(1));
    let accepted = propagation::SubmitResult::Accepted(2);
    assert_eq!(last_result(&fleet, 10), Some(&accepted));
}

#[rstest]
fn change_propagates_while_the_platform_is_down(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(seed);
    fleet.submit(6, patch("a", 1));
    fleet.run_while(secs(1), |f| f.hosts[6].results.is_empty());
    fleet.treats = Box::new(|_| fleet::Reply::LosesCall);
    assert!(fleet.run_while(MAX_PROPAGATION_TIME, |f| !is_in_force_everywhere(f, "a")));
}

#[rstest]
fn data_centre_cut_off_from_the_platform_receives_changes(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(seed);
    fleet.treats = Box::new(|place| match place.data_centre {
        3 => fleet::Reply::LosesCall,
        _ => fleet::Reply::Answers,
    });
    fleet.run(secs(60));
    fleet.submit(0, patch("a", 1));
    assert!(fleet.run_while(MAX_PROPAGATION_TIME, |f| !is_in_force_everywhere(f, "a")));
}

#[rstest]
fn data_centre_cut_off_from_all_catches_up_after_reconnecting(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(seed);
    fleet.passes = Box::new(|a, b| (a.data_centre == 3) == (b.data_centre == 3));
    fleet.treats = Box::new(|place| match place.data_centre {
        3 => fleet::Reply::LosesCall,
        _ => fleet::Reply::Answers,
    });
    for version in 1..=80 {
        fleet.submit(0, patch(&format!("p-{version}"), version));
        fleet.run(secs(2));
    }
    assert!(!has_change(&fleet, 6, "p-1"));
    assert!(fleet.hosts[6].follower.is_ready());
    fleet.passes = Box::new(|_, _| true);
    fleet.treats = Box::new(|_| fleet::Reply::Answers);
    assert!(fleet.run_while(secs(20), |f| !is_in_force_everywhere(f, "p-80")));
    assert!(versions_only_rise(&fleet));
}

#[rstest]
fn older_copy_in_the_platform_is_overwritten(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(seed);
    let copy = fleet.store.copy();
    for version in 1..=4 {
        fleet.submit(0, patch(&format!("p-{version}"), version));
        fleet.run(secs(2));
    }
    fleet.store.restore(copy);
    fleet.submit(7, patch("late", 1));
    assert_eq!(
        last_result(&fleet, 7),
        Some(&propagation::SubmitResult::Outdated { current: 5 })
    );
    fleet.run(secs(100));
    assert!(versions_only_rise(&fleet));
    assert!(fleet.hosts.iter().all(|h| h.follower.version() == 5));
    assert_eq!(fleet.store.stored().unwrap().document.version, 5);
    let behind = propagation::Notice::StoreBehind {
        stored: 1,
        current: 5,
    };
    let is_reported = |h: &fleet::Host| h.config_notices.contains(&behind);
    assert!(fleet.hosts.iter().any(is_reported));
    fleet.submit(7, patch("next", 5));
    assert!(fleet.run_while(MAX_PROPAGATION_TIME, |f| !is_in_force_everywhere(f, "next")));
}

#[rstest]
fn starting_host_adopts_newer_version_of_peers(#[values(1, 2)] seed: u64) {
    let mut fleet = started_fleet(seed);
    let copy = fleet.store.copy();
    fleet.submit(0, patch("a", 1));
    fleet.run(secs(2));
    fleet.store.restore(copy);
    fleet.kill(9);
    fleet.start(9);
    assert!(fleet.run_while(secs(6), |f| f.hosts[9].ready.is_none()));
    assert_eq!(fleet.hosts[9].follower.version(), 2);
    assert!(versions_only_rise(&fleet));
}

#[rstest]
fn host_becomes_ready_without_the_platform() {
    let mut fleet = started_fleet(1);
    fleet.treats = Box::new(|_| fleet::Reply::LosesCall);
    fleet.kill(9);
    fleet.start(9);
    assert!(fleet.run_while(secs(6), |f| f.hosts[9].ready.is_none()));
    assert_eq!(fleet.hosts[9].follower.version(), 1);
}

#[rstest]
fn host_without_configuration_is_not_ready() {
    let document = deployment::document("camara").unwrap();
    let mut fleet = fleet::Fleet::new(&[(0, 3)], document, 1);
    fleet.treats = Box::new(|_| fleet::Reply::Refuses);
    fleet.start_all(secs(1));
    fleet.run(secs(60));
    assert!(fleet.hosts.iter().all(|h| !h.follower.is_ready()));
    let mut members = fleet.hosts[0].membership.members();
    assert!(members.all(|m| !m.serves()));
    drop(members);
    fleet.treats = Box::new(|_| fleet::Reply::Answers);
    assert!(fleet.run_while(secs(20), |f| f.hosts.iter().any(|h| h.ready.is_none())));
}

#[rstest]
fn document_of_another_deployment_is_refused() {
    let document = deployment::document("camara").unwrap();
    let other = deployment::document("lampolie").unwrap();
    let mut fleet = fleet::Fleet::new(&[(0, 2)], document, 1);
    fleet.store = fleet::Store::with_document(other);
    fleet.start_all(secs(1));
    fleet.run(secs(10));
    assert!(fleet.hosts.iter().all(|h| h.follower.version() == 0));
    let refused = propagation::Notice::OtherDeployment;
    assert!(fleet.hosts[0].config_notices.contains(&refused));
}
