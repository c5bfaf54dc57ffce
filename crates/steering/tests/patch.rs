//! Patches to versions of the configuration document.

use rstest::{fixture, rstest};
use serde_json::json;
use yuccatide_steering::config;

#[fixture]
fn doc() -> config::Document {
    let text = include_str!("../../../deployments/camara/config.json");
    config::Document::from_json(text).unwrap()
}

fn patch(base: u64, merge: serde_json::Value) -> config::Patch {
    config::Patch {
        id: "p-1".to_string(),
        base,
        merge,
    }
}

#[rstest]
fn patch_results_in_the_next_version(doc: config::Document) {
    let next = patch(1, json!({"shift": {"share": 0.1}}))
        .apply(&doc)
        .unwrap();
    assert_eq!(next.version, 2);
    assert_eq!(next.shift.share, 0.1);
    assert_eq!(next.shift.interval, doc.shift.interval);
}

#[rstest]
fn outdated_patch_is_rejected(doc: config::Document) {
    let e = patch(0, json!({})).apply(&doc).unwrap_err();
    assert_eq!(
        e,
        config::PatchError::Outdated {
            base: 0,
            current: 1
        }
    );
}

#[rstest]
#[case(json!({"version": 9}), "version: a patch may not change this field")]
#[case(json!({"shift": {"share": 2.0}}), "shift.share: must be from 0 to 1")]
#[case(json!({"shift": {"colour": 2}}), "shift.colour: unknown field")]
#[case(json!({"work": {"batch": {"service": "x"}}}), "work.batch.service: there is no service x")]
fn rejection_of_an_invalid_result_names_the_field(
    doc: config::Document,
    #[case] merge: serde_json::Value,
    #[case] expected: &str,
) {
    let message = patch(1, merge).apply(&doc).unwrap_err().to_string();
    assert!(message.contains(expected), "{message}");
}
