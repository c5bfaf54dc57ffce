//! Patches to a version of the document.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{check, document};
use crate::model;

/// Identifier of a patch, chosen by the operator's command.
pub type PatchId = String;

/// A change to one version of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Identifier, by which the patch is recognised when the response to its write was lost.
    pub id: PatchId,
    /// Version to which the patch applies.
    pub base: model::Version,
    /// JSON merge patch (RFC 7396) of the document; it must not set `version` or
    /// `deployment`.
    pub merge: serde_json::Value,
}

/// Why a patch was not applied.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PatchError {
    /// The base version of the patch is not the current version.
    #[error("the patch is against version {base}, but version {current} is current")]
    Outdated {
        /// Base version of the patch.
        base: model::Version,
        /// Current version.
        current: model::Version,
    },
    /// The patch sets `version` or `deployment`.
    #[error("{0}: a patch may not change this field")]
    Fixed(&'static str),
    /// The result cannot be parsed as a document.
    #[error("{path}: {message}")]
    Malformed {
        /// Path of the field.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// The result fails validation.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<check::Problem>),
}

impl Patch {
    /// Applies the patch to its base version and returns the next version of the document.
    pub fn apply(&self, doc: &document::Document) -> Result<document::Document, PatchError> {
        if self.base != doc.version {
            return Err(PatchError::Outdated {
                base: self.base,
                current: doc.version,
            });
        }
        for field in ["version", "deployment"] {
            if self.merge.get(field).is_some() {
                return Err(PatchError::Fixed(field));
            }
        }
        let mut value = serde_json::to_value(doc).expect("a document can be serialized as JSON");
        json_patch::merge(&mut value, &self.merge);
        let mut next: document::Document =
            serde_path_to_error::deserialize(value).map_err(|e| PatchError::Malformed {
                path: e.path().to_string(),
                message: e.inner().to_string(),
            })?;
        next.version = doc.version + 1;
        let problems = check::check(&next);
        if problems.is_empty() {
            Ok(next)
        } else {
            Err(PatchError::Invalid(problems))
        }
    }
}
