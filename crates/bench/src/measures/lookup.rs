//! Memory and cost of look-ups at the design size.

use std::{collections, hint, net, time};

use ipnet::IpNet;
use rand::{Rng, SeedableRng};
use yuccatide_standins::fleet;
use yuccatide_steering::{lookup, membership, model};

use crate::{control, figure};

const NAME: &str = "lookup";
const BLOCKS: u32 = 280_000;
const LOOKUPS: usize = 1_000_000;
/// Memory of the table in bytes.
const MEMORY: f64 = 8_000_000.0;

/// The measure.
pub const MEASURE: super::Measure = super::Measure {
    name: NAME,
    about: "table of 280,000 client blocks: memory, load, look-ups against a hash map",
    run,
};

fn run(seed: u64) -> Vec<figure::Figure> {
    let blocks = blocks(seed);
    let chunks = lookup::encode(blocks.clone()).expect("the blocks are valid");
    let decode = || {
        let chunks = chunks
            .iter()
            .map(|c| lookup::Chunk::decode(&c.bytes, &c.entry.sha256))
            .collect::<Result<Vec<_>, _>>();
        lookup::BlockTable::new(&chunks.expect("the chunks are valid")).expect("the table is valid")
    };
    let began = time::Instant::now();
    let table = decode();
    let load = began.elapsed();
    let bytes = chunks.iter().map(|c| c.bytes.len());
    let mut figures = vec![
        figure::Figure::new(NAME, "table.memory", table.memory_bytes() as f64, "byte")
            .with_bound(figure::Bound::AtMost(MEMORY)),
        figure::Figure::new(NAME, "table.chunks", chunks.len() as f64, "chunk"),
        figure::Figure::new(
            NAME,
            "table.chunk-bytes",
            bytes.sum::<usize>() as f64,
            "byte",
        ),
        figure::Figure::new(NAME, "table.load", load.as_secs_f64() * 1e3, "ms"),
    ];
    figures.extend(cost(&blocks, &table, seed));
    figures
}

/// Blocks of /20 to /24, some of them within others, for 83 sites.
fn blocks(seed: u64) -> Vec<lookup::Block> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut nets = collections::BTreeMap::new();
    while nets.len() < BLOCKS as usize {
        let address = net::Ipv4Addr::from_bits(rng.random());
        let prefix = rng.random_range(20..=24);
        let net = IpNet::new(address.into(), prefix).expect("the prefix is valid");
        nets.insert(net.trunc(), rng.random_range(0..83));
    }
    let named = |(net, site)| lookup::Block {
        net,
        site: format!("site-{site}"),
    };
    nets.into_iter().map(named).collect()
}

/// Nanoseconds of a table look-up, a whole answer, and a plain hash map by /24.
fn cost(blocks: &[lookup::Block], table: &lookup::BlockTable, seed: u64) -> Vec<figure::Figure> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let clients = (0..LOOKUPS)
        .map(|_| blocks[rng.random_range(0..blocks.len())].net.network())
        .collect::<Vec<_>>();
    let map = blocks
        .iter()
        .map(|b| (b.net.network(), b.site.clone()))
        .collect::<collections::HashMap<net::IpAddr, model::SiteId>>();
    let plain = nanoseconds(&clients, |client| map.get(&client).map(String::len));
    let found = nanoseconds(&clients, |client| table.find(client).map(|m| m.site.len()));
    let doc = control::document();
    let directory = directory();
    let answered = nanoseconds(&clients, |client| {
        let answer = lookup::respond(Some(&doc), table, &directory, client, "history");
        answer.map(|a| a.hosts.len()).ok()
    });
    vec![
        figure::Figure::new(NAME, "decision.find", found, "ns").with_baseline(plain),
        figure::Figure::new(NAME, "decision.find-ratio", found / plain, "ratio"),
        figure::Figure::new(NAME, "decision.answer", answered, "ns").with_baseline(plain),
        figure::Figure::new(NAME, "decision.answer-ratio", answered / plain, "ratio"),
    ]
}

fn nanoseconds(clients: &[net::IpAddr], find: impl Fn(net::IpAddr) -> Option<usize>) -> f64 {
    let began = time::Instant::now();
    for client in clients {
        hint::black_box(find(hint::black_box(*client)));
    }
    began.elapsed().as_nanos() as f64 / clients.len() as f64
}

/// 67 hosts in each of 10 data centres.
fn directory() -> lookup::HostDirectory {
    let members = (0..10).flat_map(|dc| {
        (0..control::HOSTS_PER_DATA_CENTRE).map(move |i| membership::Member {
            host: format!("host-{dc}-{i}"),
            incarnation: 1,
            data_centre: fleet::data_centre_name(dc),
            address: net::SocketAddr::from(([10, dc as u8, 0, i as u8], 80)),
            peer_address: net::SocketAddr::from(([10, dc as u8, 0, i as u8], 81)),
            state: membership::State::Alive,
            config_version: 1,
            attributes: membership::Attributes {
                ready: true,
                ..membership::Attributes::default()
            },
        })
    });
    lookup::HostDirectory::new(members, |_| false)
}
