//! Rate of a cold backend server, summed over all hosts.

use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

/// Hosts of each data centre.
const HOSTS: [(&str, usize); 4] = [("a1", 33), ("a2", 33), ("b1", 33), ("b2", 33)];

/// Requests a second to a cold server of a large deployment; 1.5 times as many and 10 are tolerated.
const WARMUP_RATE: f64 = 3.8;
const TOLERATED_IN_A_SECOND: usize = 15;

/// Dispatchers of all hosts, each with the data centre that it is in.
fn fleet() -> Vec<(&'static str, gateway::Dispatcher)> {
    let data_centres: Vec<&str> = HOSTS
        .iter()
        .flat_map(|(data_centre, count)| std::iter::repeat_n(*data_centre, *count))
        .collect();
    data_centres
        .iter()
        .enumerate()
        .map(|(own, data_centre)| {
            let limits = gateway::RetryLimits {
                ratio: 0.2,
                slack: 10.0,
                window: ms(10_000),
            };
            let tolerance = gateway::ColdTolerance {
                ratio: 1.5,
                slack: 10.0,
            };
            let mut dispatcher = gateway::Dispatcher::new(data_centre, fixtures::regions(), limits)
                .with_cold_tolerance(tolerance);
            let mut service = fixtures::service();
            service.warmup_rate = WARMUP_RATE;
            dispatcher.set_services(&[("log".to_string(), service)].into());
            dispatcher.set_hosts(fixtures::known_hosts(&data_centres, own));
            (*data_centre, dispatcher)
        })
        .collect()
}

/// Times at which the fleet sends requests to a server named `cold` in 4 s of steady work.
fn cold_sends(fleet: &mut [(&'static str, gateway::Dispatcher)]) -> Vec<u64> {
    let mut sent_at = Vec::new();
    for at in (0..4000).step_by(50) {
        for (i, (_, dispatcher)) in fleet.iter_mut().enumerate() {
            let object = at * 1000 + i as u64;
            dispatcher.submit(fixtures::request(fixtures::route("r"), object, ms(at)));
            for (ticket, decision) in dispatcher.decide(ms(at)) {
                if let Decision::Send(_, entry) = decision {
                    sent_at.extend((entry.id == "cold").then_some(at));
                    dispatcher.finish(ticket, Outcome::Answered, ms(at));
                }
            }
        }
    }
    sent_at
}

fn max_in_a_second(sent_at: &[u64]) -> usize {
    let in_second = |start: u64| {
        let times = sent_at.iter();
        times
            .filter(|at| (start..start + 1000).contains(*at))
            .count()
    };
    sent_at.iter().map(|at| in_second(*at)).max().unwrap_or(0)
}

fn cold_entry() -> gateway::ServerEntry {
    let mut entry = fixtures::entry("cold", "a1", 9);
    entry.warmup_left = ms(10_000);
    entry
}

/// Guards against floods of cold servers: an interval for each host bounds the mean rate, but when
/// all hosts learn of a server at the same moment, each could send it a first request at once.
#[test]
fn hosts_that_learn_of_a_cold_server_at_once_do_not_flood_it() {
    let mut fleet = fleet();
    for (_, dispatcher) in &mut fleet {
        dispatcher.servers.upsert(cold_entry(), ms(0));
    }
    let sent_at = cold_sends(&mut fleet);
    let max = max_in_a_second(&sent_at);
    assert!(max <= TOLERATED_IN_A_SECOND, "{max} sent in a second");
    assert!(sent_at.len() >= 8, "{} sent in 4 s", sent_at.len());
}

/// The same for a server that was warm and becomes cold again on all hosts at once.
#[test]
fn hosts_that_see_a_warm_server_become_cold_do_not_flood_it() {
    let mut fleet = fleet();
    for (_, dispatcher) in &mut fleet {
        dispatcher
            .servers
            .upsert(fixtures::entry("cold", "a1", 9), ms(0));
        dispatcher.servers.upsert(cold_entry(), ms(0));
    }
    let max = max_in_a_second(&cold_sends(&mut fleet));
    assert!(max <= TOLERATED_IN_A_SECOND, "{max} sent in a second");
}

/// Hosts that know different ones choose other senders; the sum must hold all the same.
#[test]
fn hosts_that_know_different_hosts_do_not_flood_a_cold_server() {
    let data_centres: Vec<&str> = HOSTS
        .iter()
        .flat_map(|(data_centre, count)| std::iter::repeat_n(*data_centre, *count))
        .collect();
    let mut fleet = fleet();
    for (own, (_, dispatcher)) in fleet.iter_mut().enumerate() {
        // Each misses another tenth of the hosts.
        let known = data_centres.iter().enumerate().map(|(i, data_centre)| {
            let is_missed = i != own && (i + own) % 10 == 0;
            if is_missed { "nowhere" } else { data_centre }
        });
        dispatcher.set_hosts(fixtures::known_hosts(&known.collect::<Vec<_>>(), own));
        dispatcher.servers.upsert(cold_entry(), ms(0));
    }
    let max = max_in_a_second(&cold_sends(&mut fleet));
    assert!(max <= TOLERATED_IN_A_SECOND, "{max} sent in a second");
}

/// A host that has just started and knows no others must not take the whole rate.
#[test]
fn a_host_that_has_not_found_the_others_sends_nothing_to_a_cold_server() {
    let mut fleet = fleet();
    for (_, dispatcher) in &mut fleet {
        dispatcher.set_hosts(gateway::KnownHosts::undiscovered());
        dispatcher.servers.upsert(cold_entry(), ms(0));
    }
    assert_eq!(cold_sends(&mut fleet), Vec::<u64>::new());
}

/// In a small data centre all hosts are senders, and use the rate that the server takes.
#[test]
fn two_hosts_use_the_rate_of_a_cold_server() {
    let mut fleet = fleet();
    fleet.truncate(2);
    for (own, (_, dispatcher)) in fleet.iter_mut().enumerate() {
        dispatcher.set_hosts(fixtures::known_hosts(&["a1", "a1"], own));
        dispatcher.servers.upsert(cold_entry(), ms(0));
    }
    let sent_at = cold_sends(&mut fleet);
    assert!(
        (11..=16).contains(&sent_at.len()),
        "{} sent in 4 s",
        sent_at.len()
    );
    assert!(max_in_a_second(&sent_at) <= TOLERATED_IN_A_SECOND);
}

/// A service without a rate, or one that the configuration doesn't name, is not bounded.
#[test]
fn a_cold_server_without_a_rate_gets_requests() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.set_services(&Default::default());
    dispatcher.servers.upsert(cold_entry(), ms(0));
    dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(0)));
    assert!(matches!(dispatcher.decide(ms(0))[0].1, Decision::Send(..)));
}

/// A rate that is next to nothing must not end the process.
#[test]
fn a_cold_server_with_a_tiny_rate_gets_one_request() {
    let mut dispatcher = fixtures::dispatcher();
    let mut service = fixtures::service();
    service.warmup_rate = f64::MIN_POSITIVE;
    dispatcher.set_services(&[("log".to_string(), service)].into());
    dispatcher.servers.upsert(cold_entry(), ms(0));
    for (at, expected) in [(0, 1), (5000, 0)] {
        dispatcher.submit(fixtures::request(fixtures::route("r"), 1, ms(at)));
        let decisions = dispatcher.decide(ms(at));
        let sent = decisions
            .iter()
            .filter(|(_, d)| matches!(d, Decision::Send(..)));
        assert_eq!(sent.count(), expected, "at {at} ms");
    }
}
