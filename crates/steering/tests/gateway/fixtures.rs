//! Fixtures: routes, services, backend servers and requests with default values.

use std::{collections, net, sync, time};

use proptest::test_runner;
use yuccatide_steering::{gateway, model};

/// Property test configuration with a fixed seed, so that each run tests the same cases.
pub fn config() -> test_runner::Config {
    test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

pub fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

pub fn route(name: &str) -> gateway::Route {
    gateway::Route {
        name: name.to_string(),
        host: "shop.example".to_string(),
        prefix: format!("/{name}/"),
        is_idempotent: true,
        timeout: ms(2000),
        objective: ms(400),
        attempts: 2,
        rank: 1,
        weighted_services: vec![gateway::WeightedService {
            service: "log".to_string(),
            weight: 1.0,
        }],
        has_affinity: true,
        regions: Vec::new(),
        is_public: false,
    }
}

pub fn policy(version: model::Version, routes: Vec<gateway::Route>) -> gateway::Policy {
    gateway::Policy {
        version,
        routes,
        services: [("log".to_string(), service())].into(),
        customers: Vec::new(),
        limits: gateway::ClientLimits::default(),
    }
}

pub fn service() -> gateway::Service {
    gateway::Service {
        health_check: "/health".to_string(),
        max_connections: 100,
        warmup: ms(3000),
        warmup_rate: 10.0,
    }
}

pub fn entry(id: &str, data_centre: &str, slots: u32) -> gateway::ServerEntry {
    gateway::ServerEntry {
        id: id.to_string(),
        service: "log".to_string(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9000)),
        data_centre: data_centre.to_string(),
        slots,
        state: gateway::ServerState::Ready,
        warmup_left: time::Duration::ZERO,
        incarnation: 1,
        sequence: None,
    }
}

pub fn regions() -> collections::BTreeMap<model::DataCentreId, model::RegionId> {
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")]
        .into_iter()
        .map(|(data_centre, region)| (data_centre.to_string(), region.to_string()))
        .collect()
}

pub fn dispatcher() -> gateway::Dispatcher {
    let limits = gateway::RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: ms(10_000),
    };
    let mut dispatcher = gateway::Dispatcher::new("a1", regions(), limits);
    dispatcher.set_services(&[("log".to_string(), service())].into());
    dispatcher
}

/// Hosts named `h0`, `h1` and so on in these data centres, as the one with the index `own` knows
/// them.
pub fn known_hosts(data_centres: &[&str], own: usize) -> gateway::KnownHosts {
    let names: Vec<(String, String)> = data_centres
        .iter()
        .enumerate()
        .map(|(i, data_centre)| (data_centre.to_string(), format!("h{i}")))
        .collect();
    let others = names.iter().enumerate().filter(|(i, _)| *i != own);
    gateway::KnownHosts::new(
        &names[own].1,
        others.map(|(_, (data_centre, host))| (data_centre, host.as_str())),
    )
}

pub fn request(route: gateway::Route, object: u64, now: model::Time) -> gateway::Request {
    gateway::Request {
        service: "log".to_string(),
        object_hash: Some(object),
        arrived: now,
        deadline: now + route.timeout,
        is_client_retry: false,
        tried_servers: Vec::new(),
        customer: None,
        route: sync::Arc::new(route),
    }
}
