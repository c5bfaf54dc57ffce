//! What the duration of a response tells of its route and of its backend server.

use super::{policy, server, service_times};
use crate::{model, numbers};

/// Updates the estimates of the route's service time and of the backend server's relative service
/// time.  The part of the duration that the server's machine was expected to add is left out of
/// both: it has passed when the next request starts.
pub(super) fn record(
    times: &mut service_times::ServiceTimeEstimates,
    server: &mut server::Server,
    route: &policy::Route,
    finished: server::Finished,
    now: model::Time,
) {
    if server.is_cold(now) {
        return;
    }
    let seconds = finished.duration.as_secs_f64() / finished.machine_slowdown;
    let duration = numbers::saturating_duration(seconds);
    let relative_time = server.relative_service_time();
    let is_cached = times.was_cached(route, duration, relative_time);
    let expected = times.expected_seconds(route, is_cached);
    server.observe(duration.as_secs_f64() / expected);
    times.observe(&route.name, is_cached, duration, relative_time);
}
