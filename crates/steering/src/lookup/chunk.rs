//! Chunks of the table of client blocks: sorted blocks, named by the hash of their bytes.

use std::fmt::Write;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use thiserror::Error;
use xxhash_rust::xxh3;

use crate::{config, model};

/// Mean number of blocks between two cuts; a power of two.
const MEAN_BLOCKS: u64 = 2_048;
/// Fewest and most blocks of a chunk.
const MIN_BLOCKS: usize = 256;
const MAX_BLOCKS: usize = 8_192;

/// A block of client addresses with its site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Addresses.
    pub net: IpNet,
    /// Site.
    pub site: model::SiteId,
}

/// Why blocks or a chunk are refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChunkError {
    /// A block stands twice.
    #[error("{0} stands twice")]
    Duplicate(IpNet),
    /// An IPv6 block is longer than /64.
    #[error("{0} is longer than /64")]
    PrefixTooLong(IpNet),
    /// The bytes do not have the hash that the document names.
    #[error("the chunk's bytes do not have the hash {0}")]
    HashMismatch(String),
    /// The bytes are no chunk.
    #[error("the bytes are no chunk: {0}")]
    InvalidEncoding(String),
    /// A block names a site that the chunk does not list, or an impossible prefix.
    #[error("block {0} of the chunk is malformed")]
    MalformedBlock(usize),
    /// There are more sites than the table can number.
    #[error("there are more than 65534 sites")]
    TooManySites,
}

/// Blocks in the form in which the platform keeps them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    sites: Vec<model::SiteId>,
    v4: Vec<CodedBlock<u32>>,
    v6: Vec<CodedBlock<u64>>,
}

/// A block; the start is given as the difference to the start of the block before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CodedBlock<T> {
    delta: T,
    prefix: u8,
    site: u16,
}

/// A chunk's bytes with its entry for the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedChunk {
    /// Entry for the document.
    pub entry: config::BlockChunk,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Sorts blocks and cuts them into chunks at places that depend on nearby blocks only, so that a
/// change of one block changes one chunk, seldom two.
pub fn encode(mut blocks: Vec<Block>) -> Result<Vec<EncodedChunk>, ChunkError> {
    blocks.iter_mut().for_each(|b| b.net = b.net.trunc());
    blocks.sort_by_key(|b| b.net);
    if let Some(pair) = blocks.windows(2).find(|w| w[0].net == w[1].net) {
        return Err(ChunkError::Duplicate(pair[0].net));
    }
    let long = |b: &&Block| matches!(b.net, IpNet::V6(net) if net.prefix_len() > 64);
    if let Some(block) = blocks.iter().find(long) {
        return Err(ChunkError::PrefixTooLong(block.net));
    }
    let mut chunks = Vec::new();
    let mut rest = blocks.as_slice();
    while !rest.is_empty() {
        let (part, after) = rest.split_at(cut(rest));
        chunks.push(encode_chunk(part)?);
        rest = after;
    }
    Ok(chunks)
}

/// Number of blocks of the first chunk.
fn cut(blocks: &[Block]) -> usize {
    blocks
        .iter()
        .enumerate()
        .skip(MIN_BLOCKS)
        .take(MAX_BLOCKS - MIN_BLOCKS)
        .find(|(_, b)| xxh3::xxh3_64(b.net.to_string().as_bytes()).is_multiple_of(MEAN_BLOCKS))
        .map_or(blocks.len().min(MAX_BLOCKS), |(i, _)| i)
}

fn encode_chunk(blocks: &[Block]) -> Result<EncodedChunk, ChunkError> {
    let mut sites = blocks.iter().map(|b| b.site.clone()).collect::<Vec<_>>();
    sites.sort();
    sites.dedup();
    let (mut v4, mut v6) = (Vec::new(), Vec::new());
    let (mut before_v4, mut before_v6) = (0, 0);
    for block in blocks {
        let site = sites
            .binary_search(&block.site)
            .expect("each site is listed");
        let site = u16::try_from(site).map_err(|_| ChunkError::TooManySites)?;
        match block.net {
            IpNet::V4(net) => {
                let start = net.network().to_bits();
                v4.push(CodedBlock {
                    delta: start - before_v4,
                    prefix: net.prefix_len(),
                    site,
                });
                before_v4 = start;
            }
            IpNet::V6(net) => {
                let start = (net.network().to_bits() >> 64) as u64;
                v6.push(CodedBlock {
                    delta: start - before_v6,
                    prefix: net.prefix_len(),
                    site,
                });
                before_v6 = start;
            }
        }
    }
    let chunk = Chunk { sites, v4, v6 };
    let bytes =
        postcard::to_stdvec(&chunk).map_err(|e| ChunkError::InvalidEncoding(e.to_string()))?;
    let entry = config::BlockChunk {
        sha256: sha256(&bytes),
        blocks: blocks.len() as u32,
    };
    Ok(EncodedChunk { entry, bytes })
}

fn sha256(bytes: &[u8]) -> String {
    let digest = sha2::Sha256::digest(bytes);
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl Chunk {
    /// Decodes a chunk's bytes, which must have a hash.
    pub fn decode(bytes: &[u8], hash: &str) -> Result<Chunk, ChunkError> {
        if sha256(bytes) != hash {
            return Err(ChunkError::HashMismatch(hash.to_string()));
        }
        postcard::from_bytes(bytes).map_err(|e| ChunkError::InvalidEncoding(e.to_string()))
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn sites(&self) -> &[model::SiteId] {
        &self.sites
    }

    /// First and last address and site of each IPv4 block, in order.
    pub(super) fn v4_ranges(
        &self,
    ) -> impl Iterator<Item = Result<(u32, u32, u16), ChunkError>> + '_ {
        self.v4.iter().enumerate().scan(0_u32, |start, (i, block)| {
            *start = start.wrapping_add(block.delta);
            let range = self.range(i, u64::from(*start), 32, block.prefix, block.site);
            Some(range.map(|(first, last)| (first as u32, last as u32, block.site)))
        })
    }

    /// First and last upper half of the addresses and site of each IPv6 block, in order.
    pub(super) fn v6_ranges(
        &self,
    ) -> impl Iterator<Item = Result<(u64, u64, u16), ChunkError>> + '_ {
        self.v6.iter().enumerate().scan(0_u64, |start, (i, block)| {
            *start = start.wrapping_add(block.delta);
            let range = self.range(i, *start, 64, block.prefix, block.site);
            Some(range.map(|(first, last)| (first, last, block.site)))
        })
    }

    /// First and last address of a block with addresses of `width` bits.
    fn range(
        &self,
        i: usize,
        first: u64,
        width: u32,
        prefix: u8,
        site: u16,
    ) -> Result<(u64, u64), ChunkError> {
        let host_bits = width.checked_sub(u32::from(prefix));
        let hosts = host_bits.map(|bits| u64::MAX.checked_shr(64 - bits).unwrap_or(0));
        match hosts {
            Some(hosts) if first & hosts == 0 && usize::from(site) < self.sites.len() => {
                Ok((first, first | hosts))
            }
            _ => Err(ChunkError::MalformedBlock(i)),
        }
    }
}
