//! Where the requests of a client's connection end, and how many are started ahead of their turn.

use proptest::prelude::*;
use yuccatide_node::gateway::{AheadLimit, Found, Head, HeadFinder, request_parts};

/// Requests that a client may send, with bodies of known length.
fn request() -> impl Strategy<Value = String> {
    let lines = prop::collection::vec(
        prop_oneof![
            "X-[a-z]{1,8}: [ -~]{0,20}",
            Just("Connection: keep-alive".to_string()),
            Just("Connection: x, CLOSE".to_string()),
        ],
        0..4,
    );
    let ends = prop_oneof![Just("\r\n"), Just("\n")];
    let parts = (
        "(\r\n){0,2}",
        "GET|POST",
        "/[a-z0-9/?=]{0,20}",
        lines,
        "[a-z\r\n]{0,9}",
        ends,
    );
    parts.prop_map(|(blank, method, path, lines, body, end)| {
        let lines: String = lines.iter().map(|line| format!("{line}{end}")).collect();
        let length = match body.len() {
            0 => String::new(),
            length => format!("content-LENGTH: {length}{end}"),
        };
        format!("{blank}{method} {path} HTTP/1.1{end}Host: a{end}{lines}{length}{end}{body}")
    })
}

/// Starts and framing of the requests in `bytes`, as the library reads them from the whole.
fn requests_of_the_whole(bytes: &[u8]) -> Vec<(usize, String)> {
    let mut requests = Vec::new();
    let mut start = 0;
    while start < bytes.len() {
        let mut headers = [httparse::EMPTY_HEADER; 100];
        let mut req = httparse::Request::new(&mut headers);
        let length = req.parse(&bytes[start..]).unwrap().unwrap();
        let text = |value: &[u8]| String::from_utf8(value.to_vec()).unwrap();
        let body: usize = req
            .headers
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case("Content-Length"))
            .map_or(0, |line| text(line.value).parse().unwrap());
        requests.push((start, req.path.unwrap().to_string()));
        start += length + body;
    }
    requests
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that is read in two ways, by how the network cuts it.
    #[test]
    fn any_split_gives_the_requests_of_the_whole(
        requests in prop::collection::vec(request(), 1..5),
        cuts in prop::collection::vec(1..40usize, 1..60),
    ) {
        let bytes = requests.concat().into_bytes();
        let mut cuts = cuts.into_iter().cycle();
        let (mut start, mut end, mut found) = (0, 0, Vec::new());
        let mut finder = HeadFinder::default();
        while end < bytes.len() || start < end {
            match finder.find(&bytes[start..end]) {
                Found::Head(head) => {
                    let parts = request_parts(&bytes[start..][..head.length]).unwrap();
                    found.push((start, parts.uri.to_string()));
                    start += head.length + head.body_length as usize;
                    end = end.max(start);
                    finder = HeadFinder::default();
                }
                Found::Incomplete => {
                    prop_assert!(end < bytes.len(), "no end found");
                    end = (end + cuts.next().unwrap()).min(bytes.len());
                }
                Found::Unknown => prop_assert!(false, "unknown"),
            }
        }
        prop_assert_eq!(found, requests_of_the_whole(&bytes));
    }

    /// Guards against bytes of clients that end a host.
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut finder = HeadFinder::default();
        finder.find(&bytes[..bytes.len() / 2]);
        if let Found::Head(head) = finder.find(&bytes) {
            prop_assert!(head.length <= bytes.len());
        }
    }
}

/// Guards against a body that is taken for the next request.
#[test]
fn a_request_whose_end_is_not_known_is_unknown() {
    for line in [
        "Transfer-Encoding: chunked",
        "Content-Length: 1, 1",
        "Content-Length: +1",
        "Content-Length: 1\r\nContent-Length: 1",
        "Content-Length: 99999999999999999999",
        "Upgrade: h2c",
        "No colon",
    ] {
        let bytes = format!("POST /a HTTP/1.1\r\n{line}\r\n\r\n");
        assert_eq!(
            HeadFinder::default().find(bytes.as_bytes()),
            Found::Unknown,
            "{line}"
        );
    }
    let connect = b"CONNECT a:1 HTTP/1.1\r\n\r\n";
    assert_eq!(HeadFinder::default().find(connect), Found::Unknown);
    let old = b"GET /a HTTP/1.0\r\n\r\n";
    let expected = Head {
        length: old.len(),
        body_length: 0,
        is_barrier: true,
    };
    assert_eq!(HeadFinder::default().find(old), Found::Head(expected));
}

/// Answers clients that send without end: what is held for one connection is bounded.
#[test]
fn requests_ahead_are_bounded_by_number_and_by_bytes() {
    let limit = AheadLimit {
        requests: 3,
        bytes: 100,
    };
    assert!(limit.admits([10, 10].into_iter(), 80));
    assert!(!limit.admits([10, 10].into_iter(), 81));
    assert!(!limit.admits([1, 1, 1].into_iter(), 1));
    assert!(limit.admits([].into_iter(), 100));
}
