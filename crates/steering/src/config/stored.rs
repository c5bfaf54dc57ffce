//! Configuration as stored on the platform.

use serde::{Deserialize, Serialize};

use super::{document, patch};
use crate::model;

/// Number of latest changes that are stored with the document.
pub const KEPT_CHANGE_COUNT: usize = 64;

/// The document with its latest changes, stored as one object on the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The current document.
    pub document: document::Document,
    /// The latest changes, newest last.
    pub changes: Vec<Change>,
}

/// An accepted patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that resulted from the patch.
    pub version: model::Version,
    /// Team and token that submitted the patch.
    pub author: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The accepted patch.
    pub patch: patch::Patch,
}

impl StoredConfig {
    /// Wraps a document without changes.
    pub fn new(document: document::Document) -> StoredConfig {
        StoredConfig {
            document,
            changes: Vec::new(),
        }
    }

    /// Applies a patch and records it among the latest changes.
    pub fn with_patch(
        &self,
        patch: patch::Patch,
        author: String,
        now: model::Time,
    ) -> Result<StoredConfig, patch::PatchError> {
        let change = Change {
            version: patch.base.saturating_add(1),
            author,
            accepted_unix_ms: now.as_millis() as u64,
            patch,
        };
        self.with_change(change)
    }

    /// Applies an accepted change and records it among the latest changes.
    pub fn with_change(&self, change: Change) -> Result<StoredConfig, patch::PatchError> {
        let document = change.patch.apply(&self.document)?;
        let dropped_count = (self.changes.len() + 1).saturating_sub(KEPT_CHANGE_COUNT);
        let kept = self.changes.iter().skip(dropped_count).cloned();
        Ok(StoredConfig {
            document,
            changes: kept.chain([change]).collect(),
        })
    }

    /// Version that resulted from a patch, if it is among the latest changes.
    pub fn version_of(&self, id: &str) -> Option<model::Version> {
        self.changes
            .iter()
            .find(|change| change.patch.id == id)
            .map(|change| change.version)
    }
}
