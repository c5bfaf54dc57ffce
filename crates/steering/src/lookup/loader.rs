//! Collects the chunks that a document lists.

use std::{collections, sync};

use super::{block_table, chunk};
use crate::config;

/// Loaded chunks by hash, and the list of chunks in the document.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    expected: Vec<config::BlockChunk>,
    chunks: collections::BTreeMap<String, sync::Arc<[u8]>>,
}

impl Loader {
    /// Sets the chunks that a document lists and returns the hashes of the missing ones.
    ///
    /// Loaded chunks that are not in the list are dropped.
    pub fn set_expected(&mut self, list: &[config::BlockChunk]) -> Vec<String> {
        self.expected = list.to_vec();
        let listed = list.iter().map(|c| &c.sha256);
        let listed = listed.collect::<collections::BTreeSet<_>>();
        self.chunks.retain(|hash, _| listed.contains(hash));
        self.missing()
    }

    /// Hashes of the listed chunks that are not loaded yet.
    pub fn missing(&self) -> Vec<String> {
        let hashes = self.expected.iter().map(|c| &c.sha256);
        hashes
            .filter(|hash| !self.chunks.contains_key(*hash))
            .cloned()
            .collect()
    }

    /// Verifies the encoded bytes of a chunk and stores them if the chunk is listed.
    pub fn insert(&mut self, hash: &str, bytes: Vec<u8>) -> Result<(), chunk::ChunkError> {
        chunk::Chunk::decode(&bytes, hash)?;
        if self.expected.iter().any(|c| c.sha256 == hash) {
            self.chunks.insert(hash.to_string(), bytes.into());
        }
        Ok(())
    }

    /// Encoded bytes of a loaded chunk, to serve them to a peer.
    pub fn bytes(&self, hash: &str) -> Option<sync::Arc<[u8]>> {
        self.chunks.get(hash).cloned()
    }

    /// Builds the table; `None` while a chunk is missing.
    pub fn table(&self) -> Option<Result<block_table::BlockTable, chunk::ChunkError>> {
        let bytes = self
            .expected
            .iter()
            .map(|c| self.chunks.get(&c.sha256).map(|bytes| (c, bytes)))
            .collect::<Option<Vec<_>>>()?;
        let chunks = bytes
            .into_iter()
            .map(|(c, bytes)| chunk::Chunk::decode(bytes, &c.sha256))
            .collect::<Result<Vec<_>, _>>();
        Some(chunks.and_then(|chunks| block_table::BlockTable::new(&chunks)))
    }
}
