//! Moving traffic between data centres.

mod common;

use std::{collections, time};

use serde_json::json;
use yuccatide_node::daemon;
use yuccatide_steering::{config, propagation};

/// Requests that are sent, one every `PERIOD`.
const REQUESTS: usize = 300;
/// Rounds of requests until all are served where the policy allows.
const ROUNDS: usize = 8;
const PERIOD: time::Duration = time::Duration::from_millis(20);

/// Sends idempotent requests at a steady rate; returns outcome with reason, and the region that
/// served.
async fn send_steadily(world: &common::World, host: &daemon::Daemon) -> Vec<(String, String)> {
    let mut sent = Vec::new();
    for i in 0..REQUESTS {
        let uri = format!("http://{}/v1/run/history/{i}", host.callers());
        let req = http::Request::get(uri)
            .header("x-yuccatide-request-id", format!("request-{i}"))
            .body(http_body_util::Full::default())
            .unwrap();
        sent.push(tokio::spawn(common::send(req)));
        tokio::time::sleep(PERIOD).await;
    }
    let mut served = Vec::new();
    for reply in sent {
        let reply = reply.await.unwrap();
        let outcome = format!(
            "{} {}",
            reply.header("x-yuccatide-outcome"),
            reply.header("x-yuccatide-reason")
        );
        let server = world.doc.servers.get(reply.header("x-yuccatide-server"));
        let region = server.and_then(|s| world.doc.region_of(&s.data_centre));
        served.push((
            outcome.trim_end().to_string(),
            region.cloned().unwrap_or_default(),
        ));
    }
    served
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn policy_moves_traffic_without_losing_any() {
    let mut world = common::world("camara", 2).await;
    world.doc.shift.interval = time::Duration::from_millis(500);
    world.doc.version = 2;
    let stored = config::StoredConfig::new(world.doc.clone());
    let json = serde_json::to_vec(&stored).unwrap();
    world.platform.put("config", "camara", json);
    let a = common::start(common::settings(&world, "a", "rosario", &[])).await;
    let seeds = [a.peers()];
    let b = common::start(common::settings(&world, "b", "mendoza", &seeds)).await;
    let c = common::start(common::settings(&world, "c", "sanjuan", &seeds)).await;
    for data_centre in ["rosario", "mendoza", "sanjuan"] {
        common::until_serving(&[&a, &b, &c], data_centre, 1).await;
    }
    let patch = config::Patch {
        id: "only-andes".to_string(),
        base: 2,
        merge: json!({"policies": {"log": {"regions": ["andes"]}}}),
    };
    let submitted = a.engine().submit(patch, "test".to_string()).await;
    assert_eq!(submitted, propagation::SubmitResult::Accepted(3));
    let mut outcomes = collections::BTreeMap::<_, usize>::new();
    for _ in 0..ROUNDS {
        let served = send_steadily(&world, &a).await;
        for (outcome, region) in &served {
            *outcomes
                .entry((outcome.clone(), region.clone()))
                .or_default() += 1;
        }
        if served.iter().all(|(_, region)| region == "andes") {
            break;
        }
    }
    let done = |region: &str| ("done".to_string(), region.to_string());
    assert!(outcomes.contains_key(&done("centro")), "{outcomes:?}");
    assert!(outcomes[&done("andes")] >= REQUESTS, "{outcomes:?}");
    assert_eq!(outcomes.len(), 2, "{outcomes:?}");
}
