//! Keys of customers.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a customer's key; the key itself is a secret and is not kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key([u8; 32]);

impl Key {
    /// Digest of a key as a client sends it.
    pub fn new(secret: impl AsRef<[u8]>) -> Key {
        Key(Sha256::digest(secret).into())
    }

    /// Reads a digest that [`Key::to_hex`] wrote.
    pub fn from_hex(text: &str) -> Option<Key> {
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        for (byte, digits) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
            *byte = u8::from_str_radix(str::from_utf8(digits).ok()?, 16).ok()?;
        }
        Some(Key(digest))
    }

    /// The digest in hexadecimal digits.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for Key {
    /// Leaves the digest out: that of a short key can be guessed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
