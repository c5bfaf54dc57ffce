//! The administration API of a running host, by its tokens.

mod common;

use std::net;

use http_body_util::Full;
use rstest::rstest;
use serde_json::{Value, json};
use sha2::Digest;
use yuccatide_node::daemon;
use yuccatide_steering::{config, lookup};

fn hash(token: &str) -> String {
    let digest = sha2::Sha256::digest(token);
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// One host; the token of each team is the team's name.
async fn start() -> (common::World, daemon::Daemon) {
    let mut world = common::world("camara", 1).await;
    for (team, t) in &mut world.doc.teams {
        t.tokens = vec![config::Token {
            name: "ana".to_string(),
            sha256: hash(team),
        }];
    }
    let stored = serde_json::to_vec(&config::StoredConfig::new(world.doc.clone())).unwrap();
    world.platform.put("config", "camara", stored);
    let host = common::start(common::settings(&world, "r1", "rosario", &[])).await;
    (world, host)
}

async fn patch(host: net::SocketAddr, token: &str, base: u64, merge: Value) -> (u16, Value) {
    let patch = json!({"id": format!("{token}-{base}"), "base": base, "merge": merge});
    let req = http::Request::post(format!("http://{host}/v1/admin/patch"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::from(patch.to_string()))
        .unwrap();
    let reply = common::send(req).await;
    (
        reply.status.as_u16(),
        serde_json::from_slice(&reply.body).unwrap(),
    )
}

#[rstest]
#[case::wrong_token("nobody", 1, json!({"drains": {}}), 401)]
#[case::other_team("log", 1, json!({"policies": {"register": {"regions": []}}}), 403)]
#[case::administrators_field("log", 1, json!({"shift": {"share": 1.0}}), 403)]
#[case::oversized("operations", 1, json!({"drains": {"x".repeat(300_000): null}}), 413)]
#[case::broken_rule("operations", 1, json!({"shift": {"share": 3.0}}), 422)]
#[case::outdated("operations", 0, json!({"drains": {}}), 409)]
#[case::version_that_the_host_does_not_know("operations", 9, json!({"drains": {}}), 409)]
#[tokio::test]
async fn refused_patch_changes_nothing(
    #[case] token: &str,
    #[case] base: u64,
    #[case] merge: Value,
    #[case] status: u16,
) {
    let (world, host) = start().await;
    let before = world.platform.get("config", "camara");
    let answer = patch(host.admin(), token, base, merge).await;
    assert_eq!(answer.0, status, "{}", answer.1);
    assert_eq!(world.platform.get("config", "camara"), before);
    assert_eq!(host.engine().document().unwrap().version, 1);
}

#[tokio::test]
async fn replayed_patch_is_accepted_once() {
    let (world, host) = start().await;
    let merge = json!({"policies": {"log": {"regions": ["andes"]}}});
    let first = patch(host.admin(), "log", 1, merge.clone()).await;
    assert_eq!(first, (200, json!({"version": 2})));
    patch(host.admin(), "log", 1, merge).await;
    let stored = world.platform.get("config", "camara").unwrap();
    let stored: config::StoredConfig = serde_json::from_slice(&stored.body).unwrap();
    assert_eq!((stored.document.version, stored.changes.len()), (2, 1));
    assert_eq!(stored.changes[0].author, "log/ana");
}

#[rstest]
#[case::administrator("operations", true)]
#[case::other_team("log", false)]
#[case::nobody("", false)]
#[tokio::test]
async fn only_an_administrator_sees_hashes(#[case] token: &str, #[case] shown: bool) {
    let (_world, host) = start().await;
    let req = http::Request::get(format!("http://{}/v1/admin/config", host.admin()))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::default())
        .unwrap();
    let body = common::send(req).await.body;
    let text = String::from_utf8(body.to_vec()).unwrap();
    assert_eq!(text.contains(&hash("registry")), shown);
}

async fn store(host: net::SocketAddr, token: &str, name: &str, bytes: Vec<u8>) -> u16 {
    let req = http::Request::put(format!("http://{host}/v1/admin/blocks/{name}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::from(bytes))
        .unwrap();
    common::send(req).await.status.as_u16()
}

#[tokio::test]
async fn chunk_is_stored_by_an_administrator_under_its_hash() {
    let (world, host) = start().await;
    let blocks = vec![lookup::Block {
        net: "192.0.2.0/24".parse().unwrap(),
        site: "mendoza".to_string(),
    }];
    let chunk = lookup::encode(blocks).unwrap().remove(0);
    let name = &chunk.entry.sha256;
    assert_eq!(
        store(host.admin(), "log", name, chunk.bytes.clone()).await,
        403
    );
    assert_eq!(
        store(host.admin(), "operations", name, b"other".to_vec()).await,
        422
    );
    assert_eq!(world.platform.get("blocks", name), None);
    world.platform.lose_answers(1);
    for _ in 0..2 {
        assert_eq!(
            store(host.admin(), "operations", name, chunk.bytes.clone()).await,
            200
        );
    }
    assert_eq!(
        world.platform.get("blocks", name).unwrap().body,
        chunk.bytes
    );
}

#[rstest]
#[case::unknown_work("nothing", 404)]
#[case::key_missing("certificate", 400)]
#[tokio::test]
async fn refused_request_keeps_its_id(#[case] work: &str, #[case] status: u16) {
    let (_world, host) = start().await;
    let req = http::Request::post(format!("http://{}/v1/run/{work}/x", host.callers()))
        .header("x-yuccatide-request-id", "mine")
        .body(Full::default())
        .unwrap();
    let reply = common::send(req).await;
    assert_eq!(reply.status.as_u16(), status);
    assert_eq!(reply.header("x-yuccatide-outcome"), "not-run");
    assert_eq!(reply.header("x-yuccatide-request-id"), "mine");
}
