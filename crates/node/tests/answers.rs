//! Answers of backend servers that are not the whole answer to their own request.

mod common;

use http_body_util::Full;
use rstest::rstest;
use yuccatide_standins::backend;

const ALL: u32 = 1;

#[rstest]
#[case::crossed(backend::Backend::cross_answers)]
#[case::truncated(backend::Backend::truncate_answers)]
#[case::lost(backend::Backend::lose_answers)]
#[case::invalid_status(backend::Backend::invalidate_statuses)]
#[tokio::test]
async fn wrong_answer_is_dropped(#[case] fault: fn(&backend::Backend, u32)) {
    let world = common::world("camara", 1).await;
    let host = common::start(common::settings(&world, "a", "rosario", &[])).await;
    let reply = common::get(host.callers(), "/v1/lookup?work=certificate").await;
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    let prefix = answer["hosts"][0]["key_prefix"].as_str().unwrap();
    let send = |token: &str| {
        let req = http::Request::post(format!("http://{}/v1/run/certificate/x", host.callers()))
            .header("idempotency-key", format!("{prefix}{token}"))
            .body(Full::from(token.to_string()))
            .unwrap();
        common::send(req)
    };
    world.backends.iter().for_each(|(_, b)| fault(b, ALL));
    let reply = send("token-wrong").await;
    assert_eq!(reply.header("x-yuccatide-outcome"), "unknown");
    let reply = send("token-right").await;
    assert_eq!(reply.header("x-yuccatide-outcome"), "done");
    assert_eq!(reply.body, "/x\ntoken-right");
    let runs = world.backends.iter().flat_map(|(_, b)| b.runs());
    assert_eq!(runs.count(), 2);
}
