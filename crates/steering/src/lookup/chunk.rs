//! Content-addressed chunks of the client block table: sorted blocks, identified by the hash of
//! their encoded bytes.

use std::fmt::Write;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use thiserror::Error;
use xxhash_rust::xxh3;

use crate::{config, model};

/// Mean number of blocks between two chunk boundaries; a power of two.
const MEAN_CHUNK_BLOCKS: u64 = 2_048;
/// Smallest and largest number of blocks of a chunk; the last chunk may be smaller.
const MIN_CHUNK_BLOCKS: usize = 256;
const MAX_CHUNK_BLOCKS: usize = 8_192;

/// A block of client addresses and its site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Address block.
    pub net: IpNet,
    /// Site of the clients in the block.
    pub site: model::SiteId,
}

/// Error in blocks or in a chunk.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChunkError {
    /// A block is listed twice.
    #[error("{0} stands twice")]
    Duplicate(IpNet),
    /// The prefix of an IPv6 block is longer than /64.
    #[error("{0} is longer than /64")]
    PrefixTooLong(IpNet),
    /// The bytes do not match the expected hash.
    #[error("the chunk's bytes do not have the hash {0}")]
    HashMismatch(String),
    /// The bytes cannot be decoded as a chunk, or a chunk cannot be encoded.
    #[error("the bytes are no chunk: {0}")]
    InvalidEncoding(String),
    /// A block has a site number outside the list of the chunk, or an invalid prefix.
    #[error("block {0} of the chunk is malformed")]
    MalformedBlock(usize),
    /// There are more sites than fit into the numbers of the table.
    #[error("there are more than 65534 sites")]
    TooManySites,
}

/// Blocks as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    sites: Vec<model::SiteId>,
    v4: Vec<EncodedBlock<u32>>,
    v6: Vec<EncodedBlock<u64>>,
}

/// A block, delta-encoded: the start is stored as the difference to the previous start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EncodedBlock<T> {
    delta: T,
    prefix: u8,
    site: u16,
}

/// Encoded bytes of a chunk and its entry in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedChunk {
    /// Entry in the document.
    pub entry: config::BlockChunk,
    /// Encoded bytes.
    pub bytes: Vec<u8>,
}

/// Sorts blocks and splits them into chunks at content-defined boundaries.
///
/// A boundary depends only on nearby blocks, so that a change of one block usually changes one
/// chunk, rarely two.
pub fn encode(mut blocks: Vec<Block>) -> Result<Vec<EncodedChunk>, ChunkError> {
    blocks.iter_mut().for_each(|b| b.net = b.net.trunc());
    blocks.sort_by_key(|b| b.net);
    if let Some(pair) = blocks.windows(2).find(|w| w[0].net == w[1].net) {
        return Err(ChunkError::Duplicate(pair[0].net));
    }
    let too_long = |b: &&Block| matches!(b.net, IpNet::V6(net) if net.prefix_len() > 64);
    if let Some(block) = blocks.iter().find(too_long) {
        return Err(ChunkError::PrefixTooLong(block.net));
    }
    let mut chunks = Vec::new();
    let mut rest = blocks.as_slice();
    while !rest.is_empty() {
        let (first, following) = rest.split_at(first_chunk_len(rest));
        chunks.push(encode_chunk(first)?);
        rest = following;
    }
    Ok(chunks)
}

/// Number of blocks in the first chunk.
fn first_chunk_len(blocks: &[Block]) -> usize {
    blocks
        .iter()
        .enumerate()
        .skip(MIN_CHUNK_BLOCKS)
        .take(MAX_CHUNK_BLOCKS - MIN_CHUNK_BLOCKS)
        .find(|(_, b)| {
            xxh3::xxh3_64(b.net.to_string().as_bytes()).is_multiple_of(MEAN_CHUNK_BLOCKS)
        })
        .map_or(blocks.len().min(MAX_CHUNK_BLOCKS), |(i, _)| i)
}

fn encode_chunk(blocks: &[Block]) -> Result<EncodedChunk, ChunkError> {
    let mut sites = blocks.iter().map(|b| b.site.clone()).collect::<Vec<_>>();
    sites.sort();
    sites.dedup();
    let (mut v4, mut v6) = (Vec::new(), Vec::new());
    let (mut previous_v4, mut previous_v6) = (0, 0);
    for block in blocks {
        let site = sites
            .binary_search(&block.site)
            .expect("each site is listed");
        let site = u16::try_from(site).map_err(|_| ChunkError::TooManySites)?;
        match block.net {
            IpNet::V4(net) => {
                let start = net.network().to_bits();
                v4.push(EncodedBlock {
                    delta: start - previous_v4,
                    prefix: net.prefix_len(),
                    site,
                });
                previous_v4 = start;
            }
            IpNet::V6(net) => {
                let start = (net.network().to_bits() >> 64) as u64;
                v6.push(EncodedBlock {
                    delta: start - previous_v6,
                    prefix: net.prefix_len(),
                    site,
                });
                previous_v6 = start;
            }
        }
    }
    let chunk = Chunk { sites, v4, v6 };
    let bytes =
        postcard::to_stdvec(&chunk).map_err(|e| ChunkError::InvalidEncoding(e.to_string()))?;
    let entry = config::BlockChunk {
        sha256: sha256_hex(&bytes),
        blocks: blocks.len() as u32,
    };
    Ok(EncodedChunk { entry, bytes })
}

fn sha256_hex(bytes: &[u8]) -> String {
    let digest = sha2::Sha256::digest(bytes);
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl Chunk {
    /// Verifies the hash of encoded bytes and decodes them.
    pub fn decode(bytes: &[u8], hash: &str) -> Result<Chunk, ChunkError> {
        if sha256_hex(bytes) != hash {
            return Err(ChunkError::HashMismatch(hash.to_string()));
        }
        postcard::from_bytes(bytes).map_err(|e| ChunkError::InvalidEncoding(e.to_string()))
    }

    /// Number of blocks in the chunk.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether the chunk has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn sites(&self) -> &[model::SiteId] {
        &self.sites
    }

    /// First address, last address and site number of each IPv4 block, in order.
    pub(super) fn v4_ranges(
        &self,
    ) -> impl Iterator<Item = Result<(u32, u32, u16), ChunkError>> + '_ {
        self.v4.iter().enumerate().scan(0_u32, |start, (i, block)| {
            *start = start.wrapping_add(block.delta);
            let range = self.checked_range(i, u64::from(*start), 32, block.prefix, block.site);
            Some(range.map(|(first, last)| (first as u32, last as u32, block.site)))
        })
    }

    /// First and last upper 64 bits and site number of each IPv6 block, in order.
    pub(super) fn v6_ranges(
        &self,
    ) -> impl Iterator<Item = Result<(u64, u64, u16), ChunkError>> + '_ {
        self.v6.iter().enumerate().scan(0_u64, |start, (i, block)| {
            *start = start.wrapping_add(block.delta);
            let range = self.checked_range(i, *start, 64, block.prefix, block.site);
            Some(range.map(|(first, last)| (first, last, block.site)))
        })
    }

    /// Validates a block of addresses with `width` bits and returns its first and last address.
    fn checked_range(
        &self,
        i: usize,
        first: u64,
        width: u32,
        prefix: u8,
        site: u16,
    ) -> Result<(u64, u64), ChunkError> {
        let host_bits = width.checked_sub(u32::from(prefix));
        let host_mask = host_bits.map(|bits| u64::MAX.checked_shr(64 - bits).unwrap_or(0));
        match host_mask {
            Some(mask) if first & mask == 0 && usize::from(site) < self.sites.len() => {
                Ok((first, first | mask))
            }
            _ => Err(ChunkError::MalformedBlock(i)),
        }
    }
}
