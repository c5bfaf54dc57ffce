//! Rank of a kind of work.

use serde::{Deserialize, Serialize};

/// Priority of a kind of work; smaller values are served first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Rank {
    /// Served before everything else.
    Urgent,
    /// Default rank.
    #[default]
    Normal,
    /// Tolerates delay; served last.
    Late,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Late];

    /// Position of the rank, 0 for the most urgent.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name used in metrics, logs and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Rank::Urgent => "urgent",
            Rank::Normal => "normal",
            Rank::Late => "late",
        }
    }
}
