//! Rules that settings must keep.

use yuccatide_steering::config;

use super::Settings;

/// Returns every rule that the settings break.
pub fn check(settings: &Settings) -> Vec<config::Problem> {
    let name = |path: &str, value: &str| {
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let good = (1..=64).contains(&value.len()) && value.chars().all(valid);
        (!good).then(|| problem(path, "must have 1 to 64 letters, digits, '-', '_' or '.'"))
    };
    let above_zero =
        |path: &str, value: u128| (value == 0).then(|| problem(path, "must be above 0"));
    let levels = ["error", "warn", "info", "debug"];
    let level = settings.telemetry.level.as_str();
    [
        name("deployment", &settings.deployment),
        name("host", &settings.host),
        name("data_centre", &settings.data_centre),
        above_zero("platform.timeout_ms", settings.platform.timeout.as_millis()),
        above_zero("telemetry.period_s", settings.telemetry.period.as_millis()),
        above_zero("max_requests", settings.max_requests as u128),
        above_zero("max_keys", settings.max_keys as u128),
        (!levels.contains(&level))
            .then(|| problem("telemetry.level", "must be error, warn, info or debug")),
        (settings.tls.is_none() && !settings.peers.ip().is_loopback()).then(|| {
            problem(
                "tls",
                "may only be absent where `peers` is a loopback address",
            )
        }),
        (settings.callers.ip().is_unspecified())
            .then(|| problem("callers", "must be the address that callers can reach")),
        (settings.peers.ip().is_unspecified())
            .then(|| problem("peers", "must be the address that other hosts can reach")),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn problem(path: &str, message: &str) -> config::Problem {
    config::Problem {
        path: path.to_string(),
        message: message.to_string(),
    }
}
