//! Durations from numbers of seconds.

use std::time;

/// Longest duration that an input may set or a calculation yield, ten years.  The present time and
/// any number of these that a process adds up stay far within the range of the type.
pub const MAX_DURATION: time::Duration = time::Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// Duration of a number of seconds; `None` if it is negative, not finite or above [`MAX_DURATION`].
pub fn duration_from_secs(seconds: f64) -> Option<time::Duration> {
    let duration = time::Duration::try_from_secs_f64(seconds).ok()?;
    (duration <= MAX_DURATION).then_some(duration)
}

/// Duration of a calculated number of seconds: none for a negative one, and [`MAX_DURATION`] for a
/// longer one or one that is no number.
pub fn saturating_duration(seconds: f64) -> time::Duration {
    match seconds < 0.0 {
        true => time::Duration::ZERO,
        false => duration_from_secs(seconds).unwrap_or(MAX_DURATION),
    }
}
