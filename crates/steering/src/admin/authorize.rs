//! Authentication of operators and authorization of their patches.

use std::fmt;

use serde_json::{Map, Value};
use sha2::Digest;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{config, model};

/// Largest accepted size of a patch in bytes of JSON.
pub const MAX_PATCH_BYTES: usize = 256 * 1024;

/// Policy fields that a team without administrator rights may change in its own policies.
const TEAM_POLICY_FIELDS: [&str; 3] = ["regions", "excluded_servers", "shift"];

/// Who submitted a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Team to which the token belongs.
    pub team: model::TeamId,
    /// Name of the token.
    pub token: String,
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.token)
    }
}

/// Why a request is rejected before it is processed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The token belongs to no team.
    #[error("the token is not known; name one with --token, or ask an administrator for one")]
    UnknownToken,
    /// The patch exceeds the size limit.
    #[error("the patch has {bytes} bytes; at most {limit} are accepted")]
    TooLarge {
        /// Size of the patch.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// Only an administrator may change the field.
    #[error("{path}: only an administrator may change this; team {team} may not")]
    Field {
        /// Path of the field.
        path: String,
        /// Team of the token.
        team: model::TeamId,
    },
    /// The policy belongs to another team.
    #[error("policies.{policy}: the policy belongs to team {owner}, not to team {team}")]
    Policy {
        /// Name of the policy.
        policy: String,
        /// Team that owns the policy.
        owner: model::TeamId,
        /// Team of the token.
        team: model::TeamId,
    },
}

impl Refusal {
    /// HTTP status code of the response.
    pub fn status_code(&self) -> u16 {
        match self {
            Refusal::UnknownToken => 401,
            Refusal::TooLarge { .. } => 413,
            Refusal::Field { .. } | Refusal::Policy { .. } => 403,
        }
    }
}

/// Authenticates the holder of a token.
///
/// Hashes are compared in constant time, and the comparison does not stop at a match, so that the
/// response time reveals nothing about the tokens.
pub fn authenticate(doc: &config::Document, token: &str) -> Result<Author, Refusal> {
    let hash = hex(&sha2::Sha256::digest(token.as_bytes()));
    let mut found = None;
    for (team, t) in doc.teams.iter().flat_map(team_tokens) {
        if bool::from(t.sha256.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(Author {
                team: team.clone(),
                token: t.name.clone(),
            });
        }
    }
    match token.is_empty() {
        true => Err(Refusal::UnknownToken),
        false => found.ok_or(Refusal::UnknownToken),
    }
}

/// Whether a token belongs to a team with administrator rights.
pub fn is_administrator(doc: &config::Document, token: &str) -> bool {
    authenticate(doc, token).is_ok_and(|author| doc.teams[&author.team].administrator)
}

/// Authorizes the holder of a token to store chunks of the client block table, which requires
/// administrator rights.
pub fn authorize_blocks(doc: &config::Document, token: &str) -> Result<Author, Refusal> {
    let author = authenticate(doc, token)?;
    match doc.teams[&author.team].administrator {
        true => Ok(author),
        false => Err(administrator_required(&author.team, "blocks")),
    }
}

/// Authorizes the holder of a token to submit a patch.
///
/// Administrators may change everything.  Other teams may set and remove drains, and change the
/// regions, excluded servers and shift cap of their own policies.
pub fn authorize(
    doc: &config::Document,
    token: &str,
    patch: &config::Patch,
) -> Result<Author, Refusal> {
    let author = authenticate(doc, token)?;
    let bytes = serde_json::to_vec(patch).map_or(usize::MAX, |json| json.len());
    if bytes > MAX_PATCH_BYTES {
        return Err(Refusal::TooLarge {
            bytes,
            limit: MAX_PATCH_BYTES,
        });
    }
    if !doc.teams[&author.team].administrator {
        check_fields(doc, &author.team, &patch.merge)?;
    }
    Ok(author)
}

fn team_tokens<'a>(
    (team, t): (&'a model::TeamId, &'a config::Team),
) -> impl Iterator<Item = (&'a model::TeamId, &'a config::Token)> {
    t.tokens.iter().map(move |token| (team, token))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn check_fields(doc: &config::Document, team: &str, merge: &Value) -> Result<(), Refusal> {
    for (field, value) in require_object(team, "", merge)? {
        match field.as_str() {
            "drains" => require_object(team, "drains", value).map(|_| ())?,
            "policies" => check_policies(doc, team, require_object(team, "policies", value)?)?,
            _ => return Err(administrator_required(team, field)),
        }
    }
    Ok(())
}

fn check_policies(
    doc: &config::Document,
    team: &str,
    policies: &Map<String, Value>,
) -> Result<(), Refusal> {
    for (policy, value) in policies {
        let path = format!("policies.{policy}");
        let owner = match doc.policies.get(policy) {
            Some(found) => &found.team,
            None => return Err(administrator_required(team, path)),
        };
        if owner != team {
            return Err(Refusal::Policy {
                policy: policy.clone(),
                owner: owner.clone(),
                team: team.to_string(),
            });
        }
        let fields = require_object(team, &path, value)?;
        let forbidden = fields
            .keys()
            .find(|f| !TEAM_POLICY_FIELDS.contains(&f.as_str()));
        if let Some(field) = forbidden {
            return Err(administrator_required(team, format!("{path}.{field}")));
        }
    }
    Ok(())
}

/// Returns the fields of a JSON object; any other value in a merge patch would replace or remove
/// the whole object and requires administrator rights.
fn require_object<'a>(
    team: &str,
    path: &str,
    value: &'a Value,
) -> Result<&'a Map<String, Value>, Refusal> {
    let object_path = if path.is_empty() {
        "the document"
    } else {
        path
    };
    value
        .as_object()
        .ok_or_else(|| administrator_required(team, object_path))
}

fn administrator_required(team: &str, path: impl Into<String>) -> Refusal {
    Refusal::Field {
        path: path.into(),
        team: team.to_string(),
    }
}
