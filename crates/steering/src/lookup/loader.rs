//! Collects the chunks that a document names.

use std::{collections, sync};

use super::{block_table, chunk};
use crate::config;

/// Chunks by hash, and the document's list of them.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    wanted: Vec<config::BlockChunk>,
    bytes: collections::BTreeMap<String, sync::Arc<[u8]>>,
}

impl Loader {
    /// Takes a document's list and returns the hashes of the chunks that are missing.
    ///
    /// Chunks that the list does not name are dropped.
    pub fn set_expected(&mut self, list: &[config::BlockChunk]) -> Vec<String> {
        self.wanted = list.to_vec();
        let named = list.iter().map(|c| &c.sha256);
        let named = named.collect::<collections::BTreeSet<_>>();
        self.bytes.retain(|hash, _| named.contains(hash));
        self.missing()
    }

    /// Hashes of the chunks that are missing.
    pub fn missing(&self) -> Vec<String> {
        let hashes = self.wanted.iter().map(|c| &c.sha256);
        hashes
            .filter(|hash| !self.bytes.contains_key(*hash))
            .cloned()
            .collect()
    }

    /// Takes a chunk's bytes.
    pub fn insert(&mut self, hash: &str, bytes: Vec<u8>) -> Result<(), chunk::ChunkError> {
        chunk::Chunk::decode(&bytes, hash)?;
        if self.wanted.iter().any(|c| c.sha256 == hash) {
            self.bytes.insert(hash.to_string(), bytes.into());
        }
        Ok(())
    }

    /// Bytes of a chunk, for a peer that asks.
    pub fn bytes(&self, hash: &str) -> Option<sync::Arc<[u8]>> {
        self.bytes.get(hash).cloned()
    }

    /// The table, once no chunk is missing.
    pub fn table(&self) -> Option<Result<block_table::BlockTable, chunk::ChunkError>> {
        let bytes = self
            .wanted
            .iter()
            .map(|c| self.bytes.get(&c.sha256).map(|bytes| (c, bytes)))
            .collect::<Option<Vec<_>>>()?;
        let chunks = bytes
            .into_iter()
            .map(|(c, bytes)| chunk::Chunk::decode(bytes, &c.sha256))
            .collect::<Result<Vec<_>, _>>();
        Some(chunks.and_then(|chunks| block_table::BlockTable::new(&chunks)))
    }
}
