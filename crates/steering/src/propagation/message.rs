//! Messages between hosts.

use std::{net, sync};

use serde::{Deserialize, Serialize};

use crate::{config, model};

/// A message from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Hash of the deployment's name.
    pub deployment: u64,
    /// Host that sent it.
    pub sender: model::HostId,
    /// Its address for replies.
    pub peer_address: net::SocketAddr,
    /// Version in force at the sender; 0 for none.
    pub version: model::Version,
    /// First bytes of the hash of the sender's document; 0 for none.
    pub fingerprint: u64,
    /// Type-specific content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Announces the version in force.
    Announce,
    /// Requests what is newer than a version.
    Pull {
        /// Version in force at the sender; 0 for none.
        have: model::Version,
    },
    /// Sends changes to apply to a base version.
    Changes {
        /// Version that the first change was made against.
        base: model::Version,
        /// Changes in the order of their versions, as JSON.
        #[serde(with = "json_text")]
        changes: Vec<config::Change>,
        /// SHA-256 of the resulting document.
        hash: [u8; 32],
    },
    /// Sends the whole configuration.
    Whole {
        /// Document and latest changes, as JSON.
        #[serde(with = "json_text")]
        stored: sync::Arc<config::StoredConfig>,
    },
}

/// Serializes a value as JSON text, for types that need a self-describing format.
mod json_text {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser};

    pub fn serialize<T: Serialize, S: Serializer>(value: &T, s: S) -> Result<S::Ok, S::Error> {
        let text = serde_json::to_string(value).map_err(ser::Error::custom)?;
        s.serialize_str(&text)
    }

    pub fn deserialize<'de, T, D>(d: D) -> Result<T, D::Error>
    where
        T: de::DeserializeOwned,
        D: Deserializer<'de>,
    {
        let text = String::deserialize(d)?;
        serde_json::from_str(&text).map_err(de::Error::custom)
    }
}
