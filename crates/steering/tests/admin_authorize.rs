//! Authorization of patches by token.

use std::sync;

use proptest::{prelude::*, test_runner};
use rstest::{fixture, rstest};
use serde_json::{Value, json};
use sha2::Digest;
use yuccatide_steering::{admin, config};

static DOC: sync::LazyLock<config::Document> = sync::LazyLock::new(read_document);

#[fixture]
fn doc() -> config::Document {
    DOC.clone()
}

fn read_document() -> config::Document {
    let text = include_str!("../../../deployments/camara/config.json");
    let mut doc = config::Document::from_json(text).unwrap();
    for (team, t) in &mut doc.teams {
        let digest = sha2::Sha256::digest(token(team));
        t.tokens = vec![config::Token {
            name: format!("{team}-1"),
            sha256: digest.iter().map(|b| format!("{b:02x}")).collect(),
        }];
    }
    assert_eq!(config::check(&doc), []);
    doc
}

fn token(team: &str) -> String {
    format!("token-of-{team}")
}

fn patch(merge: Value) -> config::Patch {
    config::Patch {
        id: "p-1".to_string(),
        base: 1,
        merge,
    }
}

#[rstest]
fn administrator_may_change_everything(doc: config::Document) {
    let patch = patch(json!({"work": {"batch": {"rank": "normal"}}, "blocks": []}));
    let author = admin::authorize(&doc, &token("operations"), &patch).unwrap();
    assert_eq!(author.to_string(), "operations/operations-1");
}

#[rstest]
#[case::regions(json!({"policies": {"log": {"regions": ["andes"]}}}))]
#[case::servers(json!({"policies": {"log": {"excluded_servers": ["log-01"]}}}))]
#[case::shift_cap(json!({"policies": {"log": {"shift": null}}}))]
#[case::drain(json!({"drains": {"d": {"target": {"server": "log-01"}}}}))]
#[case::drain_removal(json!({"drains": {"d": null}}))]
fn team_may_change_its_policy_and_drains(doc: config::Document, #[case] merge: Value) {
    let author = admin::authorize(&doc, &token("log"), &patch(merge)).unwrap();
    assert_eq!(author.team, "log");
}

#[rstest]
#[case::other_team(json!({"policies": {"register": {"regions": []}}}),
    "policies.register: the policy belongs to team registry, not to team log")]
#[case::change_of_owner(json!({"policies": {"log": {"team": "registry"}}}), "policies.log.team: only")]
#[case::more_work(json!({"policies": {"log": {"work": ["certificate"]}}}), "policies.log.work: only")]
#[case::removal(json!({"policies": {"log": null}}), "policies.log: only")]
#[case::creation(json!({"policies": {"new": {"team": "log", "work": []}}}), "policies.new: only")]
#[case::all_policies(json!({"policies": null}), "policies: only")]
#[case::all_drains(json!({"drains": null}), "drains: only")]
#[case::default_cap(json!({"shift": {"share": 1.0}}), "shift: only")]
#[case::own_token(json!({"teams": {"log": {"administrator": true}}}), "teams: only")]
#[case::whole_document(json!(null), "the document: only")]
#[case::mixed_with_allowed(json!({"drains": {}, "link": {"share": 1.0}}), "link: only")]
fn team_may_change_nothing_else(
    doc: config::Document,
    #[case] merge: Value,
    #[case] expected: &str,
) {
    let refusal = admin::authorize(&doc, &token("log"), &patch(merge)).unwrap_err();
    assert_eq!(refusal.status_code(), 403);
    assert!(refusal.to_string().starts_with(expected), "{refusal}");
}

#[rstest]
#[case("")]
#[case("token-of-nobody")]
#[case::hash_is_no_token("5f0e3b0d0f6a3d9f6ce9e5b4c2b3c4ad5f0e3b0d0f6a3d9f6ce9e5b4c2b3c4ad")]
fn unknown_token_is_rejected(doc: config::Document, #[case] token: &str) {
    let refusal = admin::authorize(&doc, token, &patch(json!({}))).unwrap_err();
    assert_eq!(refusal, admin::Refusal::UnknownToken);
    assert_eq!(refusal.status_code(), 401);
}

#[rstest]
fn empty_token_is_rejected_even_if_its_hash_is_stored(mut doc: config::Document) {
    let hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    doc.teams.get_mut("operations").unwrap().tokens[0].sha256 = hash.to_string();
    let refusal = admin::authenticate(&doc, "").unwrap_err();
    assert_eq!(refusal, admin::Refusal::UnknownToken);
}

#[rstest]
fn stored_hash_is_not_accepted_as_token(doc: config::Document) {
    let hash = &doc.teams["operations"].tokens[0].sha256;
    let refusal = admin::authenticate(&doc, hash).unwrap_err();
    assert_eq!(refusal, admin::Refusal::UnknownToken);
}

#[rstest]
fn oversized_patch_is_rejected(doc: config::Document) {
    let long = "x".repeat(admin::MAX_PATCH_BYTES);
    let patch = patch(json!({"drains": {long: null}}));
    let refusal = admin::authorize(&doc, &token("log"), &patch).unwrap_err();
    assert_eq!(refusal.status_code(), 413);
}

/// Sets some of the named fields, each to one of its values.
fn any_object(fields: Vec<(&'static str, Vec<Value>)>) -> impl Strategy<Value = Value> {
    let field = prop::sample::select(fields).prop_flat_map(|(name, values)| {
        prop::sample::select(values).prop_map(move |value| (name.to_string(), value))
    });
    prop::collection::vec(field, 0..3)
        .prop_map(|fields| Value::Object(fields.into_iter().collect()))
}

/// A change of a policy, mostly a valid one.
fn any_policy() -> impl Strategy<Value = Value> {
    let fields = any_object(vec![
        (
            "team",
            vec![json!("log"), json!("registry"), json!("operations")],
        ),
        (
            "work",
            vec![json!([]), json!(["batch"]), json!(["certificate"])],
        ),
        ("regions", vec![json!(["andes"]), json!([]), Value::Null]),
        ("excluded_servers", vec![json!(["log-01"]), Value::Null]),
        (
            "shift",
            vec![json!({"share": 0.5, "interval_ms": 1000}), Value::Null],
        ),
    ]);
    prop_oneof![9 => fields, 1 => Just(Value::Null)]
}

/// A change of the document, mostly a valid one.
fn any_merge() -> impl Strategy<Value = Value> {
    let policies = prop::collection::btree_map(
        prop::sample::select(vec!["log", "register", "new"]).prop_map(String::from),
        any_policy(),
        0..3,
    );
    let drain = json!({"d": {"target": {"server": "log-01"}}});
    let rest = any_object(vec![
        ("drains", vec![drain, json!({"d": null}), Value::Null]),
        ("policies", vec![Value::Null, json!({})]),
        ("shift", vec![json!({"share": 1.0})]),
        ("lookup_ttl_ms", vec![json!(1)]),
        ("work", vec![json!({"batch": {"rank": "urgent"}})]),
        ("servers", vec![json!({"log-01": null})]),
        ("teams", vec![json!({"log": {"administrator": true}})]),
    ]);
    (policies, rest, any::<bool>()).prop_map(|(policies, mut rest, set)| {
        if set {
            rest["policies"] = json!(policies);
        }
        rest
    })
}

/// The document without the fields that the team may change.
fn without_team_fields(mut doc: config::Document, team: &str) -> config::Document {
    doc.version = 0;
    doc.drains.clear();
    for policy in doc.policies.values_mut().filter(|p| p.team == team) {
        policy.regions.clear();
        policy.excluded_servers.clear();
        policy.shift = None;
    }
    doc
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2048,
        rng_seed: test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn team_changes_nothing_outside_its_policies_and_drains(
        merge in any_merge(),
        team in prop::sample::select(vec!["log", "registry"]),
    ) {
        let doc = doc();
        let patch = patch(merge);
        if admin::authorize(&doc, &token(team), &patch).is_ok()
            && let Ok(next) = patch.apply(&doc)
        {
            prop_assert_eq!(without_team_fields(next, team), without_team_fields(doc, team));
        }
    }
}
