//! Adapters of `serde_with` for numbers from outside.

use std::{marker, time};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};

use super::{MAX_REQUESTS, duration};

/// A duration or a count of requests, read by another adapter, that must be at most
/// [`duration::MAX_DURATION`] or [`MAX_REQUESTS`].
pub struct Bounded<A>(marker::PhantomData<A>);

/// A number that must be finite and not negative.
pub struct Finite;

/// A bound that operators set: a value above the largest one counts as the largest.  Applies to
/// numbers of seconds as durations, and to counts.
pub struct Saturating;

impl<'de, A> DeserializeAs<'de, time::Duration> for Bounded<A>
where
    A: DeserializeAs<'de, time::Duration>,
{
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
        let duration = A::deserialize_as(deserializer)?;
        let max = duration::MAX_DURATION;
        match duration <= max {
            true => Ok(duration),
            false => Err(de::Error::custom(format!(
                "{} s is longer than {} s",
                duration.as_secs(),
                max.as_secs()
            ))),
        }
    }
}

impl<'de, A> DeserializeAs<'de, u32> for Bounded<A>
where
    A: DeserializeAs<'de, u32>,
{
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        let requests = A::deserialize_as(deserializer)?;
        match requests <= MAX_REQUESTS {
            true => Ok(requests),
            false => Err(de::Error::custom(format!(
                "{requests} is above {MAX_REQUESTS}"
            ))),
        }
    }
}

impl<T, A: SerializeAs<T>> SerializeAs<T> for Bounded<A> {
    fn serialize_as<S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
        A::serialize_as(value, serializer)
    }
}

impl<'de> DeserializeAs<'de, f64> for Finite {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        let number = f64::deserialize(deserializer)?;
        match number.is_finite() && number >= 0.0 {
            true => Ok(number),
            false => Err(de::Error::custom(format!(
                "{number} is not finite, or negative"
            ))),
        }
    }
}

impl SerializeAs<f64> for Finite {
    fn serialize_as<S: Serializer>(number: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        number.serialize(serializer)
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
