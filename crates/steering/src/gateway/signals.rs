//! What backend servers say of themselves in their answers.

use std::time;

/// Signals in one answer of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Requests that it has, running and waiting.
    pub load: Option<u32>,
    /// How long work takes on its machine now, relative to the usual time.
    pub slowdown: Option<f64>,
    /// Requests per second that it takes from all hosts together; `None` without such a limit.
    pub limit: Option<f64>,
    /// Whether it leaves and should get no more requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this host, after it turned one away.
    pub pause: Option<time::Duration>,
    /// Signals that could not be read.
    pub unreadable: UnreadableSignals,
}

/// Number of signals of each kind in one answer that could not be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreadableSignals {
    /// Loads, also those of which only a part could not be read.
    pub load: u32,
    /// Limits.
    pub limit: u32,
    /// Marks of a server that leaves.
    pub leaving: u32,
    /// Pauses.
    pub pause: u32,
}

impl UnreadableSignals {
    /// Number of all kinds.
    pub fn total(self) -> u32 {
        self.kinds().map(|(_, count)| count).sum()
    }

    /// Names of the kinds of which any could not be read.
    pub fn names(self) -> impl Iterator<Item = &'static str> {
        let unreadable = self.kinds().filter(|(_, count)| *count > 0);
        unreadable.map(|(name, _)| name)
    }

    fn kinds(self) -> impl Iterator<Item = (&'static str, u32)> {
        let kinds = [
            ("load", self.load),
            ("limit", self.limit),
            ("leaving", self.leaving),
            ("pause", self.pause),
        ];
        kinds.into_iter()
    }
}

/// Which signals of a backend server an answer has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChange {
    /// Its limit.
    pub limit: bool,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Whether it pauses; set when a pause begins.
    pub pause: bool,
}
