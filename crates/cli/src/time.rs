//! Points in time on the command line and in tables.

use yuccatide_steering::model;

use crate::error;

/// Reads a time such as `2026-12-04T18:00:00Z`, or a span from now such as `+2h30m`.
pub fn parse(text: &str, now: model::Time) -> Result<model::Time, error::Error> {
    let invalid = |e: jiff::Error| {
        error::Error::Input(format!(
            "{text:?} is no time such as 2026-12-04T18:00:00Z or +2h30m: {e}"
        ))
    };
    let now = jiff::Timestamp::from_second(now.as_secs() as i64).map_err(invalid)?;
    let at = match text.strip_prefix('+') {
        Some(span) => {
            let span = span.parse::<jiff::SignedDuration>().map_err(invalid)?;
            now.checked_add(span).map_err(invalid)?
        }
        None => text.parse::<jiff::Timestamp>().map_err(invalid)?,
    };
    if at < now {
        return Err(error::Error::Input(format!("{text:?} is in the past")));
    }
    Ok(model::Time::from_secs(at.as_second() as u64))
}

/// Writes seconds since the Unix epoch as `2026-12-04T18:00:00Z`.
pub fn format(unix_s: u64) -> String {
    i64::try_from(unix_s)
        .ok()
        .and_then(|s| jiff::Timestamp::from_second(s).ok())
        .map_or_else(|| format!("{unix_s} s"), |t| t.to_string())
}
