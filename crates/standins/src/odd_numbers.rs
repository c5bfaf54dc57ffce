//! Numbers that no sound writer leaves, for property tests of what decodes and uses them.

use proptest::{prelude::*, sample};

/// JSON numbers at and around the ends of the types that may hold them.
pub fn number() -> impl Strategy<Value = String> {
    const ENDS: &[&str] = &[
        "0",
        "-0.0",
        "5e-324",
        "1e-300",
        "1e-17",
        "0.1",
        "1",
        "-1",
        "4294967295",
        "4294967296",
        "9007199254740993",
        "9223372036854775807",
        "9223372036854775808",
        "-9223372036854775808",
        "18446742300424906970",
        "18446744073709521616",
        "18446744073709551615",
        "18446744073709551616",
        "1e20",
        "1.7e308",
        "1e308",
        "-1e308",
    ];
    prop_oneof![
        sample::select(ENDS).prop_map(str::to_string),
        any::<u64>().prop_map(|n| n.to_string()),
        (0_u32..64, -2_i128..3).prop_map(|(bits, n)| ((1_i128 << bits) + n).to_string()),
        any::<f64>().prop_map(|n| serde_json::json!(n).to_string()),
    ]
}

/// Pointers to the numbers in a value.
fn pointers(value: &serde_json::Value, at: &str) -> Vec<String> {
    match value {
        serde_json::Value::Number(_) => vec![at.to_string()],
        serde_json::Value::Object(members) => members
            .iter()
            .flat_map(|(name, member)| pointers(member, &format!("{at}/{name}")))
            .collect(),
        serde_json::Value::Array(items) => items
            .iter()
            .enumerate()
            .flat_map(|(i, item)| pointers(item, &format!("{at}/{i}")))
            .collect(),
        _ => Vec::new(),
    }
}

/// The value with some of its numbers replaced, as the text that a writer leaves.
pub fn with_numbers(value: serde_json::Value) -> impl Strategy<Value = String> {
    let places = pointers(&value, "");
    let replaced = prop::collection::vec((sample::select(places), number()), 1..4);
    replaced.prop_map(move |replaced| {
        let mut value = value.clone();
        for (i, (place, _)) in replaced.iter().enumerate() {
            *value.pointer_mut(place).unwrap() = serde_json::json!(format!("odd {i}"));
        }
        let texts = replaced.iter().enumerate();
        texts.fold(value.to_string(), |text, (i, (_, number))| {
            text.replace(&format!("\"odd {i}\""), number)
        })
    })
}
