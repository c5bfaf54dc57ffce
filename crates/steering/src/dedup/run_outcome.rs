//! How the run of a request ended.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::model;

/// Whole answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// HTTP status.
    pub status: u16,
    /// Headers in their order.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredResult {
    /// Size in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// How the run of a request ended; final for its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// A backend server ran it; the result is absent where it was too large to keep.
    Done(Option<sync::Arc<StoredResult>>),
    /// No backend server has run it or will run it.
    NotRun(model::NotRunReason),
    /// A backend server may have run it.
    Unknown,
}

impl RunOutcome {
    /// A run that a backend server answered in whole.
    pub fn done(result: StoredResult) -> RunOutcome {
        RunOutcome::Done(Some(sync::Arc::new(result)))
    }

    /// Size in bytes of the result that is kept.
    pub fn bytes(&self) -> usize {
        match self {
            RunOutcome::Done(Some(result)) => result.bytes(),
            _ => 0,
        }
    }

    /// The same end without its result.
    pub fn without_result(self) -> RunOutcome {
        match self {
            RunOutcome::Done(_) => RunOutcome::Done(None),
            end => end,
        }
    }
}
