//! Table of client address blocks.

use std::{collections, net};

use super::{chunk, ranges};
use crate::model;

/// Number of upper bits of an IPv4 address that select its index bucket.
const BUCKET_BITS: u32 = 16;

/// Maps each client address to the site of the longest block that contains it.
///
/// A table is immutable; an update replaces it as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockTable {
    sites: Vec<model::SiteId>,
    block_count: usize,
    v4: ranges::Ranges<u32>,
    /// Number of IPv4 ranges that start before each bucket.
    v4_index: Vec<u32>,
    /// Ranges of the upper 64 bits of IPv6 addresses; blocks are at most /64.
    v6: ranges::Ranges<u64>,
}

/// Result of finding an address in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockMatch<'a> {
    /// Site of the address.
    pub site: &'a model::SiteId,
    /// Stable key of the address range; all its addresses get the same hosts.
    pub key: u64,
}

impl Default for BlockTable {
    fn default() -> BlockTable {
        BlockTable::new(&[]).expect("a table without blocks is valid")
    }
}

impl BlockTable {
    /// Builds the table from its chunks, in the order of the document.
    pub fn new(chunks: &[chunk::Chunk]) -> Result<BlockTable, chunk::ChunkError> {
        let numbers = site_numbers(chunks)?;
        let site_number = |chunk: &chunk::Chunk, site: u16| {
            let name = &chunk.sites()[usize::from(site)];
            numbers[name.as_str()]
        };
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for chunk in chunks {
            for range in chunk.v4_ranges() {
                let (first, last, site) = range?;
                v4.push((first, last, site_number(chunk, site)));
            }
            for range in chunk.v6_ranges() {
                let (first, last, site) = range?;
                v6.push((first, last, site_number(chunk, site)));
            }
        }
        v4.sort_by_key(|(first, last, _)| (*first, u32::MAX - last));
        v6.sort_by_key(|(first, last, _)| (*first, u64::MAX - last));
        let v4 = ranges::Ranges::new(v4.into_iter(), |a| a.checked_add(1));
        let v6 = ranges::Ranges::new(v6.into_iter(), |a| a.checked_add(1));
        Ok(BlockTable {
            block_count: chunks.iter().map(chunk::Chunk::len).sum(),
            v4_index: build_index(v4.starts()),
            sites: numbers.keys().map(ToString::to_string).collect(),
            v4,
            v6,
        })
    }

    /// Finds the site of an address, if a block contains it.
    pub fn find(&self, client: net::IpAddr) -> Option<BlockMatch<'_>> {
        let (key, value) = match client.to_canonical() {
            net::IpAddr::V4(address) => self.find_v4(address.to_bits())?,
            net::IpAddr::V6(address) => self.find_v6((address.to_bits() >> 64) as u64)?,
        };
        let site = self.sites.get(usize::from(value))?;
        Some(BlockMatch { site, key })
    }

    /// Number of blocks.
    pub fn block_count(&self) -> usize {
        self.block_count
    }

    /// Memory use of the table in bytes.
    pub fn memory_bytes(&self) -> usize {
        let sites = self
            .sites
            .iter()
            .map(|s| s.capacity() + size_of::<String>());
        self.v4.memory_bytes()
            + self.v4_index.capacity() * size_of::<u32>()
            + self.v6.memory_bytes()
            + sites.sum::<usize>()
    }

    fn find_v4(&self, address: u32) -> Option<(u64, u16)> {
        let bucket = (address >> (32 - BUCKET_BITS)) as usize;
        let from = self.v4_index[bucket] as usize;
        let to = self.v4_index[bucket + 1] as usize;
        let (start, value) = self.v4.get(self.v4.position(address, from, to)?);
        Some((u64::from(start), value))
    }

    fn find_v6(&self, upper_half: u64) -> Option<(u64, u16)> {
        let to = self.v6.starts().len();
        Some(self.v6.get(self.v6.position(upper_half, 0, to)?))
    }
}

/// Numbers the sites in the order of their names.
fn site_numbers(
    chunks: &[chunk::Chunk],
) -> Result<collections::BTreeMap<&str, u16>, chunk::ChunkError> {
    let names = chunks
        .iter()
        .flat_map(|c| c.sites().iter().map(String::as_str))
        .collect::<collections::BTreeSet<_>>();
    if names.len() >= usize::from(ranges::NO_SITE) {
        return Err(chunk::ChunkError::TooManySites);
    }
    Ok(names.into_iter().zip(0..).collect())
}

/// Number of range starts before each bucket, and their total at the end.
fn build_index(starts: &[u32]) -> Vec<u32> {
    let mut index = Vec::with_capacity((1 << BUCKET_BITS) + 1);
    let mut count_before = 0;
    for bucket in 0..1_u32 << BUCKET_BITS {
        index.push(count_before);
        let count = starts[count_before as usize..]
            .iter()
            .take_while(|start| **start >> (32 - BUCKET_BITS) == bucket)
            .count();
        count_before += count as u32;
    }
    index.push(count_before);
    index
}
