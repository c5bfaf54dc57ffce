//! Planned stops of hosts.

mod common;

use std::{net, sync, time};

use http_body_util::Full;
use yuccatide_node::daemon;
use yuccatide_steering::config;

/// Callers at once, several times the slots and queues of the backend servers.
const FLOOD_CALLERS: usize = 400;

/// A deployment whose look-ups are cached for a short time.
async fn world() -> common::World {
    let mut world = common::world("camara", 2).await;
    world.doc.lookup_ttl = time::Duration::from_millis(500);
    world.doc.version = 2;
    let stored = config::StoredConfig::new(world.doc.clone());
    let json = serde_json::to_vec(&stored).unwrap();
    world.platform.put("config", "camara", json);
    for (_, backend) in &world.backends {
        backend.set_service_time(time::Duration::from_millis(30));
    }
    world
}

/// Hosts that a look-up names.
async fn looked_up(host: net::SocketAddr) -> Vec<(net::SocketAddr, String)> {
    let reply = common::get(host, "/v1/lookup?work=certificate").await;
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    let hosts = answer["hosts"].as_array().unwrap().iter();
    hosts
        .map(|h| {
            let address = h["address"].as_str().unwrap().parse().unwrap();
            (address, h["key_prefix"].as_str().unwrap().to_string())
        })
        .collect()
}

/// Sends keyed requests to the hosts that look-ups of `first` name, each look-up used for one
/// time to live, until told to end.  Returns the outcomes.
async fn call(
    first: net::SocketAddr,
    work: &'static str,
    caller: usize,
    end: sync::Arc<tokio::sync::Notify>,
) -> Vec<String> {
    let mut outcomes = Vec::new();
    let mut count = 0;
    let mut ended = std::pin::pin!(end.notified());
    loop {
        let hosts = looked_up(first).await;
        let until = time::Instant::now() + time::Duration::from_millis(400);
        while time::Instant::now() < until {
            let (address, prefix) = &hosts[count % hosts.len()];
            count += 1;
            let req = http::Request::post(format!("http://{address}/v1/run/{work}/x"))
                .header(
                    "idempotency-key",
                    format!("{prefix}caller{caller:03}-{count:06}"),
                )
                .body(Full::from("lamp"))
                .unwrap();
            let reply = common::send(req).await;
            let outcome = reply.header("x-yuccatide-outcome");
            let reason = reply.header("x-yuccatide-reason");
            outcomes.push(format!("{outcome}{reason}"));
        }
        let now = futures::poll!(ended.as_mut());
        if now.is_ready() {
            return outcomes;
        }
    }
}

/// Stops hosts while callers send; returns the outcomes and the number of runs.
async fn stop_some(
    stay: daemon::Daemon,
    stop: Vec<daemon::Daemon>,
    world: common::World,
    work: &'static str,
    callers: usize,
) -> (Vec<String>, usize) {
    let end = sync::Arc::new(tokio::sync::Notify::new());
    let callers = (0..callers)
        .map(|i| tokio::spawn(call(stay.callers(), work, i, sync::Arc::clone(&end))))
        .collect::<Vec<_>>();
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    let stopped = stop.into_iter().map(|daemon| daemon.stop());
    let stopped = futures::future::join_all(stopped);
    tokio::time::timeout(common::WAIT, stopped).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    end.notify_waiters();
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.await.unwrap());
    }
    let runs = world.backends.iter().map(|(_, b)| b.runs().len());
    (outcomes, runs.sum())
}

/// Asserts that every request was done.
fn assert_all_done((outcomes, runs): (Vec<String>, usize)) {
    let not_done = outcomes.iter().filter(|o| *o != "done").collect::<Vec<_>>();
    assert!(not_done.is_empty(), "{not_done:?} of {}", outcomes.len());
    assert_eq!(runs, outcomes.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_host_stops_without_cutting_off() {
    let world = world().await;
    let a = common::start(common::settings(&world, "a", "rosario", &[])).await;
    let b = common::start(common::settings(&world, "b", "rosario", &[a.peers()])).await;
    common::until_serving(&[&a, &b], "rosario", 2).await;
    assert_all_done(stop_some(a, vec![b], world, "certificate", 6).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hosts_stop_at_once_without_cutting_off() {
    let world = world().await;
    let a = common::start(common::settings(&world, "a", "rosario", &[])).await;
    let seeds = [a.peers()];
    let b = common::start(common::settings(&world, "b", "rosario", &seeds)).await;
    let c = common::start(common::settings(&world, "c", "rosario", &seeds)).await;
    common::until_serving(&[&a, &b, &c], "rosario", 3).await;
    assert_all_done(stop_some(a, vec![b, c], world, "certificate", 6).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_stops_in_a_flood_without_cutting_off() {
    let world = world().await;
    let a = common::start(common::settings(&world, "a", "rosario", &[])).await;
    let b = common::start(common::settings(&world, "b", "rosario", &[a.peers()])).await;
    common::until_serving(&[&a, &b], "rosario", 2).await;
    let (outcomes, runs) = stop_some(a, vec![b], world, "batch", FLOOD_CALLERS).await;
    let done = outcomes.iter().filter(|o| *o == "done").count();
    let refused = outcomes.iter().filter(|o| o.starts_with("not-run")).count();
    assert!(refused > 0, "there was no flood");
    assert_eq!(done + refused, outcomes.len(), "{outcomes:?}");
    assert_eq!(runs, done);
}
