//! The small copy of a deployment's configuration.

use std::{collections, net, time};

use anyhow::Context;
use sha2::Digest;
use yuccatide_standins::deployment;
use yuccatide_steering::{config, lookup, model};

/// Backend servers of each service in each data centre.
const SERVERS_PER_DATA_CENTRE: usize = 2;

/// Prefix length of the block of each data centre's callers.
const BLOCK_PREFIX: u8 = 16;
const LOOKUP_TTL: time::Duration = time::Duration::from_millis(500);
const SHIFT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest deadline, so that the demo does not wait for late work.
const LONGEST_DEADLINE: time::Duration = time::Duration::from_secs(5);
const SLOW_START: time::Duration = time::Duration::from_secs(1);

/// The configuration with fewer backend servers, short intervals and a token for each team.
pub fn document(name: &str) -> anyhow::Result<config::Document> {
    let mut doc = deployment::document(name).context("there is no such deployment")?;
    doc.servers = some(&doc);
    doc.lookup_ttl = LOOKUP_TTL;
    doc.shift.interval = SHIFT_INTERVAL;
    doc.policies
        .values_mut()
        .flat_map(|policy| &mut policy.shift)
        .for_each(|cap| cap.interval = SHIFT_INTERVAL);
    doc.services
        .values_mut()
        .for_each(|service| service.slow_start = SLOW_START);
    doc.work
        .values_mut()
        .for_each(|work| work.deadline = work.deadline.min(LONGEST_DEADLINE));
    for (team, t) in &mut doc.teams {
        t.tokens = vec![config::Token {
            name: "demo".to_string(),
            sha256: sha256(&token(team)),
        }];
    }
    Ok(doc)
}

/// Table of client blocks: the callers of each data centre belong to its site.
pub fn blocks(doc: &config::Document) -> anyhow::Result<Vec<lookup::EncodedChunk>> {
    let blocks = doc.data_centres().enumerate().map(|(i, dc)| {
        Ok(lookup::Block {
            net: ipnet::IpNet::new(client_address(i), BLOCK_PREFIX)?,
            site: dc.clone(),
        })
    });
    Ok(lookup::encode(blocks.collect::<anyhow::Result<_>>()?)?)
}

/// Token of a team in the demo.
pub fn token(team: &str) -> String {
    format!("demo-token-of-{team}")
}

/// Address from which callers of the data centre with this number connect.
pub fn client_address(data_centre: usize) -> net::IpAddr {
    net::Ipv4Addr::new(127, 10 + data_centre as u8, 0, 1).into()
}

fn sha256(text: &str) -> String {
    let hash = sha2::Sha256::digest(text);
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn some(doc: &config::Document) -> collections::BTreeMap<model::ServerId, config::Server> {
    let mut count = collections::BTreeMap::<_, usize>::new();
    doc.servers
        .iter()
        .filter(|(_, server)| {
            let key = (server.service.clone(), server.data_centre.clone());
            let count = count.entry(key).or_default();
            *count += 1;
            *count <= SERVERS_PER_DATA_CENTRE
        })
        .map(|(id, server)| (id.clone(), server.clone()))
        .collect()
}
