//! What was seen beside the callers' records.

use std::time::{Duration, Instant};

use yuccatide_steering::model;

/// What was seen while the story was told.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Time from the accepted patch until it was in force on every host; absent if it never was.
    pub in_force: Option<Duration>,
    /// Whether a patch against the outdated version was refused with the current one named.
    pub outdated_refused: bool,
    /// Times that a host was seen with a lower version than before.
    pub reverts: u64,
    /// Backend server that left, and when that was accepted.
    pub drained: Option<(model::ServerId, Instant)>,
    /// Time until the leaving backend server ran nothing more; absent if it always did.
    pub empty_after: Option<Duration>,
    /// Largest part of a kind of work's traffic that a host moved within one interval, over its
    /// cap.
    pub cap_use: f64,
    /// Time that the planned stop of a host took.
    pub stop_time: Duration,
    /// Answers that carried another request's id.
    pub crossed: u64,
    /// Requests refused by backend servers before an entry host was killed.
    pub sheds: u64,
}
