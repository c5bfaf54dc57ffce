//! Outcome of running a request.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::model;

/// Complete response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredResult {
    /// Size of headers and body in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Outcome of running a request; final for its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// A backend server ran it; the result is absent if a size limit prevented storing it.
    Done(Option<sync::Arc<StoredResult>>),
    /// No backend server ran it or ever will.
    NotRun(model::NotRunReason),
    /// A backend server may have run it.
    Unknown,
}

impl RunOutcome {
    /// Outcome of a run with a complete response.
    pub fn done(result: StoredResult) -> RunOutcome {
        RunOutcome::Done(Some(sync::Arc::new(result)))
    }

    /// Size of the stored result in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            RunOutcome::Done(Some(result)) => result.size_bytes(),
            _ => 0,
        }
    }

    /// The same outcome without its result.
    pub fn without_result(self) -> RunOutcome {
        match self {
            RunOutcome::Done(_) => RunOutcome::Done(None),
            outcome => outcome,
        }
    }
}
