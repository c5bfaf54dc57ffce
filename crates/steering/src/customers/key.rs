//! Keys of customers.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a customer's key; the key itself is a secret and is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key([u8; 32]);

impl Key {
    /// Digest of a key as a client sends it.
    pub fn new(secret: impl AsRef<[u8]>) -> Key {
        Key(Sha256::digest(secret).into())
    }
}
