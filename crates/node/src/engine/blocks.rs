//! The table of client blocks.

use std::{sync, time};

use bytes::Bytes;
use rand::seq::IndexedRandom;

use super::engine;
use crate::platform;

/// Kind of the objects that hold chunks.
const KIND: &str = "blocks";

/// Time that another host has to send a chunk.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Times that the hosts of the data centre are asked before the platform; those that watch the
/// platform for their data centre ask it at once.
const PEER_ATTEMPTS: u32 = 4;

/// Pause before a missing chunk is asked for again.
const PAUSE: time::Duration = time::Duration::from_millis(300);

impl engine::Engine {
    /// Loads the chunks that the configuration names until the task is dropped.  Look-ups use the
    /// former table until the new one is whole.
    pub async fn load_blocks(self: sync::Arc<engine::Engine>) {
        // Chunks that the task lacked when it ended before.
        if !self.lock().loader.missing().is_empty() {
            self.chunks_wanted.notify_one();
        }
        loop {
            self.chunks_wanted.notified().await;
            let mut attempt = 0;
            loop {
                let missing = self.lock().loader.missing();
                if missing.is_empty() {
                    break;
                }
                for hash in missing {
                    self.load_chunk(&hash, attempt).await;
                }
                if self.lock().loader.missing().is_empty() {
                    break;
                }
                attempt += 1;
                tokio::time::sleep(PAUSE).await;
            }
            self.use_table().await;
        }
    }

    /// Bytes of a chunk for another host.
    pub fn chunk(&self, hash: &str) -> Option<Vec<u8>> {
        let bytes = self.lock().loader.bytes(hash)?;
        Some(bytes.to_vec())
    }

    /// Stores a chunk under the hash of its bytes; one that is there already stays.
    pub async fn store_chunk(&self, sha256: &str, bytes: Bytes) -> Result<(), platform::Error> {
        let condition = platform::Condition::Absent;
        let same = |stored: &[u8]| *stored == *bytes;
        self.metrics.platform_call("put");
        let written = self
            .platform
            .put_confirmed(KIND, sha256, condition, bytes.clone(), same)
            .await;
        match written {
            // The name is the hash of the content.
            Ok(_) | Err(platform::Error::Conflict) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn load_chunk(&self, hash: &str, attempt: u32) {
        let watcher = self.lock().follower.is_watcher();
        let bytes = match watcher || attempt >= PEER_ATTEMPTS {
            true => self.chunk_from_platform(hash).await,
            false => self.chunk_from_peer(hash).await,
        };
        let Some(bytes) = bytes else {
            return;
        };
        if let Err(e) = self.lock().loader.insert(hash, bytes) {
            self.metrics.fault("malformed chunk");
            log::error!(chunk = hash, error:% = e; "a chunk of client blocks is malformed");
        }
    }

    async fn chunk_from_platform(&self, hash: &str) -> Option<Vec<u8>> {
        self.metrics.platform_call("chunk");
        let object = self.platform.get(KIND, hash).await.ok()??;
        Some(object.body.to_vec())
    }

    async fn chunk_from_peer(&self, hash: &str) -> Option<Vec<u8>> {
        let peers = self.serving(&self.me.data_centre);
        let others = peers.iter().filter(|m| m.host != self.me.host);
        let others = others.map(|m| m.peer_address).collect::<Vec<_>>();
        let peer = *others.choose(&mut rand::rng())?;
        self.links
            .fetch_chunk(peer, hash, FETCH_TIMEOUT)
            .await
            .ok()?
    }

    /// Builds the table beside the one in use and replaces it.
    async fn use_table(&self) {
        let loader = self.lock().loader.clone();
        let built = tokio::task::spawn_blocking(move || loader.table()).await;
        match built {
            Ok(Some(Ok(table))) => {
                log::info!(blocks = table.block_count(), bytes = table.memory_bytes(); "client blocks are in use");
                self.lock().table = sync::Arc::new(table);
                self.update_members();
            }
            Ok(Some(Err(e))) => log::error!(error:% = e; "the client blocks are malformed"),
            _ => {}
        }
    }
}
