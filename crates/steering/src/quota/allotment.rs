//! How a quota is divided between its main holders and all hosts.

use std::time;

use super::{holders, quota};

/// Requests per second, and of a burst, that only the main holders share.
const MAIN_REQUESTS: f64 = 40.0;

/// Part of what lies above that the main holders share; all hosts share the rest.
const MAIN_SHARE_ABOVE: f64 = 0.85;

/// Life of a token outside of a bucket, relative to the window of the bound.
const TOKEN_LIFE: f64 = 0.08;

/// Largest deviation of the rate of a host's clock.
const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Whether a quota is so large that all hosts hold parts of it.
pub(super) fn has_common_part(quota: &quota::Quota) -> bool {
    quota.rate > MAIN_REQUESTS || quota.burst > MAIN_REQUESTS
}

/// Time for which a token outside of a bucket may be used.
pub(super) fn token_life(bounds: &quota::Bounds) -> time::Duration {
    bounds.window.mul_f64(TOKEN_LIFE)
}

/// Rate in tokens per second and depth of the bucket of a host that holds these parts.
///
/// Both grow with the quota, whatever the parts are: while hosts still have different versions of
/// the configuration, the sum stays within the largest quota among them.
pub(super) fn rate_and_depth(
    quota: &quota::Quota,
    parts: &holders::Parts,
    bounds: &quota::Bounds,
) -> (f64, f64) {
    let divide = |requests: f64| {
        let above = (requests - MAIN_REQUESTS).max(0.0);
        let main = requests.min(MAIN_REQUESTS) + MAIN_SHARE_ABOVE * above;
        parts.main * main + parts.common * (requests - main)
    };
    let rate = divide(quota.rate) * rate_factor(bounds);
    (rate, divide(quota.burst) + parts.slack)
}

/// Factor on rates that makes room, if the tolerance doesn't, for tokens that are used in a later
/// window than the one in which they left their bucket, and for fast clocks.
fn rate_factor(bounds: &quota::Bounds) -> f64 {
    let drift = 1.0 + MAX_CLOCK_DRIFT;
    let window = bounds.window.as_secs_f64();
    let used = drift * (window + drift * token_life(bounds).as_secs_f64());
    (window * (1.0 + bounds.over) / used).min(1.0)
}
