//! Text form of keys and witness selection.

use rstest::rstest;
use yuccatide_steering::{dedup, model};

use super::net;

#[rstest]
#[case("h1~17~1700000000000~token-01")]
#[case("h1~17~1700000000000~h2~18~token-01")]
fn text_form_round_trips(#[case] text: &str) {
    let key = text.parse::<model::IdempotencyKey>().unwrap();
    assert_eq!(key.to_string(), text);
}

#[rstest]
#[case("h1~17~token-01", model::KeyError::Malformed)]
#[case("~17~1700000000000~token-01", model::KeyError::Malformed)]
#[case("h1~x~1700000000000~token-01", model::KeyError::InvalidNumber)]
#[case("h1~17~soon~token-01", model::KeyError::InvalidNumber)]
#[case("h1~17~1700000000000~h1~18~token-01", model::KeyError::WitnessIsHome)]
#[case("h1~17~1700000000000~short", model::KeyError::InvalidToken)]
#[case("h1~17~1700000000000~white space", model::KeyError::InvalidToken)]
fn invalid_text_is_rejected(#[case] text: &str, #[case] expected: model::KeyError) {
    assert_eq!(text.parse::<model::IdempotencyKey>(), Err(expected));
}

#[rstest]
fn witness_is_in_region_and_not_leaving() {
    let doc = net::document();
    let home = net::peer("h1", 1);
    let at = |host: &str, data_centre: &str, leaving| dedup::Peer {
        data_centre: data_centre.to_string(),
        leaving,
        ..net::peer(host, 1)
    };
    let pick = |peers: &[dedup::Peer]| {
        dedup::select_witness(&doc, &home, peers.iter()).map(|process| process.host)
    };
    let other_region = at("h2", "mendoza", false);
    let same_region = at("h3", "cordoba", false);
    let same_data_centre = at("h4", "rosario", false);
    let leaving = at("h5", "rosario", true);
    assert_eq!(
        pick(&[home.clone(), other_region.clone(), leaving.clone()]),
        None
    );
    assert_eq!(
        pick(&[leaving.clone(), same_region.clone()]),
        Some("h3".to_string())
    );
    assert_eq!(
        pick(&[other_region, same_region, same_data_centre, leaving]),
        Some("h4".to_string())
    );
}
