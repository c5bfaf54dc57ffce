//! Adapters of `serde_with` for numbers from outside.

use std::time;

use serde::{Deserialize, Deserializer, de};
use serde_with::DeserializeAs;

use super::duration;

/// A number of seconds, with fractions, that must lie within the bounds of a duration.
pub struct Seconds;

/// A bound that operators set: a value above the largest one counts as the largest.  Applies to
/// numbers of seconds as durations, and to counts.
pub struct Saturating;

impl<'de> DeserializeAs<'de, time::Duration> for Seconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
        let seconds = f64::deserialize(deserializer)?;
        duration::duration_from_secs(seconds).ok_or_else(|| {
            let max = duration::MAX_DURATION.as_secs();
            de::Error::custom(format!("{seconds} s is not between 0 and {max} s"))
        })
    }
}

impl<'de> DeserializeAs<'de, time::Duration> for Saturating {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
        let seconds = f64::deserialize(deserializer)?;
        match seconds >= 0.0 {
            true => Ok(duration::saturating_duration(seconds)),
            false => Err(de::Error::custom(format!("{seconds} s is negative"))),
        }
    }
}

impl<'de> DeserializeAs<'de, u32> for Saturating {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        Ok(u32::try_from(count(deserializer)?).unwrap_or(u32::MAX))
    }
}

impl<'de> DeserializeAs<'de, u64> for Saturating {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        count(deserializer)
    }
}

impl<'de> DeserializeAs<'de, usize> for Saturating {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        Ok(usize::try_from(count(deserializer)?).unwrap_or(usize::MAX))
    }
}

/// Reads a count.
fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = serde_json::Number::deserialize(deserializer)?;
    // Integers beyond the range of the type are read as floats.
    let is_beyond = number.as_f64().is_some_and(|n| n >= u64::MAX as f64);
    match number.as_u64() {
        Some(count) => Ok(count),
        None if is_beyond => Ok(u64::MAX),
        None => Err(de::Error::custom(format!("{number} is no count"))),
    }
}
