//! Idempotency keys.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::ids;

/// Maximum length of a host name in a key, in bytes.
const MAX_HOST_BYTES: usize = 64;

/// One process of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Name of the host.
    pub host: ids::HostId,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
}

/// Key that identifies a non-idempotent request across all its retries.
///
/// The text form is `HOME~HOME_INCARNATION~MINTED~WITNESS~WITNESS_INCARNATION~TOKEN`, or
/// `HOME~HOME_INCARNATION~MINTED~TOKEN` without a witness.  The home is the only process that may
/// run the request.  The witness is the only other process that may answer queries about the
/// request.  All hosts read both from the key, so they agree even if their member lists differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Host that may run the request.
    pub home: ids::HostId,
    /// Incarnation of the process on that host.
    pub incarnation: ids::Incarnation,
    /// When a look-up issued the prefix of the key, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// Process at which the home records the request before running it.
    pub witness: Option<Process>,
    /// Random part chosen by the caller.
    pub token: String,
}

/// Part of a key that look-ups return; callers append a token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyPrefix {
    /// Process that may run the request.
    pub home: Process,
    /// Time of the look-up, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// Process at which the home records the request before running it.
    pub witness: Option<Process>,
}

/// Why a text is not a valid idempotency key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The text does not have four or six parts, or a host name is missing or too long.
    #[error("an idempotency key is the prefix from a look-up with a token appended")]
    Malformed,
    /// An incarnation or the mint time is not a number.
    #[error("the incarnation or time in the idempotency key is not a number")]
    InvalidNumber,
    /// The home and the witness are the same host.
    #[error("the home and the witness of an idempotency key must be different hosts")]
    WitnessIsHome,
    /// The token is shorter than 8 or longer than 64 bytes, or contains other characters than
    /// letters, digits, `-` and `_`.
    #[error("the token of an idempotency key has 8 to 64 letters, digits, '-' or '_'")]
    InvalidToken,
}

impl IdempotencyKey {
    /// Process that may run the request.
    pub fn home_process(&self) -> Process {
        Process {
            host: self.home.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl KeyPrefix {
    /// Appends a token.
    pub fn with_token(&self, token: impl Into<String>) -> IdempotencyKey {
        IdempotencyKey {
            home: self.home.host.clone(),
            incarnation: self.home.incarnation,
            minted_unix_ms: self.minted_unix_ms,
            witness: self.witness.clone(),
            token: token.into(),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(s: &str) -> Result<Self, KeyError> {
        let parts = s.split('~').collect::<Vec<_>>();
        let (home, minted, witness, token) = match parts[..] {
            [host, start, minted, token] => (parse_process(host, start)?, minted, None, token),
            [host, start, minted, witness, witness_start, token] => {
                let witness = parse_process(witness, witness_start)?;
                (parse_process(host, start)?, minted, Some(witness), token)
            }
            _ => return Err(KeyError::Malformed),
        };
        if witness.as_ref().is_some_and(|w| w.host == home.host) {
            return Err(KeyError::WitnessIsHome);
        }
        let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !(8..=64).contains(&token.len()) || !token.chars().all(valid) {
            return Err(KeyError::InvalidToken);
        }
        let prefix = KeyPrefix {
            home,
            minted_unix_ms: minted.parse().map_err(|_| KeyError::InvalidNumber)?,
            witness,
        };
        Ok(prefix.with_token(token))
    }
}

fn parse_process(host: &str, incarnation: &str) -> Result<Process, KeyError> {
    if host.is_empty() || host.len() > MAX_HOST_BYTES {
        return Err(KeyError::Malformed);
    }
    Ok(Process {
        host: host.to_string(),
        incarnation: incarnation.parse().map_err(|_| KeyError::InvalidNumber)?,
    })
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.host, self.incarnation)
    }
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~", self.home, self.minted_unix_ms)?;
        match &self.witness {
            Some(witness) => write!(f, "{witness}~"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = KeyPrefix {
            home: self.home_process(),
            minted_unix_ms: self.minted_unix_ms,
            witness: self.witness.clone(),
        };
        write!(f, "{prefix}{}", self.token)
    }
}
