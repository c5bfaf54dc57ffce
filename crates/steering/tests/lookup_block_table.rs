//! Table of client address blocks.

use std::{collections, net};

use ipnet::IpNet;
use proptest::{prelude::*, test_runner};
use rstest::rstest;
use yuccatide_steering::{config, lookup};

fn block(net: &str, site: &str) -> lookup::Block {
    lookup::Block {
        net: net.parse().unwrap(),
        site: site.to_string(),
    }
}

fn table(blocks: Vec<lookup::Block>) -> lookup::BlockTable {
    let mut loader = lookup::Loader::default();
    let chunks = lookup::encode(blocks).unwrap();
    loader.set_expected(&entries(&chunks));
    for chunk in chunks {
        loader.insert(&chunk.entry.sha256, chunk.bytes).unwrap();
    }
    loader.table().unwrap().unwrap()
}

fn entries(chunks: &[lookup::EncodedChunk]) -> Vec<config::BlockChunk> {
    chunks.iter().map(|c| c.entry.clone()).collect()
}

/// `count` /24 blocks that are not adjacent to each other.
fn separate_blocks(count: u32) -> Vec<lookup::Block> {
    (0..count)
        .map(|i| lookup::Block {
            net: IpNet::new(net::Ipv4Addr::from_bits(i << 9).into(), 24).unwrap(),
            site: format!("site-{}", i % 83),
        })
        .collect()
}

#[rstest]
#[case("10.1.2.3", Some("inner"))]
#[case("10.1.3.3", Some("outer"))]
#[case("10.2.0.0", None)]
#[case("9.255.255.255", None)]
#[case("255.255.255.255", Some("last"))]
#[case("::ffff:10.1.2.3", Some("inner"))]
#[case("2001:db8:1:2::9", Some("v6-inner"))]
#[case("2001:db8:1:3::9", Some("v6-outer"))]
#[case("2001:db9::", None)]
fn longest_block_wins(#[case] client: &str, #[case] site: Option<&str>) {
    let table = table(vec![
        block("10.1.0.0/16", "outer"),
        block("10.1.2.0/24", "inner"),
        block("255.255.255.255/32", "last"),
        block("2001:db8::/32", "v6-outer"),
        block("2001:db8:1:2::/64", "v6-inner"),
    ]);
    let found = table.find(client.parse().unwrap());
    assert_eq!(found.map(|m| m.site.as_str()), site);
}

#[rstest]
fn adjacent_blocks_of_one_site_have_different_keys() {
    let table = table(vec![block("10.0.0.0/24", "a"), block("10.0.1.0/24", "a")]);
    let key = |client: &str| table.find(client.parse().unwrap()).unwrap().key;
    assert_eq!(key("10.0.0.1"), key("10.0.0.200"));
    assert_ne!(key("10.0.0.1"), key("10.0.1.1"));
}

#[rstest]
fn invalid_blocks_are_rejected() {
    let twice = vec![block("10.0.0.0/24", "a"), block("10.0.0.7/24", "b")];
    let net = "10.0.0.0/24".parse().unwrap();
    assert_eq!(
        lookup::encode(twice),
        Err(lookup::ChunkError::Duplicate(net))
    );
    let long = vec![block("2001:db8::/65", "a")];
    let net = "2001:db8::/65".parse().unwrap();
    assert_eq!(
        lookup::encode(long),
        Err(lookup::ChunkError::PrefixTooLong(net))
    );
}

#[rstest]
fn corrupt_chunks_are_rejected_and_unlisted_ones_dropped() {
    let chunk = lookup::encode(separate_blocks(10)).unwrap().remove(0);
    let mut bytes = chunk.bytes.clone();
    bytes[5] ^= 1;
    let hash = chunk.entry.sha256.clone();
    let mut loader = lookup::Loader::default();
    let missing = loader.set_expected(std::slice::from_ref(&chunk.entry));
    assert_eq!(missing, std::slice::from_ref(&hash));
    let result = loader.insert(&hash, bytes);
    assert_eq!(result, Err(lookup::ChunkError::HashMismatch(hash.clone())));
    assert!(loader.table().is_none());
    loader.insert(&hash, chunk.bytes).unwrap();
    assert_eq!(loader.table().unwrap().unwrap().block_count(), 10);
    assert!(loader.set_expected(&[]).is_empty());
    assert!(loader.bytes(&hash).is_none());
}

#[rstest]
fn one_changed_block_changes_few_chunks() {
    let before = lookup::encode(separate_blocks(50_000)).unwrap();
    let mut blocks = separate_blocks(50_000);
    blocks[20_000].site = "elsewhere".to_string();
    blocks.remove(30_000);
    let after = lookup::encode(blocks).unwrap();
    let hashes = |chunks: &[lookup::EncodedChunk]| {
        let hashes = chunks.iter().map(|c| c.entry.sha256.clone());
        hashes.collect::<collections::BTreeSet<_>>()
    };
    assert!(hashes(&after).difference(&hashes(&before)).count() <= 4);
    assert!(before.len() > 10);
}

#[rstest]
#[case::v4(separate_blocks(280_000))]
#[case::v6((0..280_000_u128).map(|i| lookup::Block {
    net: IpNet::new(net::Ipv6Addr::from_bits((0x2001 << 112) | (i << 73)).into(), 56).unwrap(),
    site: format!("site-{}", i % 83),
}).collect())]
fn memory_of_280_000_blocks_is_at_most_8_megabytes(#[case] blocks: Vec<lookup::Block>) {
    let table = table(blocks);
    assert_eq!(table.block_count(), 280_000);
    assert!(
        table.memory_bytes() <= 8_000_000,
        "{}",
        table.memory_bytes()
    );
}

/// Nested blocks within 10.0.0.0/16 and 2001:db8::/48.
fn blocks() -> impl Strategy<Value = Vec<lookup::Block>> {
    let v4 = (any::<u16>(), 12..=32_u8).prop_map(|(low, prefix)| {
        IpNet::new(
            net::Ipv4Addr::from_bits(0x0a00_0000 | u32::from(low)).into(),
            prefix,
        )
    });
    let v6 = (any::<u16>(), 44..=64_u8).prop_map(|(low, prefix)| {
        let bits = (0x2001_0db8_u128 << 96) | (u128::from(low) << 64);
        IpNet::new(net::Ipv6Addr::from_bits(bits).into(), prefix)
    });
    let net = prop_oneof![v4, v6].prop_map(|net| net.unwrap().trunc());
    let blocks = proptest::collection::btree_map(net, 0..5_u8, 0..60);
    blocks.prop_map(|blocks| {
        let block = |(net, site)| lookup::Block {
            net,
            site: format!("site-{site}"),
        };
        blocks.into_iter().map(block).collect()
    })
}

fn client() -> impl Strategy<Value = net::IpAddr> {
    let v4 =
        any::<u32>().prop_map(|a| net::Ipv4Addr::from_bits(0x0a00_0000 | (a & 0xf_ffff)).into());
    let v6 = any::<u32>().prop_map(|a| {
        let bits = (0x2001_0db8_u128 << 96) | (u128::from(a & 0x3_ffff) << 64) | 7;
        net::Ipv6Addr::from_bits(bits).into()
    });
    prop_oneof![v4, v6]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: test_runner::RngSeed::Fixed(0x6c_6f_6f_6b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_linear_search(
        blocks in blocks(),
        clients in proptest::collection::vec(client(), 1..50),
    ) {
        let table = table(blocks.clone());
        for client in clients {
            let longest = blocks
                .iter()
                .filter(|b| b.net.contains(&client))
                .max_by_key(|b| b.net.prefix_len());
            let found = table.find(client).map(|m| m.site);
            prop_assert_eq!(found, longest.map(|b| &b.site));
        }
    }
}
