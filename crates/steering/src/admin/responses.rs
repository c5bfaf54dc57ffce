//! Responses to configuration requests.

use serde::{Deserialize, Serialize};

use crate::{config, model};

/// Response 200 to a patch: it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version that resulted from the patch.
    pub version: model::Version,
}

/// Response 409 to a patch: its base version is not the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outdated {
    /// Current version.
    pub current: model::Version,
    /// Reason for the rejection.
    pub message: String,
}

/// Response 422 to a patch or a document: it failed validation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// All validation errors.
    pub problems: Vec<Problem>,
}

/// A validation error and the field that causes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the field.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

/// Response 400, 401, 403 or 413: the request was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Reason for the rejection.
    pub message: String,
}

/// Response 503: it is unknown whether the patch was accepted, or the request could not be
/// processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unknown {
    /// Whether the patch was accepted.
    pub outcome: model::Outcome,
    /// What failed.
    #[serde(default)]
    pub message: String,
}

/// The latest accepted patches, newest last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The patches with their authors and times of acceptance.
    pub changes: Vec<config::Change>,
}

impl From<config::Problem> for Problem {
    fn from(problem: config::Problem) -> Problem {
        Problem {
            path: problem.path,
            message: problem.message,
        }
    }
}

impl From<&config::PatchError> for Invalid {
    fn from(e: &config::PatchError) -> Invalid {
        let problems = match e {
            config::PatchError::Invalid(problems) => {
                problems.iter().cloned().map(Problem::from).collect()
            }
            config::PatchError::Malformed { path, message } => vec![Problem {
                path: path.clone(),
                message: message.clone(),
            }],
            config::PatchError::Fixed(field) => vec![Problem {
                path: field.to_string(),
                message: "a patch may not change this field".to_string(),
            }],
            config::PatchError::Outdated { .. } => vec![Problem {
                path: "base".to_string(),
                message: e.to_string(),
            }],
        };
        Invalid { problems }
    }
}
